package placement

import (
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/eligibility"
)

// Obstacle is why a request can be sent nowhere now.
type Obstacle struct {
	Reason   eligibility.Reason // Eligible for another reason than those
	Endpoint string             // of Limited: the id of the one that may be sent a request the soonest
	Limit    float64            // of Limited: what it takes, in requests a second
	Named    time.Duration      // of Limited: since an answer last named that
	Wait     time.Duration      // of Limited: until it may be sent a request, as far as is known
}

// TakeLimit takes in what an answer of an endpoint, or another entry, says of its limit. It
// returns what that has changed, and whether others are to be told.
func (t *Table) TakeLimit(now time.Time, endpointID string, w eligibility.Word) (c eligibility.Change, tell bool) {
	e := t.endpoints[endpointID]
	if e == nil {
		return eligibility.Unchanged, false
	}
	c = e.limit.Take(w)
	return c, e.limit.Tell(now, c)
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

// Obstacle returns why none of the service's endpoints may take a request now: of those
// that are not leaving, the reason that passes the soonest.
func (t *Table) Obstacle(now time.Time, r Request) Obstacle {
	q := query{table: t, service: t.service(r.Service), request: r, now: now}
	var soonest Obstacle
	for _, e := range q.service.endpoints {
		if e.Leaving {
			continue
		}
		o := q.obstacle(e)
		if o.Reason == eligibility.Eligible {
			return o
		}
		if soonest.Reason == eligibility.Eligible || o.sooner(soonest) {
			soonest = o
		}
	}
	return soonest
}

// obstacle returns why an endpoint may not take the request now. One that bears a rate is an
// obstacle also while it may be sent to, since it is shown to a part of the requests.
func (q *query) obstacle(e *endpoint) Obstacle {
	reason := q.eligibility(e)
	if reason == eligibility.Eligible && e.limit.Limited() {
		reason = eligibility.Limited
	}
	if reason != eligibility.Limited {
		return Obstacle{Reason: reason}
	}
	return Obstacle{
		Reason: reason, Endpoint: e.ID, Limit: e.limit.PerSecond(),
		Named: q.now.Sub(e.limit.Named()), Wait: e.limit.Wait(q.now, q.table.Group),
	}
}

// sooner tells whether the obstacle passes sooner than another one.
func (o Obstacle) sooner(than Obstacle) bool {
	return o.Reason < than.Reason || o.Reason == than.Reason && o.Wait < than.Wait
}
