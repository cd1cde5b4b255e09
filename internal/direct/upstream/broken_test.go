package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"foxcross.dev/foxcross/internal/testing/standin"
)

// errReset stands for the error of a connection that was reset.
var errReset = &net.OpError{Op: "read", Err: errors.New("connection reset by peer")}

// brokenConn returns a connection on which a broken response arrives.
func brokenConn(b standin.Broken) *conn {
	end := io.EOF
	if b.Reset {
		end = errReset
	}
	source := io.MultiReader(strings.NewReader(b.Text), errorReader{end})
	return newConn(&endlessConn{reader: source}, bufferHold{buffers: &Buffers{}})
}

// errorReader is a reader that has failed.
type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// TestHeadCutAtEachByteIsNoAnswer guards against a status from a head that stopped in its middle.
func TestHeadCutAtEachByteIsNoAnswer(t *testing.T) {
	for _, status := range []string{"200 OK", "204 No Content", "304 Not Modified", "413 Content Too Large", "500 Failed"} {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			for _, b := range standin.CutHeads(status, "X-Id: a", 2) {
				r := request("")
				r.Method = method
				if response, err := brokenConn(b).receive(names, r); err == nil {
					t.Errorf("%s, %s: status %d", method, b.Name, response.Status)
				}
			}
		}
	}
}

// TestProcessQueryReadsNoBrokenAnswer guards against a process that a broken answer names.
func TestProcessQueryReadsNoBrokenAnswer(t *testing.T) {
	const body = `"p-1"`
	query := ProcessQuery{Target: "/", Parse: func(r io.Reader) (string, error) {
		data, err := io.ReadAll(r)
		return string(data), err
	}}
	broken := append(standin.CutHeads("200 OK", "", len(body)), standin.InvalidStatuses("", body)...)
	for _, b := range append(broken, standin.CutBodies("", body)...) {
		if name, err := brokenConn(b).askProcess(t.Context(), "h", query); err == nil {
			t.Errorf("%s: it names %q", b.Name, name)
		}
	}
	whole := standin.Broken{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)}
	if name, err := brokenConn(whole).askProcess(t.Context(), "h", query); err != nil || name != body {
		t.Errorf("a whole answer: %q, %v", name, err)
	}
}
