package placement

import "time"

// Bounds beyond which a long prompt is refused. What comes late earns little
// and keeps all others waiting.
const (
	admitAims   = 1.0  // aims that it may wait
	crowdedFrom = 0.5  // share of the service's slots that are taken, from which the service is crowded
	crowdedAims = 0.25 // aims that it may wait at a crowded service
	crowdedHarm = 1.0  // requests that it may harm there
	crowdedWait = 700 * time.Millisecond
)

// Admit tells whether a request is to be sent where Choose would send it. If
// not, it returns when the prompts that wait there now will have been read.
func (c Choice) Admit(j Job, left time.Duration) (retryAfter time.Duration, ok bool) {
	if !c.Long || j.Aim <= 0 {
		return 0, true
	}
	wait := time.Duration(c.WaitMS * float64(time.Millisecond))
	if wait > time.Duration(admitAims*float64(j.Aim)) {
		return min(wait-j.Aim/2, left/4), false
	}
	if c.Taken < crowdedFrom {
		return 0, true
	}
	if wait > time.Duration(crowdedAims*float64(j.Aim)) || c.Terms.Harm > crowdedHarm {
		return min(crowdedWait, left/4), false
	}
	return 0, true
}
