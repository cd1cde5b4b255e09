// Whether a request is sent again, resumed, answered, or given up, and what is
// said of whether it was run.
//
// Rules:
//   - what was certainly not run (no connection, or the endpoint's word) is sent to
//     another endpoint, whatever its class;
//   - what may have run is sent again only if its class may run more than once;
//   - a stream that broke after some of it was passed on is resumed after the last
//     event, if its class allows it and an event named itself;
//   - each only while the route's attempts, or maxDials, are not used up; the retry
//     budget of the service is asked before the next attempt (forward.go);
//   - "not run" is said only if no attempt may have run; a status that callers read as
//     "not run" is not used, nor passed on, for a request that may have run.
//
// Inputs: a situation and an event; no clock, no I/O.
// Never: an answer of which some was passed on is not replaced by another answer.

package gateway

import (
	"fmt"
	"net/http"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/result"
)

const (
	// maxDials bounds the attempts of one request for which no connection is established.
	maxDials = 4

	// Times after which a refused caller may come back, by what it met, within the
	// platform's bound on Retry-After.
	minNotReadyRetryAfter = 200 * time.Millisecond
	maxNotReadyRetryAfter = 3 * time.Second
	noEndpointRetryAfter  = 500 * time.Millisecond
	warmingRetryAfter     = 300 * time.Millisecond
	ineligibleRetryAfter  = 2 * time.Second // an evacuation or a region without endpoints lasts
	minLimitedRetryAfter  = 100 * time.Millisecond
	maxLimitedRetryAfter  = 2 * time.Second
	drainingRetryAfter    = 50 * time.Millisecond
	fullRetryAfter        = 300 * time.Millisecond
)

// situation is what is known of a request after an attempt of it.
type situation struct {
	attemptsLeft bool // the route allows another attempt
	dialsLeft    bool // another endpoint may be tried without a connection
	repeatable   bool // the class may run more than once
	mayHaveRun   bool // an earlier attempt may have run
	resumable    bool // a stream can go on after the last event passed on
}

// outcome is what follows an attempt.
type outcome interface{ outcome() }

type (
	// retry: the request is sent to another endpoint.
	retry struct{ mayHaveRun bool }
	// passOn: the endpoint's answer goes to the caller.
	passOn struct{}
	// resume: the stream goes on at another endpoint.
	resume struct{}
	// done: the caller has its whole answer.
	done struct{}
	// fail: the request ends with an answer of the gateway's own or, if some of an
	// answer was passed on, by breaking it off.
	fail struct{ err *result.Error }
)

func (retry) outcome()  {}
func (passOn) outcome() {}
func (resume) outcome() {}
func (done) outcome()   {}
func (fail) outcome()   {}

// decide returns what follows an attempt of which nothing was passed on.
func decide(s situation, e event) outcome {
	switch e := e.(type) {
	case unreachable:
		if s.dialsLeft {
			return retry{s.mayHaveRun}
		}
		return fail{ownFailure(result.NoEndpoint, "no endpoint could be reached", s.mayHaveRun)}
	case withdrawn:
		return retry{s.mayHaveRun}
	case noAnswer, endpointCrashed:
		if s.attemptsLeft && s.repeatable {
			return retry{mayHaveRun: true}
		}
		return fail{ownFailure(result.EndpointFailed, e.text(), true)}
	case notRun:
		return decideNotRun(s, e)
	case endpointError:
		return decideEndpointError(s, e)
	case deadlinePassed:
		return fail{deadlineFailure(s.mayHaveRun || e.sent)}
	case callerLeft:
		return fail{&result.Error{Code: result.Cancelled, Run: result.Unknown}}
	default:
		return passOn{}
	}
}

