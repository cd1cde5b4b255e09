// Keeps the places in line of refused callers, so that any entry recognizes a caller that comes
// back.
//
// Rule: a refused caller gets a place with the time at which it may return. It keeps the place
// when it is refused again, also if it ignored the time. The place ends when the caller's request
// is sent, and at the caller's deadline. A caller that has not returned by returnGrace after its
// time is still recognized, but its work does not count any more.
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
	// recountInterval is how long a sum over the line is used.
	recountInterval = 100 * time.Millisecond
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
	workMS    [tiers]float64 // of the callers that are expected, by priority
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
	l.addWork(now, p)
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

// WorkMS returns the work of the expected callers of a priority and of more urgent ones.
func (l *Line) WorkMS(now time.Time, priority int) float64 {
	l.count(now)
	sum := 0.0
	for n := range clampTier(priority) + 1 {
		sum += l.workMS[n]
	}
	return sum
}

// count sums up the work, if the last sum is too old.
func (l *Line) count(now time.Time) {
	if passed := now.Sub(l.countedAt); passed >= 0 && passed < recountInterval {
		return
	}
	l.countedAt = now
	l.workMS = [tiers]float64{}
	for _, p := range l.places {
		l.addWork(now, p)
	}
}

// addWork adds a place to the sums.
func (l *Line) addWork(now time.Time, p Place) {
	if now.Sub(p.Due) <= returnGrace && now.Before(p.Deadline) {
		l.workMS[clampTier(p.Priority)] += p.WorkMS
	}
}

func clampTier(priority int) int { return min(max(priority, 0), tiers-1) }
