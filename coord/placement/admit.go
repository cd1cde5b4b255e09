// Whether a request is sent where Choose would send it, or refused for now.
//
// Rule: only long prompts are refused. One is refused if it would wait longer than
// its first-event target, or, once half of the service's slots are busy, if it would
// wait longer than a quarter of it or harm more than one request. What comes late
// earns little and delays everything behind it.
// Inputs: the estimates of a Choice, the request's target, the time to its deadline.
// Unit: waits in first-event targets; harm in requests.
// Never: a short prompt or a call of a plain service is not refused here; nothing
// is refused because of its class or team.
// Measured: docs/EXPERIMENTS.md 12 and 16.

package placement

import "time"

const (
	// maxWaitTargets is the longest admitted wait, in first-event targets. 2.5 was
	// worse than 1.0: EXPERIMENTS 12.
	maxWaitTargets = 1.0
	// crowdedShare is the share of busy slots from which the service counts as
	// crowded. 0.35 is within noise: EXPERIMENTS 16.
	crowdedShare = 0.5
	// crowdedWaitTargets is the longest admitted wait at a crowded service, in
	// first-event targets. Where 65 of 160 engines crash under a burst, most of what 0.25
	// refuses would have come in time: 0.8 in 100 of all requests refused, 0.757 earned in the
	// two worst seconds; 0.4 and 0.771 at 0.5, 0.1 and 0.788 at 1.0. On small sites 1.0 loses
	// 0.002 to 0.027 of worth, 0.5 gains 0.002 or loses 0.008 (18 plays each).
	crowdedWaitTargets = 0.5
	// crowdedHarm is the most harm that is admitted at a crowded service, in
	// requests. 0.3 is within noise: EXPERIMENTS 16.
	crowdedHarm = 1.0
	// crowdedRetryAfter is when a request refused at a crowded service may come back.
	// Chosen, not measured.
	crowdedRetryAfter = 700 * time.Millisecond
	// maxRetryShare is the share of the time to its deadline that a refused caller is
	// told to wait at the most, as one part in so many. Chosen, not measured.
	maxRetryShare = 4
)

// Admit tells whether a request is to be sent to the chosen endpoint. If not, it
// returns when to come back: when the prompts that wait there will have been
// computed. left is the time to the request's deadline.
func (c Choice) Admit(r Request, left time.Duration) (retryAfter time.Duration, ok bool) {
	if !c.Long || r.FirstToken <= 0 {
		return 0, true
	}
	wait := time.Duration(c.WaitMS * float64(time.Millisecond))
	if wait > targets(maxWaitTargets, r) {
		return min(wait-r.FirstToken/2, left/maxRetryShare), false
	}
	if c.BusyShare < crowdedShare {
		return 0, true
	}
	if wait > targets(crowdedWaitTargets, r) || c.Terms.Harm > crowdedHarm {
		return min(crowdedRetryAfter, left/maxRetryShare), false
	}
	return 0, true
}

// targets returns a multiple of the request's first-event target.
func targets(n float64, r Request) time.Duration {
	return time.Duration(n * float64(r.FirstToken))
}
