package placement

import (
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/eligibility"
)

// ApplyLimit records an update of an endpoint's limit from a response or another entry. It
// returns the change, and reports whether to announce it to other entries.
func (t *Table) ApplyLimit(now time.Time, endpointID string, u eligibility.LimitUpdate) (c eligibility.LimitChange, announce bool) {
	s := t.findSignals(endpointID)
	if s == nil {
		return eligibility.LimitUnchanged, false
	}
	c = s.limit.Apply(u)
	return c, s.limit.Announce(now, c)
}

// passesRateSampling reports whether the request may choose an endpoint with a rate limit or a
// warm-up. Only a random share of the requests may, since entries receive each other's attempts
// with a delay and would otherwise all choose it.
func (q *query) passesRateSampling(e *endpoint, random *rand.Rand) bool {
	if !e.limit.Limited() && !e.warmup.Warming(q.now) {
		return true
	}
	arrivalsPerSecond := q.service.arrivalRate.perSecond(q.now)
	chance := min(
		e.warmup.CandidateProbability(q.now, q.service.Warmup, arrivalsPerSecond, q.table.Group),
		e.limit.CandidateProbability(q.now, arrivalsPerSecond, q.table.Group),
	)
	return random.Float64() < chance
}
