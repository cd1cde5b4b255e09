// The rate limit that an endpoint advertises for all entries together.
//
// Rule: a response that advertises a limit sets it, unless the response to a later request has
// ended the limit, or a later response has advertised another one. A successful response without
// a limit ends the limit if its request was sent after the last response that advertised one was
// received, since responses may arrive in another order than their requests were sent.
// Announcements of other entries follow the same rule, so that a late or repeated announcement
// has no effect. While the limit applies, all entries together send at its rate (sharedrate.go), so
// that a response can end it.
// Inputs: updates from responses with the times of their requests, requests sent by all entries.
// Units: requests per second, times.
// Never: a limit applies beyond a restart of its endpoint; a limit below MinLimit, such as zero,
// makes an endpoint ineligible for good.

package eligibility

import "time"

const (
	// MinLimit is the minimum of a limit, in requests per second. It keeps some requests going
	// to the endpoint, whose responses can end the limit.
	MinLimit = 0.05
	// MaxLimit is the maximum of a limit, in requests per second.
	MaxLimit = 1e6
	// reorderTolerance is how long after the receipt of the last advertisement a request has to be
	// sent for its response to end the limit. It exceeds the error of the times that other
	// entries announce.
	reorderTolerance = 50 * time.Millisecond
	// announceInterval is the interval at which a signal is announced again, for entries that
	// missed it.
	announceInterval = 250 * time.Millisecond
	// endAnnounceDuration is how long the end of a limit is announced. Entries keep the state of
	// lost entries for the same time.
	endAnnounceDuration = time.Minute
)

// LimitChange is the effect of an update.
type LimitChange uint8

// The changes.
const (
	LimitUnchanged LimitChange = iota
	LimitSet                   // a limit was set where there was none
	LimitReplaced              // the limit was replaced by another one
	LimitRemoved               // the limit was removed
)

// LimitUpdate is the limit, or the absence of one, that a response reports for its endpoint.
type LimitUpdate struct {
	PerSecond float64   // requests per second, 0 for no limit
	Sent      time.Time // when the request was sent
	Received  time.Time // when the response header was received
}

// Limit is the rate limit of one endpoint. The zero value is no limit.
type Limit struct {
	perSecond  float64   // requests per second, 0 for no limit
	advertised time.Time // receipt of the last response that advertised the limit
	ended      time.Time // send time of the request whose response ended the last limit
	announced  time.Time // time of the last announcement to other entries
	sharedRate SharedRate
}

// Limited reports whether the endpoint has a limit.
func (l *Limit) Limited() bool { return l.perSecond > 0 }

// PerSecond returns the limit in requests per second, 0 for no limit.
func (l *Limit) PerSecond() float64 { return l.perSecond }

// AdvertisedAt returns when the last response that advertised the limit was received.
func (l *Limit) AdvertisedAt() time.Time { return l.advertised }

// Apply records an update.
func (l *Limit) Apply(u LimitUpdate) LimitChange {
	if u.PerSecond <= 0 {
		return l.end(u)
	}
	if u.Sent.Before(l.ended) || u.Received.Before(l.advertised) {
		return LimitUnchanged
	}
	previous := l.perSecond
	l.perSecond = min(max(u.PerSecond, MinLimit), MaxLimit)
	l.advertised = u.Received
	switch previous {
	case 0:
		l.sharedRate = SharedRate{}
		return LimitSet
	case l.perSecond:
		return LimitUnchanged
	default:
		return LimitReplaced
	}
}

// end removes the limit if the update's request was sent after the last advertisement.
func (l *Limit) end(u LimitUpdate) LimitChange {
	if !l.Limited() || !u.Sent.After(l.advertised.Add(reorderTolerance)) {
		return LimitUnchanged
	}
	l.perSecond = 0
	l.ended = u.Sent
	return LimitRemoved
}

// Announce reports whether to announce an update to other entries, and if so records the
// announcement.
func (l *Limit) Announce(now time.Time, c LimitChange) bool {
	relevant := l.Limited() || !l.ended.IsZero() && now.Sub(l.ended) < endAnnounceDuration
	if c == LimitUnchanged && (!relevant || now.Sub(l.announced) < announceInterval) {
		return false
	}
	l.announced = now
	return true
}

// RecordSend counts a request sent to the endpoint by this entry, if own, or by another one.
func (l *Limit) RecordSend(at time.Time, own bool, g Group) {
	if l.Limited() {
		l.sharedRate.RecordSend(at, l.perSecond, own, g)
	}
}

// Allows reports whether the entry may send one more request to the endpoint.
func (l *Limit) Allows(now time.Time, g Group) bool {
	return !l.Limited() || l.sharedRate.Allows(now, l.perSecond, g)
}

// CandidateProbability returns the probability with which the endpoint is a candidate for a
// request. arrivalsPerSecond is the rate of the service's requests at all entries.
func (l *Limit) CandidateProbability(now time.Time, arrivalsPerSecond float64, g Group) float64 {
	if !l.Limited() {
		return 1
	}
	return l.sharedRate.CandidateProbability(now, l.perSecond, arrivalsPerSecond, g)
}

// Wait estimates how long it takes until the endpoint may receive a request, from the requests
// that this entry has counted.
func (l *Limit) Wait(now time.Time, g Group) time.Duration {
	if !l.Limited() {
		return 0
	}
	return l.sharedRate.Wait(now, l.perSecond, g)
}
