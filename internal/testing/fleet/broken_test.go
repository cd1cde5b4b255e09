package fleet_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// lastEvent is the number of events of a whole stream in these tests.
const lastEvent = 6

// eventText returns an event as the stand-in endpoint sends it.
func eventText(endpoint string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, endpoint, n)
}

// rawResponse is a response as it arrived on a socket.
type rawResponse struct {
	head  string
	body  string // with its framing removed
	whole bool   // the framing proves that it is complete
	reset bool   // the connection ended with a reset
}

// eventIDs returns the ids of the events in order.
func (r rawResponse) eventIDs() string {
	var ids []string
	for line := range strings.Lines(r.body) {
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return strings.Join(ids, " ")
}

// untilClose reports whether the response ends with its connection.
func (r rawResponse) untilClose() bool {
	return !strings.Contains(r.head, "\r\nContent-Length:") && !strings.Contains(r.head, "\r\nTransfer-Encoding:")
}

// requestRaw sends a request over a connection of its own and reads all that arrives.
func (f *fleet) requestRaw(e *entry, target string) rawResponse {
	f.t.Helper()
	return f.requestRawAs(e, target, "HTTP/1.1")
}

// requestRawAs is requestRaw by a caller of a version of HTTP.
func (f *fleet) requestRawAs(e *entry, target, version string) rawResponse {
	f.t.Helper()
	return f.sendRaw(e, f.newRequest(f.t.Context(), e, target, ""), version)
}

// resumeRaw is requestRaw by a caller that has the first events of the stream.
func (f *fleet) resumeRaw(e *entry, target, lastEventID string) rawResponse {
	f.t.Helper()
	q := f.newRequest(f.t.Context(), e, target, "")
	q.Header.Set(platformtest.LastEventField, lastEventID)
	return f.sendRaw(e, q, "HTTP/1.1")
}

// sendRaw sends a request over a connection of its own and reads all that arrives.
func (f *fleet) sendRaw(e *entry, q *http.Request, version string) rawResponse {
	f.t.Helper()
	c, err := net.Dial("tcp", e.address)
	f.mustSucceed(err)
	defer func() { _ = c.Close() }() // it has been read to its end
	f.mustSucceed(c.SetDeadline(time.Now().Add(conditionTimeout)))
	q.Header.Set("Connection", "close")
	var text bytes.Buffer
	f.mustSucceed(q.Write(&text))
	_, err = c.Write(bytes.Replace(text.Bytes(), []byte("HTTP/1.1"), []byte(version), 1))
	f.mustSucceed(err)
	data, err := io.ReadAll(c)
	head, body, found := bytes.Cut(data, []byte("\r\n\r\n"))
	r := rawResponse{head: string(head) + "\r\n", reset: err != nil}
	r.body, r.whole = string(body), found && err == nil
	if strings.Contains(r.head, "\r\nTransfer-Encoding: chunked") {
		r.body, r.whole = decodeChunks(string(body))
	}
	return r
}

// decodeChunks returns the content of chunks, and whether the last one is there.
func decodeChunks(text string) (content string, whole bool) {
	for {
		line, rest, found := strings.Cut(text, "\r\n")
		var size int
		if _, err := fmt.Sscanf(line, "%x", &size); err != nil || !found || len(rest) < size+2 {
			return content, false
		}
		if size == 0 {
			return content, true
		}
		content += rest[:size]
		text = rest[size+2:]
	}
}

// newScriptedFleet starts one entry, and endpoints that share a script for their first requests.
func newScriptedFleet(t *testing.T, endpoints int, later platformtest.Behavior, script ...platformtest.Behavior) *fleet {
	t.Helper()
	f := newFleet(t, 1, 0)
	var runners []*platformtest.Runner
	for n := range endpoints {
		r := platformtest.NewRunner(fmt.Sprint("i-", n+1), service, later)
		t.Cleanup(r.Close)
		f.store.PutEndpoint(r, "ready")
		runners = append(runners, r)
	}
	platformtest.ShareScript(runners, script...)
	f.eventually("all endpoints are known", func() bool {
		return len(f.entries[0].gateway.Dump().Endpoints) == endpoints
	})
	return f
}

// TestStreamCutInsideEventIsNotComplete cuts a stream without a length at each byte of an event.
func TestStreamCutInsideEventIsNotComplete(t *testing.T) {
	next := eventText("i-1", 4)
	var cuts []platformtest.Behavior
	for n := 1; n < len(next); n++ {
		cuts = append(cuts, platformtest.Events{To: 3, Unframed: true, Cut: next[:n]})
	}
	f := newScriptedFleet(t, 1, platformtest.Hang{}, cuts...)
	for n := range cuts {
		r := f.requestRaw(f.entries[0], "/chat/1")
		if r.whole {
			t.Errorf("cut after %d bytes of an event: framed as complete with body %q", n+1, r.body)
		}
		if !strings.HasSuffix(r.body, "\n\n") {
			t.Errorf("cut after %d bytes of an event: a part of it is relayed: %q", n+1, r.body)
		}
	}
}

// TestStreamCutInsideEventIsResumed checks that the caller gets each event once, and no part of one.
func TestStreamCutInsideEventIsResumed(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		later := platformtest.Events{To: lastEvent, Unframed: unframed}
		f := newScriptedFleet(t, 2, later, platformtest.Events{To: 3, Unframed: true, Cut: "id: 4\nda"})
		r := f.requestRaw(f.entries[0], "/chat/1")
		if want := "1 2 3 4 5 6"; !r.whole || r.eventIDs() != want {
			t.Errorf("unframed %t: whole %t, events %s", unframed, r.whole, r.eventIDs())
		}
	}
}

