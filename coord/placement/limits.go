package placement

import (
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/eligibility"
)

// ApplyLimit records an update of an endpoint's limit, from a response or another entry. It returns
// what that has changed, and whether it is to be announced to others.
func (t *Table) ApplyLimit(now time.Time, endpointID string, u eligibility.LimitUpdate) (c eligibility.Change, announce bool) {
	s := t.knownSignals(endpointID)
	if s == nil {
		return eligibility.Unchanged, false
	}
	c = s.limit.Apply(u)
	return c, s.limit.Announce(now, c)
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
