// Why a request can be sent nowhere now, and when that passes.
//
// Rule: of the obstacles of the service's endpoints, the one that passes the soonest counts: by
// its time where it is known, else by its reason.
// Inputs: the table, the request, the time.
// Units: times.
// Never: an endpoint that leaves counts.

package placement

import (
	"time"

	"foxcross.dev/coord/eligibility"
)

// minBackoffWait is the least time that a backoff is said to last, also where it is over and the
// endpoint gets few requests at first.
const minBackoffWait = 20 * time.Millisecond

// Obstacle is why a request can be sent nowhere now. Its endpoint is the one that may be sent a
// request the soonest.
type Obstacle struct {
	Reason   eligibility.Reason // Eligible for another reason than those
	Endpoint string             // of Limited and BackedOff
	Wait     time.Duration      // of Limited and BackedOff: until it may be sent a request, as far as is known
	Limit    float64            // of Limited: in requests a second
	Since    time.Duration      // of Limited and BackedOff: since the response that said so
	Delay    time.Duration      // of BackedOff: that the response asked for
}

// timed tells whether it is known when the obstacle passes.
func (o Obstacle) timed() bool {
	return o.Reason == eligibility.Limited || o.Reason == eligibility.BackedOff
}

// Obstacle returns why none of the service's endpoints may take a request now.
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

// obstacle returns why an endpoint may not take the request now. A rate-limited endpoint is one
// also while it has capacity, since only a share of the requests may choose it.
func (q *query) obstacle(e *endpoint) Obstacle {
	reason := q.eligibility(e)
	if reason == eligibility.Eligible && e.limit.Limited() {
		reason = eligibility.Limited
	}
	o := Obstacle{Reason: reason}
	switch reason {
	case eligibility.Limited:
		o.Endpoint = e.ID
		o.Limit = e.limit.PerSecond()
		o.Since = q.now.Sub(e.limit.AdvertisedAt())
		o.Wait = e.limit.Wait(q.now, q.table.Group)
	case eligibility.BackedOff:
		asked, delay := e.backoff.Asked()
		o.Endpoint = e.ID
		o.Since = q.now.Sub(asked)
		o.Delay = delay
		o.Wait = max(e.backoff.Left(q.now), minBackoffWait)
	}
	return o
}

// sooner tells whether the obstacle passes sooner than another one.
func (o Obstacle) sooner(than Obstacle) bool {
	if o.timed() && than.timed() {
		return o.Wait < than.Wait
	}
	return o.Reason < than.Reason
}
