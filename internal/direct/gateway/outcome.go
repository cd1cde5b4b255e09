// Decides whether a request is retried, resumed, answered or given up, and which state of execution
// (run, not run, unknown) the caller receives.
//
// Rules:
//   - a request that was certainly not run (no connection, or the endpoint reported it) is sent to
//     another endpoint, whatever its class;
//   - a request that may have run is sent again only if its class allows several runs;
//   - a stream that broke after part of it was relayed is resumed after the last event, if its
//     class allows it and an event had an ID;
//   - each of these only until the route's attempts, or maxFailedDials, are used up; the service's
//     retry budget is checked before the next attempt (forward.go);
//   - "not run" is reported only if no attempt may have run; for a request that may have run, a
//     status that callers read as "not run" is neither used nor relayed.
//
// Inputs: a retryState and an attemptResult; no clock, no I/O.
// Never: a response of which part was relayed is replaced by another response.

package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/upstream"
)

const (
	// maxFailedDials limits the attempts of one request for which no connection is established.
	maxFailedDials = 4

	// Retry-After of refused requests, by reason. They are within the platform's bound on
	// Retry-After.
	minNotReadyRetryAfter = 200 * time.Millisecond
	maxNotReadyRetryAfter = 3 * time.Second
	noEndpointRetryAfter  = 500 * time.Millisecond
	warmingRetryAfter     = 300 * time.Millisecond
	ineligibleRetryAfter  = 2 * time.Second // evacuations and regions without endpoints last long
	minLimitedRetryAfter  = 100 * time.Millisecond
	maxLimitedRetryAfter  = 2 * time.Second
	drainingRetryAfter    = 50 * time.Millisecond
	fullRetryAfter        = 300 * time.Millisecond
)

// retryState is the state of a request after an attempt, as far as decide needs it.
type retryState struct {
	attemptsLeft    bool // the route allows another attempt
	failedDialsLeft bool // another endpoint may be tried after a failed dial
	repeatable      bool // the class allows several runs
	mayHaveRun      bool // an earlier attempt may have run
	resumable       bool // the stream can continue after the last relayed event
}

// decision is how a request continues after an attempt.
type decision interface{ decision() }

type (
	// retry: the request is sent to another endpoint.
	retry struct{ mayHaveRun bool }
	// relay: the endpoint's response is relayed to the caller.
	relay struct{}
	// resume: the stream continues at another endpoint.
	resume struct{}
	// done: the caller has the complete response.
	done struct{}
	// fail: the request ends with an error response of the gateway or, if part of a response was
	// relayed, by aborting that.
	fail struct{ err *result.Error }
)

func (retry) decision()  {}
func (relay) decision()  {}
func (resume) decision() {}
func (done) decision()   {}
func (fail) decision()   {}

// decide returns how to continue after an attempt of whose response nothing was relayed.
func decide(s retryState, res attemptResult) decision {
	switch res := res.(type) {
	case unreachable:
		if s.failedDialsLeft {
			return retry{s.mayHaveRun}
		}
		return fail{newFailure(result.NoEndpoint, "no endpoint could be reached", s.mayHaveRun)}
	case withdrawn, otherProcess:
		return retry{s.mayHaveRun}
	case noResponse:
		return decideBroken(s, callerReason(res.err))
	case endpointCrashed:
		return decideBroken(s, "the endpoint crashed: "+callerReason(res.err))
	case notRun:
		return decideNotRun(s, res)
	case endpointError:
		return decideEndpointError(s, res)
	case deadlineExceeded:
		return fail{deadlineFailure(s.mayHaveRun || res.sent)}
	case callerLeft:
		return fail{&result.Error{Code: result.Cancelled, Run: result.Unknown}}
	default:
		return relay{}
	}
}

func decideBroken(s retryState, reason string) decision {
	if s.attemptsLeft && s.repeatable {
		return retry{mayHaveRun: true}
	}
	return fail{newFailure(result.EndpointFailed, reason, true)}
}

// callerReason returns the text of an error for the caller. An invalid response may hold bytes of a
// response to another caller, which are only logged.
func callerReason(err error) string {
	if errors.Is(err, upstream.ErrInvalidResponse) {
		return upstream.ErrInvalidResponse.Error()
	}
	return err.Error()
}

