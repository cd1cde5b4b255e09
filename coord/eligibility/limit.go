// The rate that an endpoint in need names as the most it takes from all entries together.
//
// Rule: an answer that names a limit sets it, unless a later send has shown that it is over, or a
// later answer has named another one. A success that names none ends the limit if its request was
// sent after the last answer that named one had come, since answers end in another order than
// they began. What other entries tell goes by the same rule, so that a word which comes late, or
// twice, changes nothing. While the limit stands all entries together send at its rate
// (pace.go), so that the endpoint is asked and can say that it is over.
// Inputs: words of answers with the times of their sends, sends of all entries.
// Units: requests a second, times.
// Never: a limit of one start of an endpoint holds for another start; one that can't be kept, such
// as none at all, shuts an endpoint.

package eligibility

import "time"

const (
	// MinLimit is the least limit that is kept to, in requests a second, so that the endpoint is asked
	// at times.
	MinLimit = 0.05
	// MaxLimit is the largest one.
	MaxLimit = 1e6
	// orderSlack is how much later than an answer that named a limit a request has to be sent whose
	// answer ends it. Above the error of times that other entries tell.
	orderSlack = 50 * time.Millisecond
	// tellInterval is how often what answers say is told again, so that who missed it hears of it.
	tellInterval = 250 * time.Millisecond
	// tellOverFor is for how long it is told that a limit is over. As long as entries remember
	// others that they have lost.
	tellOverFor = time.Minute
)

// Change is what a word has changed.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Began            // the endpoint had no limit
	Moved            // it had another one
	Ended            // it has none any more
)

// Word is what an answer of an endpoint says of its limit.
type Word struct {
	PerSecond float64   // 0 for none
	Sent      time.Time // when its request was sent
	Came      time.Time // when the answer began to come
}

// Limit is the limit of one endpoint. The zero value is none.
type Limit struct {
	perSecond float64   // 0 for none
	named     time.Time // when the last answer that named it came
	over      time.Time // when the request was sent whose answer ended the last limit
	told      time.Time // when entries were last told
	pace      Pace
}

// Limited tells whether the endpoint has a limit.
func (l *Limit) Limited() bool { return l.perSecond > 0 }

// PerSecond returns the limit, 0 for none.
func (l *Limit) PerSecond() float64 { return l.perSecond }

// Named returns when the last answer that named the limit came.
func (l *Limit) Named() time.Time { return l.named }

// Take takes in what an answer says.
func (l *Limit) Take(w Word) Change {
	if w.PerSecond <= 0 {
		return l.end(w)
	}
	if w.Sent.Before(l.over) || w.Came.Before(l.named) {
		return Unchanged
	}
	before := l.perSecond
	l.perSecond = min(max(w.PerSecond, MinLimit), MaxLimit)
	l.named = w.Came
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

// end ends the limit if the word is later than those that named it.
func (l *Limit) end(w Word) Change {
	if !l.Limited() || !w.Sent.After(l.named.Add(orderSlack)) {
		return Unchanged
	}
	l.perSecond = 0
	l.over = w.Sent
	return Ended
}

// Tell tells whether other entries are to be told what an answer says, and counts that as told.
func (l *Limit) Tell(now time.Time, c Change) bool {
	concerns := l.Limited() || !l.over.IsZero() && now.Sub(l.over) < tellOverFor
	if c == Unchanged && (!concerns || now.Sub(l.told) < tellInterval) {
		return false
	}
	l.told = now
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
