package placement

import (
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/eligibility"
)

// TakeLimit takes in what an answer of an endpoint, or another entry, says of its limit. It
// returns what that has changed, and whether others are to be told.
func (t *Table) TakeLimit(now time.Time, endpointID string, w eligibility.Word) (c eligibility.Change, tell bool) {
	s := t.knownSignals(endpointID)
	if s == nil {
		return eligibility.Unchanged, false
	}
	c = s.limit.Take(w)
	return c, s.limit.Tell(now, c)
}

// shown tells whether the request may choose an endpoint that bears a rate, so that not all do
// before they have heard of each other.
func (q *query) shown(e *endpoint, random *rand.Rand) bool {
	if !e.limit.Limited() && !e.warmup.Warming(q.now) {
		return true
	}
	arrivals := q.service.arrivals.perSecond(q.now)
	chance := min(
		e.warmup.Chance(q.now, q.service.Warmup, arrivals, q.table.Group),
		e.limit.Chance(q.now, arrivals, q.table.Group),
	)
	return random.Float64() < chance
}
