// The rate limit that an endpoint advertises, for all entries together.
//
// Rule: a response that advertises a limit sets it, unless a later request has shown that it is
// over, or a later response has advertised another one. A success that advertises none ends the limit
// if its request was sent after the last response that advertised one was received, since responses
// come in another order than requests. What other entries announce goes by the same rule, so that
// an announcement which comes late, or twice, changes nothing. While the limit stands all entries together send
// at its rate (pace.go), so that the endpoint is asked and can say that it is over.
// Inputs: updates from responses with the times of their requests, sends of all entries.
// Units: requests a second, times.
// Never: a limit of one start of an endpoint holds for another start; one that can't be
// honoured, such as none at all, shuts an endpoint.

package eligibility

import "time"

const (
	// MinLimit is the least limit that is honoured, in requests a second, so that the endpoint is
	// asked at times.
	MinLimit = 0.05
	// MaxLimit is the largest one.
	MaxLimit = 1e6
	// orderSlack is how much later than a response that advertised a limit a request has to be sent
	// whose response ends it. Above the error of times that other entries announce.
	orderSlack = 50 * time.Millisecond
	// announceInterval is how often a signal is announced again, for entries that missed it.
	announceInterval = 250 * time.Millisecond
	// announceEndFor is for how long the end of a limit is announced. As long as entries remember
	// others that they have lost.
	announceEndFor = time.Minute
)

// Change is what an update has changed.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Began            // the endpoint had no limit
	Moved            // it had another one
	Ended            // it has none any more
)

// LimitUpdate is what a response says of its endpoint's limit.
type LimitUpdate struct {
	PerSecond float64   // 0 for none
	Sent      time.Time // when its request was sent
	Received  time.Time // when its head was received
}

// Limit is the limit of one endpoint. The zero value is none.
type Limit struct {
	perSecond  float64   // 0 for none
	advertised time.Time // when the last response that advertised it was received
	ended      time.Time // when the request was sent whose response ended the last limit
	announced  time.Time // when it was last announced
	pace       Pace
}

// Limited tells whether the endpoint has a limit.
func (l *Limit) Limited() bool { return l.perSecond > 0 }

// PerSecond returns the limit, 0 for none.
func (l *Limit) PerSecond() float64 { return l.perSecond }

// AdvertisedAt returns when the last response that advertised the limit was received.
func (l *Limit) AdvertisedAt() time.Time { return l.advertised }

// Apply records an update.
func (l *Limit) Apply(u LimitUpdate) Change {
	if u.PerSecond <= 0 {
		return l.end(u)
	}
	if u.Sent.Before(l.ended) || u.Received.Before(l.advertised) {
		return Unchanged
	}
	before := l.perSecond
	l.perSecond = min(max(u.PerSecond, MinLimit), MaxLimit)
	l.advertised = u.Received
	switch before {
	case 0:
		l.pace = Pace{}
		return Began
	case l.perSecond:
		return Unchanged
	default:
		return Moved
	}
}

// end ends the limit if the update is later than those that advertised it.
func (l *Limit) end(u LimitUpdate) Change {
	if !l.Limited() || !u.Sent.After(l.advertised.Add(orderSlack)) {
		return Unchanged
	}
	l.perSecond = 0
	l.ended = u.Sent
	return Ended
}

// Announce tells whether an update is to be announced to other entries, and counts that as done.
func (l *Limit) Announce(now time.Time, c Change) bool {
	concerns := l.Limited() || !l.ended.IsZero() && now.Sub(l.ended) < announceEndFor
	if c == Unchanged && (!concerns || now.Sub(l.announced) < announceInterval) {
		return false
	}
	l.announced = now
	return true
}

// Sent counts a request that was sent to the endpoint.
func (l *Limit) Sent(at time.Time, own bool, g Group) {
	if l.Limited() {
		l.pace.Sent(at, l.perSecond, own, g)
	}
}

// Allows tells whether the entry may send the endpoint one more request.
func (l *Limit) Allows(now time.Time, g Group) bool {
	return !l.Limited() || l.pace.Allows(now, l.perSecond, g)
}

// Chance returns the share of requests that the endpoint is shown to, where so many come to the
// service each second, at all entries.
func (l *Limit) Chance(now time.Time, arrivalsPerSecond float64, g Group) float64 {
	if !l.Limited() {
		return 1
	}
	return l.pace.Chance(now, l.perSecond, arrivalsPerSecond, g)
}

// Wait returns how long it takes until the endpoint may be sent a request, as far as this entry
// knows.
func (l *Limit) Wait(now time.Time, g Group) time.Duration {
	if !l.Limited() {
		return 0
	}
	return l.pace.Wait(now, l.perSecond, g)
}
