// Package admission decides whether a request is sent to the endpoint that placement has chosen,
// or refused for now.
//
// Rule: only long prompts are refused. A prompt that would start at once is in time, whatever its
// length. Any other is in time if its first event is expected within maxFirstEventTargets, or
// within maxInterferenceFirstEventTargets where streams miss their targets during prefill. A
// prompt is admitted if it is in time and, once half of the service's slots are busy, its
// interference is at most maxBusyInterference. Expected times are multiplied by the recent
// overrun of such prompts. If engines lose time to exhausted memory and recomputation, short
// queues allow nearly as many long prompts to be served under overload, more of them in time, and
// streams beside them miss fewer of their targets.
// Inputs: the estimates of a placement.Choice, the request's target, the time to its deadline.
// Unit: times in first-event targets; interference in requests.
// Never: a short prompt, or a call of a service without a model, is refused here; a request is
// refused because of its class.
package admission

import (
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/share"
)

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
	// minRetryAfter is the shortest delay before a refused request is retried. Each engine
	// computes some prompts in this time.
	minRetryAfter = 700 * time.Millisecond
	// retryAfterDivisor is the divisor of the time to the deadline that bounds the delay before
	// a retry.
	retryAfterDivisor = 4
)

// Input holds what the decision about one request depends on.
type Input struct {
	Choice  placement.Choice
	Request placement.Request
	Left    time.Duration // until the request's deadline

	Standing share.Standing // of the request's team
	Situation
	Held   time.Duration // for which the request has been held here
	Random float64       // in [0, 1), for spreading
}

// Decision is the result of Decide.
type Decision interface{ decision() }

type (
	// Send is the decision to send the request to the chosen endpoint.
	Send struct{}
	// Hold is the decision to let the request wait at the entry for a time, and decide again.
	Hold struct{ For time.Duration }
	// Refuse is the decision to refuse the request. Its caller may come back after RetryAfter.
	Refuse struct{ RetryAfter time.Duration }
)

func (Send) decision()   {}
func (Hold) decision()   {}
func (Refuse) decision() {}

// Decide returns what to do with a request. A refused one may be retried after the expected time
// until the prompts that wait at the endpoint have been computed, within bounds.
func Decide(i Input) Decision {
	c, r := i.Choice, i.Request
	if !c.Long || r.FirstEventTarget <= 0 {
		return Send{}
	}
	factor := i.limitFactor()
	wait := correctedTime(c, c.WaitMS)
	first := correctedTime(c, c.FirstMS)
	late := wait > targetMultiple(immediateStartTargets*factor, r) && first > targetMultiple(min(firstEventLimit(c)*factor, maxBelowShareFirstEventTargets), r)
	interferes := c.Terms.Interference > i.interferenceLimit()
	if !late && !interferes && !i.awaitsPrefix() && !i.tooLate() {
		return Send{}
	}
	if i.Queued {
		return decideLate(i, wait)
	}
	return Refuse{RetryAfter: min(max(wait, minRetryAfter), i.Left/retryAfterDivisor)}
}

// firstEventLimit returns the latest expected first event of a prompt that waits, in
// first-event targets.
func firstEventLimit(c placement.Choice) float64 {
	if c.PrefillInterferes {
		return maxInterferenceFirstEventTargets
	}
	return maxFirstEventTargets
}

// correctedTime returns an estimated time multiplied by the recent overrun.
func correctedTime(c placement.Choice, ms float64) time.Duration {
	return time.Duration(ms * max(c.Overrun, 1) * float64(time.Millisecond))
}

// targetMultiple returns a multiple of the request's first-event target.
func targetMultiple(n float64, r placement.Request) time.Duration {
	return time.Duration(n * float64(r.FirstEventTarget))
}