func decideNotRun(s situation, e notRun) outcome {
	switch {
	case s.attemptsLeft:
		return retry{s.mayHaveRun}
	case e.status == http.StatusMisdirectedRequest:
		return fail{ownFailure(result.NoEndpoint, "the endpoint has left", s.mayHaveRun)}
	case s.mayHaveRun:
		return fail{ownFailure(result.EndpointFailed, "an earlier send may have run", true)}
	default:
		return fail{&result.Error{Code: result.QueueFull, Run: result.NotRun, RetryAfter: fullRetryAfter, Reason: "the endpoint did not run it"}}
	}
}

func decideEndpointError(s situation, e endpointError) outcome {
	switch {
	case s.attemptsLeft && s.repeatable:
		return retry{mayHaveRun: true}
	case promisesNotRun(e.status):
		return fail{ownFailure(result.EndpointFailed, "the endpoint failed", true)}
	default:
		return passOn{}
	}
}

// decideBroken returns what follows an attempt of whose stream some was passed on.
func decideBroken(s situation, e event) outcome {
	switch e := e.(type) {
	case callerLeft:
		return fail{&result.Error{Code: result.Cancelled, Run: result.Ran}}
	case deadlinePassed:
		return fail{&result.Error{Code: result.Stalled, Run: result.Ran, Reason: "the time allowed is over"}}
	default:
		if s.resumable {
			return resume{}
		}
		return fail{unresumable(e)}
	}
}

// unresumable returns the failure of a stream that broke and does not go on.
func unresumable(e event) *result.Error {
	return &result.Error{Code: result.Unresumable, Run: result.Ran, Reason: e.text()}
}

// ownFailure returns the gateway's own answer to a request that was given up: "not
// run" and when to come back if no attempt may have run, else a code whose status
// promises nothing.
func ownFailure(code result.Code, reason string, mayHaveRun bool) *result.Error {
	promises := promisesNotRun(code.Entry().Status)
	switch {
	case mayHaveRun && promises:
		return &result.Error{Code: result.EndpointFailed, Run: result.Unknown, Reason: reason}
	case mayHaveRun:
		return &result.Error{Code: code, Run: result.Unknown, Reason: reason}
	case code == result.RetriesUsed && !promises:
		code = result.NoEndpoint
	}
	return &result.Error{Code: code, Run: result.NotRun, Reason: reason, RetryAfter: noEndpointRetryAfter}
}

// noEndpoint returns the answer to a request for which there is no endpoint to try.
func noEndpoint(o placement.Obstacle, mayHaveRun bool) *result.Error {
	var code result.Code
	reason := o.Reason.String()
	after := ineligibleRetryAfter
	switch o.Reason {
	case eligibility.OutsideRegions:
		code = result.NoRegion
	case eligibility.Evacuated:
		code = result.Evacuated
	case eligibility.WarmingUp:
		code = result.WarmingUp
		after = warmingRetryAfter
	case eligibility.Limited:
		code = result.Limited
		after = min(max(o.Wait, minLimitedRetryAfter), maxLimitedRetryAfter)
		reason = fmt.Sprintf("%s takes %.3g requests a second, as it said %v ago", o.Endpoint, o.Limit, o.Since.Round(time.Millisecond))
	case eligibility.BackedOff:
		code = result.Overloaded
		after = max(o.Wait, minLimitedRetryAfter)
		reason = fmt.Sprintf("%s asked for %v without requests, %v ago", o.Endpoint, o.Delay, o.Since.Round(time.Millisecond))
	case eligibility.Draining:
		return ownFailure(result.NoEndpoint, "all endpoints drain", mayHaveRun)
	default:
		return ownFailure(result.NoEndpoint, "", mayHaveRun)
	}
	failed := ownFailure(code, reason, mayHaveRun)
	if failed.Run == result.NotRun {
		failed.RetryAfter = after
	}
	return failed
}

// deadlineFailure returns the answer to a request whose deadline has passed.
func deadlineFailure(mayHaveRun bool) *result.Error {
	if !mayHaveRun {
		return &result.Error{Code: result.GaveUp, Run: result.NotRun, RetryAfter: noEndpointRetryAfter}
	}
	return &result.Error{Code: result.Stalled, Run: result.Unknown, Reason: "no answer within the time allowed"}
}
