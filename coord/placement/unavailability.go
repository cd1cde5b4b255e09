// Determines why no endpoint can take a request now, and whether and when one can.
//
// Rule: among the reasons why the service's endpoints are unavailable, the one that ends first is
// returned. Two of them are compared by their remaining times if both are known, else by the
// order of the reasons in package eligibility. An endpoint may take the request later if it may be
// sent requests at all, and is full, at a rate limit or in backoff.
// Inputs: the table, the request, the time.
// Units: times.
// Never: an endpoint that is leaving counts, except for a stream that may be resumed there.

package placement

import (
	"slices"
	"time"

	"foxcross.dev/coord/eligibility"
)

// minBackoffWait is the shortest wait reported for a backoff, also after its end while the
// endpoint gets few requests.
const minBackoffWait = 20 * time.Millisecond

// Unavailability is the reason why no endpoint can take a request now. Endpoint is the one expected
// to become available first.
type Unavailability struct {
	Reason   eligibility.Reason // Eligible if none of the reasons of package eligibility applies
	Endpoint string             // of Limited and BackedOff
	Wait     time.Duration      // of Limited and BackedOff: until it may be sent a request, as far as is known
	Limit    float64            // of Limited: in requests per second
	Since    time.Duration      // of Limited and BackedOff: since the response with the limit or delay
	Delay    time.Duration      // of BackedOff: the delay that the response asked for
}

// hasWait reports whether the remaining time is known.
func (o Unavailability) hasWait() bool {
	return o.Reason == eligibility.Limited || o.Reason == eligibility.BackedOff
}

// Unavailability returns why none of the service's endpoints may take a request now.
func (t *Table) Unavailability(now time.Time, r Request) Unavailability {
	q := query{table: t, service: t.service(r.Service), request: r, now: now}
	var soonest Unavailability
	for _, e := range q.service.endpoints {
		if e.Leaving {
			continue
		}
		o := q.unavailability(e)
		if o.Reason == eligibility.Eligible {
			return o
		}
		if soonest.Reason == eligibility.Eligible || o.endsBefore(soonest) {
			soonest = o
		}
	}
	return soonest
}

// unavailability returns why an endpoint may not take the request now. A rate-limited endpoint is
// unavailable even while it has capacity, since only a share of the requests may choose it.
func (q *query) unavailability(e *endpoint) Unavailability {
	reason := q.eligibility(e)
	if !q.request.accepts(e.Version) {
		reason = eligibility.OtherVersion
	}
	if reason == eligibility.Eligible && e.limit.Limited() {
		reason = eligibility.Limited
	}
	o := Unavailability{Reason: reason}
	switch reason {
	case eligibility.Limited:
		o.Endpoint = e.ID
		o.Limit = e.limit.PerSecond()
		o.Since = q.now.Sub(e.limit.AdvertisedAt())
		o.Wait = e.limit.Wait(q.now, q.table.Group)
	case eligibility.BackedOff:
		asked, delay := e.backoff.Requested()
		o.Endpoint = e.ID
		o.Since = q.now.Sub(asked)
		o.Delay = delay
		o.Wait = max(e.backoff.Remaining(q.now), minBackoffWait)
	}
	return o
}

// endsBefore reports whether the unavailability ends before another one.
func (o Unavailability) endsBefore(other Unavailability) bool {
	if o.hasWait() && other.hasWait() {
		return o.Wait < other.Wait
	}
	return o.Reason < other.Reason
}

// MayTakeLater reports whether an endpoint that is not excluded may take a request that none can take
// now, or has become able to since.
func (t *Table) MayTakeLater(now time.Time, r Request, exclude func(id string) bool) bool {
	q := query{table: t, service: t.service(r.Service), request: r, now: now, leavingToo: r.Resumes}
	return slices.ContainsFunc(q.service.endpoints, func(e *endpoint) bool {
		leaves := e.Leaving && !q.mayResumeAtLeaving(e)
		return !leaves && !exclude(e.ID) && r.accepts(e.Version) && q.eligibility(e).Temporary()
	})
}
