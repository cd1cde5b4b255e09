// Whether a request is sent where Choose would send it, or refused for now.
//
// Rule: only long prompts are refused. One is admitted wherever it would start at once,
// whatever its length; else only if its first event is expected within maxFirstTargets, or,
// where streams miss their targets beside prefill, maxHarmfulFirstTargets, and, once half of
// the service's slots are busy, if it harms no more than one request. What is expected is
// multiplied by how much longer such prompts took lately. With short queues nearly as many
// long prompts are served under overload, more of them in time, and streams beside them miss
// fewer of their targets, where engines lose time to memory that runs out and to what is
// computed again.
// Inputs: the estimates of a Choice, the request's target, the time to its deadline.
// Unit: times in first-event targets; harm in requests.
// Never: a short prompt or a call of a plain service is not refused here; nothing
// is refused because of its class or team.

package placement

import "time"

const (
	// maxStartTargets is the longest wait, in first-event targets, after which a prompt counts
	// as started at once. Above the shortest waits, since few engines are seldom free.
	maxStartTargets = 0.15
	// maxFirstTargets is until when, in first-event targets, a prompt that waits has to have
	// its first event: what comes later earns little and delays everything behind it.
	maxFirstTargets = 1.0
	// maxHarmfulFirstTargets is the same where streams miss their targets beside prefill.
	maxHarmfulFirstTargets = 0.35
	// crowdedShare is the share of busy slots from which the service counts as crowded.
	crowdedShare = 0.5
	// crowdedHarm is the most harm that is admitted at a crowded service, in requests.
	crowdedHarm = 1.0
	// minRetryAfter is the soonest that a refused request may come back: a time in which
	// some prompts are computed at each engine.
	minRetryAfter = 700 * time.Millisecond
	// maxRetryShare is the share of the time to its deadline that a refused caller is told to
	// wait at the most, as one part in so many.
	maxRetryShare = 4
)

// Admit tells whether a request is to be sent to the chosen endpoint. If not, it
// returns when to come back: when the prompts that wait there will have been
// computed. left is the time to the request's deadline.
func (c Choice) Admit(r Request, left time.Duration) (retryAfter time.Duration, ok bool) {
	if !c.Long || r.FirstToken <= 0 {
		return 0, true
	}
	wait := c.expected(c.WaitMS)
	late := wait > targets(maxStartTargets, r) && c.expected(c.FirstMS) > targets(c.firstLimit(), r)
	harmful := c.BusyShare >= crowdedShare && c.Terms.Harm > crowdedHarm
	if late || harmful {
		return min(max(wait, minRetryAfter), left/maxRetryShare), false
	}
	return 0, true
}

// firstLimit returns until when the first event of a prompt that waits has to be expected, in
// first-event targets.
func (c Choice) firstLimit() float64 {
	if c.HarmsStreams {
		return maxHarmfulFirstTargets
	}
	return maxFirstTargets
}

// expected returns an estimated time as it came true lately.
func (c Choice) expected(ms float64) time.Duration {
	return time.Duration(ms * max(c.Overrun, 1) * float64(time.Millisecond))
}

// targets returns a multiple of the request's first-event target.
func targets(n float64, r Request) time.Duration {
	return time.Duration(n * float64(r.FirstToken))
}
