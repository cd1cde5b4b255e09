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

// allEvents are the events of an attempt of which nothing was passed on.
var allEvents = []struct {
	name  string
	event event
}{
	{"no connection", unreachable{errors.New("refused")}},
	{"no valid answer", noAnswer{errors.New("broke off")}},
	{"not run, 503", notRun{http.StatusServiceUnavailable}},
	{"not run, 421", notRun{http.StatusMisdirectedRequest}},
	{"error 500", endpointError{http.StatusInternalServerError}},
	{"error 503", endpointError{http.StatusServiceUnavailable}},
	{"error 429", endpointError{http.StatusTooManyRequests}},
	{"answer 200", answered{http.StatusOK}},
	{"answer 404", answered{http.StatusNotFound}},
	{"deadline, not sent", deadlinePassed{}},
	{"deadline, sent", deadlinePassed{sent: true}},
	{"caller left", callerLeft{}},
}

// words returns an outcome as an engineer would read it.
func words(o outcome) string {
	switch o := o.(type) {
	case retry:
		return fmt.Sprintf("retry (may have run: %s)", yes(o.mayHaveRun))
	case passOn:
		return "pass on"
	case resume:
		return "resume"
	case done:
		return "done"
	case fail:
		back := ""
		if o.err.RetryAfter > 0 {
			back = fmt.Sprintf(", back after %v", o.err.RetryAfter)
		}
		return fmt.Sprintf("%s (%s, status %d%s)", o.err.Code, o.err.Run, o.err.Code.Entry().Status, back)
	default:
		return "unknown"
	}
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// TestDecisions holds what follows each event in each situation to a table that can
// be read at night: testdata/outcomes.golden.
func TestDecisions(t *testing.T) {
	var got strings.Builder
	fmt.Fprintln(&got, "| what happened | may another attempt follow | may the class run twice | may an earlier attempt have run | what follows |")
	fmt.Fprintln(&got, "| --- | --- | --- | --- | --- |")
	for _, e := range allEvents {
		for n := range 8 {
			s := situation{attemptsLeft: n&4 == 0, dialsLeft: n&4 == 0, repeatable: n&2 == 0, mayHaveRun: n&1 != 0}
			fmt.Fprintf(&got, "| %s | %s | %s | %s | %s |\n", e.name, yes(s.attemptsLeft), yes(s.repeatable), yes(s.mayHaveRun), words(decide(s, e.event)))
		}
	}
	fmt.Fprintln(&got, "\nOnce some of a stream was passed on:")
	fmt.Fprintln(&got, "\n| what happened | can it be resumed | what follows |")
	fmt.Fprintln(&got, "| --- | --- | --- |")
	for _, e := range []struct {
		name  string
		event event
	}{{"the stream broke", noAnswer{errors.New("broke off")}}, {"deadline", deadlinePassed{sent: true}}, {"caller left", callerLeft{}}} {
		for _, resumable := range []bool{true, false} {
			fmt.Fprintf(&got, "| %s | %s | %s |\n", e.name, yes(resumable), words(decideBroken(situation{resumable: resumable}, e.event)))
		}
	}
	golden.Compare(t, "outcomes.golden", got.String())
}

// TestNothingRunsTwice holds the two promises over all situations: what may not run
// twice is not sent again after it may have run, and "not run" is not said of it.
func TestNothingRunsTwice(t *testing.T) {
	for _, e := range allEvents {
		for n := range 4 {
			s := situation{attemptsLeft: n&1 == 0, dialsLeft: n&1 == 0, mayHaveRun: n&2 != 0}
			ran := false
			switch e.event.(type) {
			case noAnswer, endpointError:
				ran = true
			}
			switch o := decide(s, e.event).(type) {
			case retry:
				if ran || o.mayHaveRun != s.mayHaveRun {
					t.Errorf("%s in %+v: sent again: %+v", e.name, s, o)
				}
			case fail:
				promises := o.err.Run == result.NotRun || promisesNotRun(o.err.Code.Entry().Status)
				if (ran || s.mayHaveRun) && promises {
					t.Errorf("%s in %+v: %v promises that it was not run", e.name, s, o.err)
				}
			}
		}
	}
}

func TestEventOfAnswer(t *testing.T) {
	f := driver.Fields{NotRun: "X-Not-Run", Seal: "X-Seal"}
	sealed := http.Header{"X-Seal": {"s"}}
	for _, c := range []struct {
		name   string
		ctxErr error
		status int
		header http.Header
		want   string
	}{
		{"whole", nil, 200, sealed, "gateway.answered{status:200}"},
		{"without the endpoint's mark", nil, 200, http.Header{}, "gateway.noAnswer"},
		{"without it, too late", context.DeadlineExceeded, 200, http.Header{}, "gateway.deadlinePassed{sent:true}"},
		{"not found", nil, 404, http.Header{}, "gateway.answered{status:404}"},
		{"the endpoint's word", nil, 503, http.Header{"X-Not-Run": {"1"}}, "gateway.notRun{status:503}"},
		{"another endpoint's request", nil, 421, http.Header{}, "gateway.notRun{status:421}"},
		{"503 without the word", nil, 503, sealed, "gateway.endpointError{status:503}"},
		{"429 without the word", nil, 429, sealed, "gateway.endpointError{status:429}"},
		{"500", nil, 500, sealed, "gateway.endpointError{status:500}"},
	} {
		if got := fmt.Sprintf("%#v", eventOfAnswer(c.ctxErr, f, c.status, c.header)); !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

func TestEventOfError(t *testing.T) {
	broke := fmt.Errorf("%w: reset", upstream.ErrBroken)
	refused := fmt.Errorf("%w: refused", upstream.ErrUnreachable)
	for _, c := range []struct {
		name   string
		ctxErr error
		err    error
		want   event
	}{
		{"broke", nil, broke, noAnswer{broke}},
		{"no connection", nil, refused, unreachable{refused}},
		{"too late", context.DeadlineExceeded, broke, deadlinePassed{sent: true}},
		{"too late to connect", context.DeadlineExceeded, refused, deadlinePassed{}},
		{"the caller left", context.Canceled, broke, callerLeft{}},
	} {
		if got := eventOfError(c.ctxErr, c.err); got != c.want {
			t.Errorf("%s: got %#v, want %#v", c.name, got, c.want)
		}
	}
}

func TestMayDeny(t *testing.T) {
	if !mayDeny(currentFor) || mayDeny(currentFor+1) {
		t.Error("settings are denied by for another time than currentFor")
	}
}