// TestUnprovenEndIsNotFramedAsComplete guards against a framing that proves more than the endpoint did.
func TestUnprovenEndIsNotFramedAsComplete(t *testing.T) {
	f := newScriptedFleet(t, 1, platformtest.Unframed{Body: "all of it"})
	if r := f.requestRaw(f.entries[0], "/page/1"); !r.whole || !r.untilClose() || r.body != "all of it" {
		t.Errorf("whole %t, body %q after head %s", r.whole, r.body, r.head)
	}
}

// TestResponseOfAnEntryThatEndsIsNotComplete guards against a framing that hides the end of an entry.
func TestResponseOfAnEntryThatEndsIsNotComplete(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		f := newScriptedFleet(t, 1, platformtest.Events{To: longStream, Unframed: unframed, Pause: eventPause})
		answered := make(chan rawResponse, 1)
		go func() { answered <- f.requestRaw(f.entries[0], "/chat/1") }()
		f.eventually("the stream is relayed", func() bool { return f.entries[0].gateway.Dump().RecordedStreams > 0 })
		f.entries[0].stop()
		if r := <-answered; r.whole {
			t.Errorf("unframed %t: framed as complete with events %s", unframed, r.eventIDs())
		}
	}
}

// TestBrokenResponseOfUnknownLengthIsNotComplete covers HTTP/1.0 too, which has no chunks.
func TestBrokenResponseOfUnknownLengthIsNotComplete(t *testing.T) {
	large := strings.Repeat("x", 1<<20)
	for target, behavior := range map[string]platformtest.Behavior{
		"/chat/1": platformtest.Events{To: 3, Unframed: true, Broken: true},
		"/page/1": platformtest.Unframed{Body: large, Broken: true},
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			f := newScriptedFleet(t, 1, behavior)
			if r := f.requestRawAs(f.entries[0], target, version); r.whole {
				t.Errorf("%s for %s: whole, reset %t, head %s", target, version, r.reset, r.head)
			}
		}
	}
}

// TestStreamWithoutAnyEventIsNotComplete ends a stream without a length before its first event.
func TestStreamWithoutAnyEventIsNotComplete(t *testing.T) {
	f := newScriptedFleet(t, 2, platformtest.Events{To: lastEvent}, platformtest.Events{Unframed: true})
	if r := f.requestRaw(f.entries[0], "/chat/1"); !r.whole || r.eventIDs() != "1 2 3 4 5 6" {
		t.Errorf("whole %t, events %q", r.whole, r.eventIDs())
	}
}

// TestResumedStreamWithoutAnyEventIsNotComplete ends a resumed stream without a length before any event.
func TestResumedStreamWithoutAnyEventIsNotComplete(t *testing.T) {
	empty := platformtest.Events{Unframed: true}
	t.Run("by the entry", func(t *testing.T) {
		f := newScriptedFleet(t, 2, empty, platformtest.Events{To: 3, Unframed: true, Broken: true})
		if r := f.requestRaw(f.entries[0], "/chat/1"); r.whole || r.eventIDs() != "1 2 3" {
			t.Errorf("whole %t, events %q", r.whole, r.eventIDs())
		}
	})
	t.Run("by the caller", func(t *testing.T) {
		f := newScriptedFleet(t, 2, empty)
		if r := f.resumeRaw(f.entries[0], "/chat/1", "3"); r.whole && strings.HasPrefix(r.head, "HTTP/1.1 200") {
			t.Errorf("framed as complete with head %s", r.head)
		}
	})
}
