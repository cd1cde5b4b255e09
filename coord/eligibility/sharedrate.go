// Distributed rate limiting of the requests that all entries together send to one endpoint.
//
// Rule: each entry counts the requests of all entries to the endpoint, as they are reported to
// it, in a token bucket. The bucket fills at the rate, scaled by the fraction of the entries that
// are visible to this one, itself included. The entry sends while there is a token. To bound the
// requests sent before reports of them arrive, the endpoint is a candidate for a fraction of the
// requests only, so that about targetRate are sent per second while there is a token, whatever the
// demand. The demand is estimated: each request sent raises it, an unused token lowers it. An
// entry that sees half of all entries or fewer sends one request in its own time slot, and the
// slots of all entries follow each other at the rate. An entry that does not yet know the number
// of entries sends nothing.
// Inputs: the rate, requests sent by all entries, the number of entries, the arrival rate at the
// service.
// Units: requests per second, tokens of one request, entries.
// Never: entries lend each other tokens or ask for them, so that no request waits for a reply.

package eligibility

import (
	"math"
	"time"

	"foxcross.dev/coord/rendezvous"
)

const (
	// burstDuration is how long an idle bucket accumulates tokens beyond the first one.
	burstDuration = 250 * time.Millisecond
	// minBurst is the minimum size of a bucket, in tokens: one for a request and one for the next.
	minBurst = 2.0
	// debtDuration and extraDebtTokens bound the negative balance of a bucket: the tokens that the
	// rate fills in debtDuration, plus extraDebtTokens.
	debtDuration    = 4 * time.Second
	extraDebtTokens = 5.0
	// targetFactor and targetExtraPerSecond set targetRate: a multiple of the rate, plus requests
	// per second. Lower values leave a part of the rate unused; with higher ones the entries send
	// too many requests before reports of them arrive.
	targetFactor         = 1.5
	targetExtraPerSecond = 0.75
	// demandTimeConstant is the time constant of the decay of the demand while a token is unused:
	// after it the estimate has fallen by a factor of e. It is well above the delay of reports.
	demandTimeConstant = time.Second
	// minDemandSamples is the minimum number of requests that the estimate of the demand averages
	// over.
	minDemandSamples = 2.0
	// slotDuration is the length of the time slot of an entry that sees half of all or fewer.
	slotDuration = 500 * time.Millisecond
)

// Group is the view that an entry has of the group of entries.
type Group struct {
	Self    uint64 // incarnation of this entry
	Entries int    // number of entries, lost ones and this one included, 0 if not yet known
	Visible int    // number of these that are visible, this one included
}

// seesMajority reports whether more than half of all entries are visible.
func (g Group) seesMajority() bool { return 2*g.Visible > g.Entries }

// SharedRate limits the rate at which all entries together send to one endpoint. The zero value
// has counted no requests.
type SharedRate struct {
	tokens    float64
	updatedAt time.Time // time of the last update of tokens
	demand    float64   // estimated demand in requests per second, 0 if not yet known
	lastOwn   time.Time // when this entry last sent a request
}

// RecordSend counts a request sent to the endpoint by this entry, if own, or by another one.
// Reports of other entries may arrive out of order.
func (r *SharedRate) RecordSend(at time.Time, perSecond float64, own bool, g Group) {
	rate := g.visibleFraction() * perSecond
	r.advance(at, rate)
	r.tokens = max(r.tokens-1, -rate*debtDuration.Seconds()-extraDebtTokens)
	if own {
		r.lastOwn = at
	}
	r.demand *= 1 + 1/demandSamples(rate)
}

// Allows reports whether the entry may send one more request to the endpoint.
func (r *SharedRate) Allows(now time.Time, perSecond float64, g Group) bool {
	if g.Entries <= 0 {
		return false
	}
	if !g.seesMajority() {
		return r.inUnusedSlot(now, perSecond, g)
	}
	r.advance(now, g.visibleFraction()*perSecond)
	return r.tokens >= 1
}

// CandidateProbability returns the probability with which the endpoint is a candidate for a
// request. arrivalsPerSecond is the rate of the service's requests at all entries.
func (r *SharedRate) CandidateProbability(now time.Time, perSecond, arrivalsPerSecond float64, g Group) float64 {
	if !g.seesMajority() {
		return 1
	}
	rate := g.visibleFraction() * perSecond
	if r.demand == 0 {
		r.demand = arrivalsPerSecond
	}
	r.advance(now, rate)
	return min(1, targetRate(rate)/max(r.demand, 1))
}

// Wait estimates how long it takes until there is a token, from the requests that this entry
// has counted.
func (r *SharedRate) Wait(now time.Time, perSecond float64, g Group) time.Duration {
	rate := g.visibleFraction() * perSecond
	if rate <= 0 {
		rate = perSecond
	}
	r.advance(now, rate)
	return time.Duration(max(1-r.tokens, 0) / rate * float64(time.Second))
}

// visibleFraction returns the fraction of the entries that are visible.
func (g Group) visibleFraction() float64 {
	if g.Entries <= 0 {
		return 0
	}
	return min(float64(g.Visible)/float64(g.Entries), 1)
}

// targetRate returns the target, in requests per second, for all entries together while there is
// a token.
func targetRate(rate float64) float64 { return targetFactor*rate + targetExtraPerSecond }

// demandSamples returns the number of requests that the estimate of the demand averages over.
func demandSamples(rate float64) float64 {
	return max(targetRate(rate)*demandTimeConstant.Seconds(), minDemandSamples)
}

// advance fills the bucket up to now, and lowers the demand by the time in which a token was
// unused.
func (r *SharedRate) advance(now time.Time, rate float64) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
	}
	elapsed := now.Sub(r.updatedAt).Seconds()
	if elapsed <= 0 || rate <= 0 {
		return
	}
	r.updatedAt = now
	unused := elapsed
	if deficit := 1 - r.tokens; deficit > 0 {
		unused -= deficit / rate
	}
	r.tokens = min(r.tokens+rate*elapsed, max(minBurst, 1+rate*burstDuration.Seconds()))
	if unused > 0 && r.demand > 0 {
		r.demand = max(r.demand*math.Exp(-unused*targetRate(rate)/demandSamples(rate)), targetRate(rate))
	}
}

// inUnusedSlot reports whether the entry is in its time slot and has sent no request in it.
func (r *SharedRate) inUnusedSlot(now time.Time, perSecond float64, g Group) bool {
	period := time.Duration(float64(time.Second) * float64(g.Entries) / perSecond)
	if period <= 0 {
		return true
	}
	begin := time.Duration(float64(rendezvous.Rank(uint64(g.Entries), g.Self)) / math.MaxUint64 * float64(period))
	since := (time.Duration(now.UnixNano())%period + period - begin) % period
	return since < slotDuration && now.Sub(r.lastOwn) > since
}
