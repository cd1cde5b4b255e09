package placement

import (
	"time"

	"foxcross.dev/coord/eligibility"
)

// eligibility returns why an endpoint may not take the request now.
func (q *query) eligibility(e *endpoint) eligibility.Reason {
	if reason := eligibility.Check(q.request.Regions, e.location); reason != eligibility.Eligible {
		return reason
	}
	if !e.drain.Allows(q.now, q.table.DrainGrace) {
		return eligibility.Draining
	}
	if !e.warmup.Allows(q.now, q.service.Warmup, q.table.Group) {
		return eligibility.WarmingUp
	}
	if !e.backoffAllows(q.now) {
		return eligibility.BackedOff
	}
	if !e.limit.Allows(q.now, q.table.Group) {
		return eligibility.Limited
	}
	return eligibility.Eligible
}

// SetEvacuated sets the evacuated data centres. Endpoints of a data centre that is no longer
// evacuated count as cold, since operators may have restarted them in the meantime.
func (t *Table) SetEvacuated(now time.Time, dataCentres []string) {
	t.evacuated = make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		t.evacuated[name] = true
	}
	for _, e := range t.endpoints {
		before := e.location.Evacuated
		e.location = t.locationOf(e.Endpoint)
		if before && !e.location.Evacuated {
			e.warmup.Start(now, t.service(e.Service).Warmup.Duration)
		}
	}
}

// locationOf returns the location of an endpoint.
func (t *Table) locationOf(e Endpoint) eligibility.Location {
	return eligibility.Location{Region: t.Regions[e.DataCentre], Evacuated: t.evacuated[e.DataCentre]}
}

// applyWarmup applies a changed warm-up time of an endpoint. A listed time of 0 ends no
// warm-up, since it may be older than the end of an evacuation.
func (e *endpoint) applyWarmup(now time.Time, listed Endpoint) {
	if listed.WarmupLeft != e.WarmupLeft {
		e.warmup.Start(now, listed.WarmupLeft)
	}
}