func decideNotRun(s retryState, res notRun) decision {
	switch {
	case s.attemptsLeft:
		return retry{s.mayHaveRun}
	case res.status == http.StatusMisdirectedRequest:
		return fail{newFailure(result.NoEndpoint, "the endpoint has left", s.mayHaveRun)}
	case s.mayHaveRun:
		return fail{newFailure(result.EndpointFailed, "an earlier send may have run", true)}
	default:
		return fail{&result.Error{Code: result.QueueFull, Run: result.NotRun, RetryAfter: fullRetryAfter, Reason: "the endpoint did not run it"}}
	}
}

func decideEndpointError(s retryState, res endpointError) decision {
	switch {
	case s.attemptsLeft && s.repeatable:
		return retry{mayHaveRun: true}
	case impliesNotRun(res.status):
		return fail{newFailure(result.EndpointFailed, "the endpoint failed", true)}
	default:
		return relay{}
	}
}

// decideBrokenStream returns how to continue after an attempt of whose stream part was relayed.
func decideBrokenStream(s retryState, res attemptResult) decision {
	switch res := res.(type) {
	case callerLeft:
		return fail{&result.Error{Code: result.Cancelled, Run: result.Ran}}
	case deadlineExceeded:
		return fail{&result.Error{Code: result.Stalled, Run: result.Ran, Reason: "the time allowed is over"}}
	default:
		if s.resumable {
			return resume{}
		}
		return fail{unresumable(res)}
	}
}

// unresumable returns the failure of a stream that broke and is not resumed.
func unresumable(res attemptResult) *result.Error {
	return &result.Error{Code: result.Unresumable, Run: result.Ran, Reason: res.text()}
}

// newFailure returns the gateway's response to a request that was given up. If no attempt may have
// run, it says "not run" and has a Retry-After. Otherwise it has a code whose status does not imply
// that the request was not run.
func newFailure(code result.Code, reason string, mayHaveRun bool) *result.Error {
	implied := impliesNotRun(code.Entry().Status)
	switch {
	case mayHaveRun && implied:
		return &result.Error{Code: result.EndpointFailed, Run: result.Unknown, Reason: reason}
	case mayHaveRun:
		return &result.Error{Code: code, Run: result.Unknown, Reason: reason}
	case code == result.RetriesUsed && !implied:
		code = result.NoEndpoint
	}
	return &result.Error{Code: code, Run: result.NotRun, Reason: reason, RetryAfter: noEndpointRetryAfter}
}

// noEndpoint returns the response to a request for which there is no endpoint to try.
func noEndpoint(unavailability placement.Unavailability, mayHaveRun bool) *result.Error {
	var code result.Code
	reason := unavailability.Reason.String()
	after := ineligibleRetryAfter
	switch unavailability.Reason {
	case eligibility.OutsideRegions:
		code = result.NoRegion
	case eligibility.Evacuated:
		code = result.Evacuated
	case eligibility.WarmingUp:
		code = result.WarmingUp
		after = warmingRetryAfter
	case eligibility.Limited:
		code = result.Limited
		after = min(max(unavailability.Wait, minLimitedRetryAfter), maxLimitedRetryAfter)
		reason = fmt.Sprintf("%s takes %.3g requests a second, as it said %v ago", unavailability.Endpoint, unavailability.Limit, unavailability.Since.Round(time.Millisecond))
	case eligibility.BackedOff:
		code = result.Overloaded
		after = max(unavailability.Wait, minLimitedRetryAfter)
		reason = fmt.Sprintf("%s asked for %v without requests, %v ago", unavailability.Endpoint, unavailability.Delay, unavailability.Since.Round(time.Millisecond))
	case eligibility.Draining:
		return newFailure(result.NoEndpoint, "all endpoints drain", mayHaveRun)
	case eligibility.OtherVersion:
		code = result.VersionGone
		after = 0 // the same stream can't go on later either
	default:
		return newFailure(result.NoEndpoint, "", mayHaveRun)
	}
	failure := newFailure(code, reason, mayHaveRun)
	if failure.Run == result.NotRun {
		failure.RetryAfter = after
	}
	return failure
}

// deadlineFailure returns the response to a request whose deadline has passed.
func deadlineFailure(mayHaveRun bool) *result.Error {
	if !mayHaveRun {
		return &result.Error{Code: result.GaveUp, Run: result.NotRun, RetryAfter: noEndpointRetryAfter}
	}
	return &result.Error{Code: result.Stalled, Run: result.Unknown, Reason: "no answer within the time allowed"}
}
