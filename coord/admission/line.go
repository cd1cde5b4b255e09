// Keeps the places in line of refused callers, so that any entry recognizes a caller that comes
// back and keeps room for it.
//
// Rule: a refused caller gets a place with the time at which it may return. It keeps the place
// when it is refused again, also if it ignored the time. The place ends when the caller's request
// is sent, and at the caller's deadline. The work of places whose time has come, or comes within
// a period, counts as if it waited, as far as the callers can still get their first event within
// its target. A caller that has not returned by returnGrace after its time is not expected any
// more, but still recognized.
// Inputs: refusals and sends, of this entry and as announced by others.
// Units: places; ms of prefill.
// Never: a place is held for a caller beyond its deadline; more than maxPlaces are kept, and a
// full line takes no further place.

package admission

import "time"

const (
	// maxPlaces bounds the places of one service.
	maxPlaces = 16384
	// returnGrace is how long after its time a caller is expected. It covers the caller's own
	// delay and the way to another entry.
	returnGrace = 1500 * time.Millisecond
	// earlySlack is how much before its time a caller may return. It covers the rounding of
	// times on the way.
	earlySlack = 50 * time.Millisecond
	// duePeriod is the period ahead for which room is kept. Prompts that are sent now are computed
	// within it.
	duePeriod = 300 * time.Millisecond
	// recountInterval is how long a sum over the line is used.
	recountInterval = 20 * time.Millisecond
	// tiers is the number of priorities that the line distinguishes.
	tiers = 10
)

// Key identifies the content of a request and its caller.
type Key [16]byte

// Place is the place in line of a refused caller.
type Place struct {
	Due      time.Time // when its caller may return
	Target   time.Time // until which its first event is in time
	Deadline time.Time // of its caller
	WorkMS   float64   // prefill of its prompt
	Priority int
}

// returned reports whether a caller that asks now has waited for its time.
func (p Place) returned(now time.Time) bool { return now.Add(earlySlack).After(p.Due) }

// Line holds the places of one service. The zero value is empty.
type Line struct {
	places    map[Key]Place
	countedAt time.Time
	dueMS     [tiers]float64 // work that is due within the period and can be in time, by priority
	workMS    float64        // work of all expected callers
}

// Len returns the number of places.
func (l *Line) Len() int { return len(l.places) }

// Find returns the place of a caller.
func (l *Line) Find(now time.Time, k Key) (Place, bool) {
	p, ok := l.places[k]
	return p, ok && now.Before(p.Deadline)
}

// Add gives a caller a place, unless it has one.
func (l *Line) Add(now time.Time, k Key, p Place) {
	if _, ok := l.Find(now, k); ok || len(l.places) >= maxPlaces || !now.Before(p.Deadline) {
		return
	}
	if l.places == nil {
		l.places = map[Key]Place{}
	}
	l.places[k] = p
	l.add(now, p)
}

// Remove ends the place of a caller.
func (l *Line) Remove(k Key) {
	delete(l.places, k)
}

// Expire ends the places whose deadline has passed.
func (l *Line) Expire(now time.Time) {
	for k, p := range l.places {
		if !now.Before(p.Deadline) {
			delete(l.places, k)
		}
	}
}

// DueMS returns the work of the callers of a priority, and of more urgent ones, that return
// within duePeriod and can be in time.
func (l *Line) DueMS(now time.Time, priority int) float64 {
	l.count(now)
	sum := 0.0
	for n := range clampTier(priority) + 1 {
		sum += l.dueMS[n]
	}
	return sum
}

// WorkMS returns the work of all callers that are expected.
func (l *Line) WorkMS(now time.Time) float64 {
	l.count(now)
	return l.workMS
}

// count sums up the work, if the last sum is too old.
func (l *Line) count(now time.Time) {
	if passed := now.Sub(l.countedAt); passed >= 0 && passed < recountInterval {
		return
	}
	l.countedAt = now
	l.dueMS = [tiers]float64{}
	l.workMS = 0
	for _, p := range l.places {
		l.add(now, p)
	}
}

// add adds a place to the sums.
func (l *Line) add(now time.Time, p Place) {
	until := p.Due.Sub(now)
	if until < -returnGrace || !now.Before(p.Deadline) {
		return
	}
	l.workMS += p.WorkMS
	if until <= duePeriod && p.Due.Before(p.Target) && now.Before(p.Target) {
		l.dueMS[clampTier(p.Priority)] += p.WorkMS
	}
}

func clampTier(priority int) int { return min(max(priority, 0), tiers-1) }
