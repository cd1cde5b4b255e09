// Decides whether a request is sent to the chosen endpoint or rejected for now.
//
// Rule: only long prompts are rejected. A prompt that would start at once is in time, whatever its
// length. Any other is in time if its first event is expected within maxFirstEventTargets, or
// within maxInterferenceFirstEventTargets where streams miss their targets during prefill. A
// prompt is admitted if it is in time and, once half of the service's slots are busy, its
// interference is at most maxBusyInterference. Expected times are multiplied by the recent
// overrun of such prompts. If engines lose time to exhausted memory and recomputation, short
// queues allow nearly as many long prompts to be served under overload, more of them in time, and
// streams beside them miss fewer of their targets.
// Inputs: the estimates of a Choice, the request's target, the time to its deadline.
// Unit: times in first-event targets; interference in requests.
// Never: a short prompt, or a call of a service without a model, is rejected here; a request is
// rejected because of its class or team.

package placement

import "time"

const (
	// immediateStartTargets is the longest wait, in first-event targets, after which a prompt
	// counts as started at once. It is above the shortest waits, since an engine of a small
	// service is seldom free.
	immediateStartTargets = 0.15
	// maxFirstEventTargets is the latest expected first event of a prompt that waits, in
	// first-event targets. A later response has little value and delays all prompts behind it.
	maxFirstEventTargets = 1.0
	// maxInterferenceFirstEventTargets is the same where streams miss their targets during
	// prefill.
	maxInterferenceFirstEventTargets = 0.35
	// busyServiceShare is the share of busy slots from which maxBusyInterference applies.
	busyServiceShare = 0.5
	// maxBusyInterference is the most interference admitted at a busy service, in requests.
	maxBusyInterference = 1.0
	// minRetryAfter is the shortest delay before a rejected request is retried. Each engine
	// computes some prompts in this time.
	minRetryAfter = 700 * time.Millisecond
	// retryAfterDivisor is the divisor of the time to the deadline that bounds the delay before
	// a retry.
	retryAfterDivisor = 4
)

// Admit reports whether to send a request to the chosen endpoint. If not, it returns the delay
// before a retry: the expected time until the prompts that wait there have been computed,
// within bounds. left is the time to the request's deadline.
func (c Choice) Admit(r Request, left time.Duration) (retryAfter time.Duration, ok bool) {
	if !c.Long || r.FirstEventTarget <= 0 {
		return 0, true
	}
	wait := c.correctedTime(c.WaitMS)
	late := wait > targetMultiple(immediateStartTargets, r) && c.correctedTime(c.FirstMS) > targetMultiple(c.firstEventLimit(), r)
	interferes := c.BusyShare >= busyServiceShare && c.Terms.Interference > maxBusyInterference
	if late || interferes {
		return min(max(wait, minRetryAfter), left/retryAfterDivisor), false
	}
	return 0, true
}

// firstEventLimit returns the latest expected first event of a prompt that waits, in
// first-event targets.
func (c Choice) firstEventLimit() float64 {
	if c.PrefillInterferes {
		return maxInterferenceFirstEventTargets
	}
	return maxFirstEventTargets
}

// correctedTime returns an estimated time multiplied by the recent overrun.
func (c Choice) correctedTime(ms float64) time.Duration {
	return time.Duration(ms * max(c.Overrun, 1) * float64(time.Millisecond))
}

// targetMultiple returns a multiple of the request's first-event target.
func targetMultiple(n float64, r Request) time.Duration {
	return time.Duration(n * float64(r.FirstEventTarget))
}
