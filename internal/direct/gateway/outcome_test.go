package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/testing/golden"
)

// allResults are the results of an attempt of whose response nothing was relayed.
var allResults = []struct {
	name   string
	result attemptResult
}{
	{"no connection", unreachable{errors.New("refused")}},
	{"no valid answer", noResponse{errors.New("broke off")}},
	{"not run, 503", notRun{http.StatusServiceUnavailable}},
	{"not run, 421", notRun{http.StatusMisdirectedRequest}},
	{"error 500", endpointError{http.StatusInternalServerError}},
	{"error 503", endpointError{http.StatusServiceUnavailable}},
	{"error 429", endpointError{http.StatusTooManyRequests}},
	{"answer 200", responded{http.StatusOK}},
	{"answer 404", responded{http.StatusNotFound}},
	{"deadline, not sent", deadlineExceeded{}},
	{"deadline, sent", deadlineExceeded{sent: true}},
	{"caller left", callerLeft{}},
}

// decisionText returns the text of a decision in the table.
func decisionText(d decision) string {
	switch d := d.(type) {
	case retry:
		return fmt.Sprintf("retry (may have run: %s)", yesNo(d.mayHaveRun))
	case relay:
		return "pass on"
	case resume:
		return "resume"
	case done:
		return "done"
	case fail:
		retryAfter := ""
		if d.err.RetryAfter > 0 {
			retryAfter = fmt.Sprintf(", back after %v", d.err.RetryAfter)
		}
		return fmt.Sprintf("%s (%s, status %d%s)", d.err.Code, d.err.Run, d.err.Code.Entry().Status, retryAfter)
	default:
		return "unknown"
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// TestDecisions compares the decision for each result and state with a readable table:
// testdata/outcomes.golden.
func TestDecisions(t *testing.T) {
	var got strings.Builder
	fmt.Fprintln(&got, "| what happened | may another attempt follow | may the class run twice | may an earlier attempt have run | what follows |")
	fmt.Fprintln(&got, "| --- | --- | --- | --- | --- |")
	for _, e := range allResults {
		for n := range 8 {
			s := retryState{attemptsLeft: n&4 == 0, failedDialsLeft: n&4 == 0, repeatable: n&2 == 0, mayHaveRun: n&1 != 0}
			fmt.Fprintf(&got, "| %s | %s | %s | %s | %s |\n", e.name, yesNo(s.attemptsLeft), yesNo(s.repeatable), yesNo(s.mayHaveRun), decisionText(decide(s, e.result)))
		}
	}
	fmt.Fprintln(&got, "\nOnce some of a stream was passed on:")
	fmt.Fprintln(&got, "\n| what happened | can it be resumed | what follows |")
	fmt.Fprintln(&got, "| --- | --- | --- |")
	for _, e := range []struct {
		name   string
		result attemptResult
	}{{"the stream broke", noResponse{errors.New("broke off")}}, {"deadline", deadlineExceeded{sent: true}}, {"caller left", callerLeft{}}} {
		for _, resumable := range []bool{true, false} {
			fmt.Fprintf(&got, "| %s | %s | %s |\n", e.name, yesNo(resumable), decisionText(decideBrokenStream(retryState{resumable: resumable}, e.result)))
		}
	}
	golden.Compare(t, "outcomes.golden", got.String())
}

// TestNothingRunsTwice checks two rules for all states: a request that may not run twice is not
// sent again after it may have run, and it is not reported as not run.
func TestNothingRunsTwice(t *testing.T) {
	for _, e := range allResults {
		for n := range 4 {
			s := retryState{attemptsLeft: n&1 == 0, failedDialsLeft: n&1 == 0, mayHaveRun: n&2 != 0}
			ran := false
			switch e.result.(type) {
			case noResponse, endpointError:
				ran = true
			}
			switch d := decide(s, e.result).(type) {
			case retry:
				if ran || d.mayHaveRun != s.mayHaveRun {
					t.Errorf("%s in %+v: sent again: %+v", e.name, s, d)
				}
			case fail:
				impliesNot := d.err.Run == result.NotRun || impliesNotRun(d.err.Code.Entry().Status)
				if (ran || s.mayHaveRun) && impliesNot {
					t.Errorf("%s in %+v: %v reports it as not run", e.name, s, d.err)
				}
			}
		}
	}
}

func TestResultOfResponse(t *testing.T) {
	f := driver.HeaderFields{NotRun: "X-Not-Run", Seal: "X-Seal"}
	sealed := http.Header{"X-Seal": {"s"}}
	for _, c := range []struct {
		name   string
		ctxErr error
		status int
		header http.Header
		want   string
	}{
		{"whole", nil, 200, sealed, "gateway.responded{status:200}"},
		{"without the seal", nil, 200, http.Header{}, "gateway.noResponse"},
		{"without the seal, after the deadline", context.DeadlineExceeded, 200, http.Header{}, "gateway.deadlineExceeded{sent:true}"},
		{"not found", nil, 404, http.Header{}, "gateway.responded{status:404}"},
		{"reported as not run", nil, 503, http.Header{"X-Not-Run": {"1"}}, "gateway.notRun{status:503}"},
		{"misdirected request", nil, 421, http.Header{}, "gateway.notRun{status:421}"},
		{"503 without the field", nil, 503, sealed, "gateway.endpointError{status:503}"},
		{"429 without the field", nil, 429, sealed, "gateway.endpointError{status:429}"},
		{"500", nil, 500, sealed, "gateway.endpointError{status:500}"},
	} {
		if got := fmt.Sprintf("%#v", resultOfResponse(c.ctxErr, f, c.status, c.header)); !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

func TestResultOfError(t *testing.T) {
	broke := fmt.Errorf("%w: reset", upstream.ErrBroken)
	refused := fmt.Errorf("%w: refused", upstream.ErrUnreachable)
	for _, c := range []struct {
		name   string
		ctxErr error
		err    error
		want   attemptResult
	}{
		{"broke", nil, broke, noResponse{broke}},
		{"no connection", nil, refused, unreachable{refused}},
		{"after the deadline", context.DeadlineExceeded, broke, deadlineExceeded{sent: true}},
		{"no connection before the deadline", context.DeadlineExceeded, refused, deadlineExceeded{}},
		{"the caller left", context.Canceled, broke, callerLeft{}},
	} {
		if got := resultOfError(c.ctxErr, c.err); got != c.want {
			t.Errorf("%s: got %#v, want %#v", c.name, got, c.want)
		}
	}
}

func TestMayDeny(t *testing.T) {
	if !mayDeny(maxConfirmationAge) || mayDeny(maxConfirmationAge+1) {
		t.Error("mayDeny does not change at maxConfirmationAge")
	}
}

// TestFailureShowsNoBytesOfEndpoint guards against bytes of another caller's response in an error.
func TestFailureShowsNoBytesOfEndpoint(t *testing.T) {
	invalid := fmt.Errorf("%w: it carries id %q", upstream.ErrInvalidResponse, "of another caller")
	for _, res := range []attemptResult{noResponse{invalid}, endpointCrashed{err: invalid}} {
		failed, ok := decide(retryState{}, res).(fail)
		if !ok || strings.Contains(failed.err.Reason, "of another caller") {
			t.Errorf("the caller gets %+v", failed.err)
		}
	}
}
