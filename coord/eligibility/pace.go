// How much all entries together send one endpoint that bears a rate.
//
// Rule: each entry counts what all entries send to the endpoint, as it hears, in a bucket that
// the rate fills, scaled by the share of the entries that it hears of, itself included. It sends
// while there is a token. What is sent before news of it has come is bounded by showing the
// endpoint to a part of the requests only, so that about openRate are sent a second while there
// is a token, whatever the demand. The demand is learned: each send raises it, a token that
// nobody takes lowers it. An entry that hears of half of all or fewer sends once in a slot of its
// own, and the slots of all entries follow each other at the rate. One that does not know yet how
// many entries there are sends nothing.
// Inputs: the rate, sends of all entries, the number of entries, the arrivals at the service.
// Units: requests a second, tokens of one request, entries.
// Never: a token is lent by one entry to another, or asked for, so that nobody waits for an answer.

package eligibility

import (
	"math"
	"time"

	"foxcross.dev/coord/rendezvous"
)

const (
	// burstTime is how long the rate goes on without a send before tokens are lost.
	burstTime = 250 * time.Millisecond
	// minBurst is the least size of a bucket, in tokens: one that is sent and one that follows.
	minBurst = 2.0
	// maxDebt and minDebt are how far below zero tokens are counted: what the rate fills in a time,
	// and some tokens besides.
	maxDebt = 4 * time.Second
	minDebt = 5.0
	// openFactor and openExtra are how many times the rate, and how many requests a second more,
	// all entries together send while there is a token. With less the rate is not used, with more
	// too much is sent before others hear.
	openFactor = 1.5
	openExtra  = 0.75
	// learningTime is in what time with a token, and without a send, the demand is taken for e times
	// less: well above the time that news of a send takes.
	learningTime = time.Second
	// minEvidence is the least number of sends that the demand is learned from.
	minEvidence = 2.0
	// slotLength is how long the slot of an entry lasts that hears of few others.
	slotLength = 500 * time.Millisecond
)

// Group is what an entry knows of the others.
type Group struct {
	Self    uint64 // incarnation of this entry
	Entries int    // that there may be, lost ones and this one included, 0 for not yet known
	Live    int    // of these, that are heard of, this one included
}

// hearsMost tells whether the entry hears of more than half of all entries.
func (g Group) hearsMost() bool { return 2*g.Live > g.Entries }

// Pace is how much all entries together send one endpoint. The zero value has counted nothing.
type Pace struct {
	tokens float64
	at     time.Time // as of which the tokens are
	demand float64   // requests a second that would go there, 0 for not yet known
	own    time.Time // when this entry last sent
}

// Sent counts a request that was sent to the endpoint. What other entries tell may come out of
// order.
func (p *Pace) Sent(at time.Time, perSecond float64, own bool, g Group) {
	rate := g.share() * perSecond
	p.advance(at, rate)
	p.tokens = max(p.tokens-1, -rate*maxDebt.Seconds()-minDebt)
	if own {
		p.own = at
	}
	p.demand *= 1 + 1/evidence(rate)
}

// Allows tells whether the entry may send the endpoint one more request.
func (p *Pace) Allows(now time.Time, perSecond float64, g Group) bool {
	if g.Entries <= 0 {
		return false
	}
	if !g.hearsMost() {
		return p.inSlot(now, perSecond, g)
	}
	p.advance(now, g.share()*perSecond)
	return p.tokens >= 1
}

// Chance returns the share of requests that the endpoint is shown to, where so many requests
// come to the service each second, at all entries.
func (p *Pace) Chance(now time.Time, perSecond, arrivalsPerSecond float64, g Group) float64 {
	if !g.hearsMost() {
		return 1
	}
	rate := g.share() * perSecond
	if p.demand == 0 {
		p.demand = arrivalsPerSecond
	}
	p.advance(now, rate)
	return min(1, openRate(rate)/max(p.demand, 1))
}

// Wait returns how long it takes until there is a token, as far as this entry knows.
func (p *Pace) Wait(now time.Time, perSecond float64, g Group) time.Duration {
	rate := g.share() * perSecond
	if rate <= 0 {
		rate = perSecond
	}
	p.advance(now, rate)
	return time.Duration(max(1-p.tokens, 0) / rate * float64(time.Second))
}

// share returns the share of the entries that the entry hears of.
func (g Group) share() float64 {
	if g.Entries <= 0 {
		return 0
	}
	return min(float64(g.Live)/float64(g.Entries), 1)
}

// openRate returns how many requests all entries are to send a second while there is a token.
func openRate(rate float64) float64 { return openFactor*rate + openExtra }

// evidence returns how many sends the demand is learned from.
func evidence(rate float64) float64 {
	return max(openRate(rate)*learningTime.Seconds(), minEvidence)
}

// advance fills the bucket up to a time, and counts for how long there was a token that nobody
// took: the longer, the smaller the demand.
func (p *Pace) advance(now time.Time, rate float64) {
	if p.at.IsZero() {
		p.at = now
	}
	passed := now.Sub(p.at).Seconds()
	if passed <= 0 || rate <= 0 {
		return
	}
	p.at = now
	open := passed
	if missing := 1 - p.tokens; missing > 0 {
		open -= missing / rate
	}
	p.tokens = min(p.tokens+rate*passed, max(minBurst, 1+rate*burstTime.Seconds()))
	if open > 0 && p.demand > 0 {
		p.demand = max(p.demand*math.Exp(-open*openRate(rate)/evidence(rate)), openRate(rate))
	}
}

// inSlot tells whether the entry is in its slot and has not sent in it.
func (p *Pace) inSlot(now time.Time, perSecond float64, g Group) bool {
	period := time.Duration(float64(time.Second) * float64(g.Entries) / perSecond)
	if period <= 0 {
		return true
	}
	begin := time.Duration(float64(rendezvous.Rank(uint64(g.Entries), g.Self)) / math.MaxUint64 * float64(period))
	since := (time.Duration(now.UnixNano())%period + period - begin) % period
	return since < slotLength && now.Sub(p.own) > since
}
