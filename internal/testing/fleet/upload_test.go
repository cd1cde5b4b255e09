package fleet_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

const (
	// longUpload is the size of a request's body, in bytes, that socket buffers do not hold.
	longUpload = 8 << 20
	// uploadAttempts is how often an end is tried, since who learns of a reset is a race.
	uploadAttempts = 4
	// arrivalTime is the time in which a response arrives before its connection ends.
	arrivalTime = 5 * time.Millisecond
	// untilCloseLines are the header lines of a response that ends with its connection.
	untilCloseLines = "Connection: close\r\n"
)

// newUploadFleet starts one entry and one endpoint.
func newUploadFleet(t *testing.T) (*fleet, *platformtest.Runner) {
	t.Helper()
	f := newFleet(t, 1, 0)
	r := platformtest.NewRunner("i-1", service, platformtest.Hang{})
	t.Cleanup(r.Close)
	f.store.PutEndpoint(r, "ready")
	f.eventually("the endpoint is known", func() bool { return len(f.entries[0].gateway.Dump().Endpoints) == 1 })
	return f, r
}

// uploadRaw sends a request with a long body over a connection of its own.
func (f *fleet) uploadRaw(target string) rawResponse {
	f.t.Helper()
	return f.sendRaw(f.entries[0], f.newRequest(f.t.Context(), f.entries[0], target, strings.Repeat("x", longUpload)), "HTTP/1.1")
}

// succeeded reports whether the response looks like a complete success.
func (r rawResponse) succeeded() bool { return r.whole && strings.HasPrefix(r.head, "HTTP/1.1 200") }

// TestResponseCutOffUnderUploadIsNotComplete guards against a reset that only the write of the request sees.
func TestResponseCutOffUnderUploadIsNotComplete(t *testing.T) {
	f, r := newUploadFleet(t)
	for _, e := range []platformtest.Early{
		{End: platformtest.ResetUnread},
		{End: platformtest.ResetUnread, Wait: arrivalTime},
		{End: platformtest.CloseUnread},
		{End: platformtest.CloseUnread, Wait: arrivalTime},
		{End: platformtest.HalfCloseReset, Wait: arrivalTime},
	} {
		for name, body := range map[string]string{"short": "a part of the answer", "long": strings.Repeat("part ", 100<<10)} {
			t.Run(name+", "+e.End.String()+" after "+e.Wait.String(), func(t *testing.T) {
				e.Status, e.Framing, e.Body = http.StatusOK, untilCloseLines, body
				r.SetDefault(e)
				complete := 0
				for range uploadAttempts {
					if f.uploadRaw("/page/1").succeeded() {
						complete++
					}
				}
				if complete > 0 {
					t.Errorf("%d of %d parts of an answer look complete", complete, uploadAttempts)
				}
			})
		}
	}
}

// TestRequestOfResponseCutOffUnderUploadMayHaveRun guards against a second run of what may run once.
func TestRequestOfResponseCutOffUnderUploadMayHaveRun(t *testing.T) {
	f, r := newUploadFleet(t)
	r.SetDefault(platformtest.Early{Status: http.StatusOK, Framing: untilCloseLines, Body: "part", Wait: arrivalTime, End: platformtest.ResetUnread})
	for n := range uploadAttempts {
		if a := f.uploadRaw("/book/1"); !strings.HasPrefix(a.head, "HTTP/1.1 502") {
			t.Errorf("got %s", a.head)
		}
		if runs := len(r.Runs()); runs != n+1 {
			t.Fatalf("%d runs of %d requests", runs, n+1)
		}
	}
}

// TestStreamCutOffUnderUploadIsResumed guards against a stream that ends with its first whole event.
func TestStreamCutOffUnderUploadIsResumed(t *testing.T) {
	cut := platformtest.Early{Status: http.StatusOK, Framing: untilCloseLines + "Content-Type: text/event-stream\r\n",
		Body: eventText("i-1", 1), Wait: arrivalTime, End: platformtest.ResetUnread}
	whole := platformtest.Events{To: lastEvent}
	var script []platformtest.Behavior
	for range uploadAttempts {
		script = append(script, cut, whole)
	}
	f := newScriptedFleet(t, 2, whole, script...)
	for range uploadAttempts {
		if a := f.uploadRaw("/chat/1"); !a.whole || a.eventIDs() != "1 2 3 4 5 6" {
			t.Errorf("whole %t, events %q", a.whole, a.eventIDs())
		}
	}
}

// TestWholeResponseUnderUploadIsRelayed guards against losing responses that are whole before their request is.
func TestWholeResponseUnderUploadIsRelayed(t *testing.T) {
	const body = "the whole answer"
	sized := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	chunked := "Transfer-Encoding: chunked\r\n"
	chunks := strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	f, r := newUploadFleet(t)
	for name, e := range map[string]platformtest.Early{
		"length, reads on":                    {Framing: sized, Body: body},
		"length, closes":                      {Framing: sized, Body: body, Wait: arrivalTime, End: platformtest.CloseUnread},
		"length, resets":                      {Framing: sized, Body: body, Wait: arrivalTime, End: platformtest.ResetUnread},
		"chunks, reads on":                    {Framing: chunked, Body: chunks},
		"chunks, closes":                      {Framing: chunked, Body: chunks, Wait: arrivalTime, End: platformtest.CloseUnread},
		"chunks, resets":                      {Framing: chunked, Body: chunks, Wait: arrivalTime, End: platformtest.ResetUnread},
		"until close, half-closes, reads on":  {Framing: untilCloseLines, Body: body, End: platformtest.HalfCloseRead},
		"until close, half-closes and stalls": {Framing: untilCloseLines, Body: body, End: platformtest.HalfCloseStall},
	} {
		for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
			t.Run(name+", "+strconv.Itoa(status), func(t *testing.T) {
				e.Status = status
				r.SetDefault(e)
				a := f.uploadRaw("/page/1")
				if !a.whole || a.body != body || !strings.HasPrefix(a.head, "HTTP/1.1 "+strconv.Itoa(status)) {
					t.Errorf("whole %t, body %q, head %s", a.whole, a.body, a.head)
				}
			})
		}
	}
}

// TestCloseAfterWholeUploadIsRelayed guards against losing a response that ends with its connection.
func TestCloseAfterWholeUploadIsRelayed(t *testing.T) {
	f, r := newUploadFleet(t)
	for _, interim := range []bool{false, true} {
		r.SetDefault(platformtest.Unframed{Body: "the whole answer", Interim: interim})
		for range uploadAttempts {
			if a := f.uploadRaw("/page/1"); !a.succeeded() || a.body != "the whole answer" {
				t.Errorf("interim %t: whole %t, body %q, head %s", interim, a.whole, a.body, a.head)
			}
		}
	}
}
