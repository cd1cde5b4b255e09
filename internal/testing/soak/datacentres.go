package soak

import (
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// regions maps the data centres of the deployment to their regions.
var regions = map[string]string{"zone-1": "region-1", "zone-2": "region-2"}

const (
	evacuatedDataCentre = "zone-2"   // the one that is evacuated
	regionalPath        = "/home/"   // of a route that is served only in allowedRegion
	allowedRegion       = "region-1" // does not contain evacuatedDataCentre

	// evacuationGracePeriod is the time after which an evacuated data centre gets no new requests.
	evacuationGracePeriod = 2 * time.Second
	// extraEvacuation is the longest evacuation, in addition to the shortest fault.
	extraEvacuation = 5 * time.Second

	// Load that an endpoint accepts while it warms up: requests a second, and the factor and the
	// constant by which they may be exceeded.
	warmupDuration = 1500 * time.Millisecond
	warmupPerS     = 8
	warmupOverrun  = 1.5
	warmupSlack    = 5
)

// interval is a time span. Its end is zero while it lasts.
type interval struct{ from, to time.Time }

// evacuate evacuates evacuatedDataCentre for a time.
func evacuate(d *deployment, amount float64) {
	d.evacuationMu.Lock()
	defer d.evacuationMu.Unlock()
	d.store.Evacuate(evacuatedDataCentre)
	d.history.beginEvacuation(time.Now())
	time.Sleep(faultDuration(amount, extraEvacuation))
	d.history.endEvacuation(time.Now())
	d.store.EndEvacuation(evacuatedDataCentre)
}

// dataCentreWithFewerEndpoints returns the data centre with fewer serving endpoints.
// deployment.mu must be held.
func (d *deployment) dataCentreWithFewerEndpoints() string {
	serving := map[string]int{}
	for _, e := range d.endpoints {
		if !e.removed && e.leavingSince.IsZero() {
			serving[e.runner.DataCentre]++
		}
	}
	if serving["zone-2"] < serving["zone-1"] {
		return "zone-2"
	}
	return "zone-1"
}

// finishWarmup marks a new endpoint as warm after its warm-up.
func (d *deployment) finishWarmup(e *endpoint) {
	time.Sleep(warmupDuration)
	d.mu.Lock()
	defer d.mu.Unlock()
	e.runner.WarmupLeftMS = 0
	if !e.removed && e.leavingSince.IsZero() && !d.closed {
		d.store.PutEndpoint(e.runner, "ready")
	}
}

func (h *history) beginEvacuation(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations = append(h.evacuations, interval{from: at})
}

func (h *history) endEvacuation(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations[len(h.evacuations)-1].to = at
}

// checkDataCentre checks the region and the evacuations of the data centre in which a request ran.
func (h *history) checkDataCentre(s observation, r run) {
	if s.kind.path == regionalPath && regions[r.dataCentre] != allowedRegion {
		h.addViolation(InRegion, s.id, "it ran at %s in %s", r.endpoint, r.dataCentre)
	}
	if r.dataCentre != evacuatedDataCentre {
		return
	}
	for _, e := range h.evacuations {
		over := !e.to.IsZero() && !r.At.Before(e.to)
		if late := h.timeToLearn(r.At, e.from); late > evacuationGracePeriod && !over {
			h.addViolation(EvacuationHonoured, s.id, "it ran at %s %v after entries could know that its data centre is evacuated; %s", r.endpoint, late, h.timing(s, r.At))
		}
	}
}

// checkWarmup reports a violation if an endpoint received more requests during its warm-up than allowed.
func (h *history) checkWarmup(e *endpoint, runs []platformtest.Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var times []time.Time
	for _, r := range runs {
		if at := r.At.Sub(e.startedAt); at < warmupDuration {
			times = append(times, r.At)
		}
	}
	for n, first := range times {
		within := 0
		for _, at := range times[n:] {
			if at.Sub(first) < time.Second {
				within++
			}
		}
		if allowed := warmupPerS*warmupOverrun + warmupSlack; float64(within) > allowed {
			h.addViolation(WarmupLimitHonoured, "", "%s got %d requests within a second, %v after its start; allowed are %v", e.runner.ID, within, first.Sub(e.startedAt), allowed)
			return
		}
	}
}

// regionalRoute returns the route that is served in one region.
func regionalRoute() map[string]any {
	r := route(regionalPath, "idempotent", false)
	r["allowedRegions"] = []string{allowedRegion}
	return r
}
