package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/upstream"
)

// attemptResult is how an attempt ended. It determines how the attempt is recorded; decide
// determines how the request continues.
type attemptResult interface {
	// placementOutcome returns the result for placement.
	placementOutcome() placement.Outcome
	// text returns the result for the log.
	text() string
}

type (
	// unreachable: no connection was established and nothing was sent.
	unreachable struct{ err error }
	// noResponse: the connection broke, or the response was invalid. The endpoint may have run the
	// request.
	noResponse struct{ err error }
	// endpointCrashed: the connection broke because the endpoint crashed while it was running the
	// request.
	endpointCrashed struct {
		err error
		at  time.Time
	}
	// withdrawn: nothing was sent, because the endpoint asked for a backoff, or had been draining
	// for too long, before the connection was ready.
	withdrawn struct{}
	// otherProcess: nothing was sent, because it is not certain that the process at the endpoint is that
	// of its record.
	otherProcess struct{ err error }
	// notRun: the endpoint reported that it did not run the request.
	notRun struct{ status int }
	// endpointError: the endpoint responded with an error, and did not report that the request was
	// not run.
	endpointError struct{ status int }
	// responded: any other response. It is relayed to the caller.
	responded struct{ status int }
	// deadlineExceeded: the deadline passed before the response was complete.
	deadlineExceeded struct{ sent bool }
	// callerLeft: the caller closed its connection.
	callerLeft struct{}
)

func (unreachable) placementOutcome() placement.Outcome      { return placement.Unreachable }
func (noResponse) placementOutcome() placement.Outcome       { return placement.Broken }
func (endpointCrashed) placementOutcome() placement.Outcome  { return placement.Broken }
func (withdrawn) placementOutcome() placement.Outcome        { return placement.Abandoned }
func (otherProcess) placementOutcome() placement.Outcome     { return placement.Abandoned }
func (notRun) placementOutcome() placement.Outcome           { return placement.Rejected }
func (endpointError) placementOutcome() placement.Outcome    { return placement.Errored }
func (responded) placementOutcome() placement.Outcome        { return placement.Succeeded }
func (deadlineExceeded) placementOutcome() placement.Outcome { return placement.Abandoned }
func (callerLeft) placementOutcome() placement.Outcome       { return placement.Abandoned }

func (withdrawn) text() string         { return outcomeWithdrawn }
func (e unreachable) text() string     { return e.err.Error() }
func (e noResponse) text() string      { return e.err.Error() }
func (e endpointCrashed) text() string { return "the endpoint crashed: " + e.err.Error() }
func (e otherProcess) text() string    { return e.err.Error() }
func (e notRun) text() string          { return "not run, " + http.StatusText(e.status) }
func (e endpointError) text() string   { return "status " + strconv.Itoa(e.status) }
func (e responded) text() string       { return "status " + strconv.Itoa(e.status) }
func (deadlineExceeded) text() string  { return "out of time" }
func (callerLeft) text() string        { return "the caller left" }

// resultOfError returns the result of an attempt that failed with err. ctxErr is the cause for
// which the request's context is done, or nil.
func resultOfError(ctxErr, err error) attemptResult {
	wasWithdrawn := errors.Is(err, upstream.ErrWithdrawn)
	isOtherProcess := errors.Is(err, upstream.ErrOtherProcess)
	sent := !wasWithdrawn && !isOtherProcess && !errors.Is(err, upstream.ErrUnreachable)
	switch {
	case errors.Is(ctxErr, context.Canceled):
		return callerLeft{}
	case ctxErr != nil:
		return deadlineExceeded{sent: sent}
	case wasWithdrawn:
		return withdrawn{}
	case isOtherProcess:
		return otherProcess{err}
	case !sent:
		return unreachable{err}
	default:
		return noResponse{err}
	}
}

// resultOfResponse returns the result of an attempt by the status and header of its response.
func resultOfResponse(ctxErr error, f driver.HeaderFields, status int, h http.Header) attemptResult {
	switch {
	case h.Get(f.NotRun) != "" || status == http.StatusMisdirectedRequest:
		return notRun{status}
	case status >= http.StatusInternalServerError || impliesNotRun(status):
		return endpointError{status}
	case succeeded(status) && h.Get(f.Seal) == "":
		return resultOfError(ctxErr, upstream.ErrInvalidResponse)
	default:
		return responded{status}
	}
}

func succeeded(status int) bool { return status/100 == 2 }

// impliesNotRun reports whether callers conclude from the status alone that the request was not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// notResumed: an endpoint did not resume a stream that broke at another endpoint.
type notResumed struct{ status int }

func (notResumed) placementOutcome() placement.Outcome { return placement.Rejected }
func (e notResumed) text() string                      { return "status " + strconv.Itoa(e.status) }
