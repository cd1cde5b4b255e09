package gateway

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"
)

// TestTrailersAreNotKept guards against trailers of open requests that fill the memory.
func TestTrailersAreNotKept(t *testing.T) {
	const sent = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: 1\r\nB: 2\r\n\r\n"
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(sent)))
	if err != nil {
		t.Fatal(err)
	}
	g := New(Options{Driver: fieldsOnlyDriver{}, Owner: 1, Process: driver.Process{}})
	q := &request{incoming: r, deadline: steady.Now().Add(time.Minute)}
	body, failed := g.readBody(httptest.NewRecorder(), q, 100)
	if string(body) != "x" || failed != nil {
		t.Fatalf("%q, %v", body, failed)
	}
	if len(r.Trailer) != 0 {
		t.Errorf("%d trailers are kept", len(r.Trailer))
	}
}
