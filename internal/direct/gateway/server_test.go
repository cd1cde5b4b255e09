package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
)

// singleConnListener is a listener with one connection.
type singleConnListener struct {
	conns chan net.Conn // closed by Close
}

// newSingleConnListener returns a listener that accepts only the connection.
func newSingleConnListener(c net.Conn) singleConnListener {
	l := singleConnListener{make(chan net.Conn, 1)}
	l.conns <- c
	return l
}

// Accept implements net.Listener.
func (l singleConnListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l singleConnListener) Close() error {
	close(l.conns)
	return nil
}

// Addr implements net.Listener.
func (l singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveWithHeaderLimit serves one connection with settings that limit the time for a header. It
// uses the handler unless that is nil, and returns the caller's end.
func serveWithHeaderLimit(t *testing.T, handler http.HandlerFunc) net.Conn {
	t.Helper()
	ms := int(testIdleLimit.Milliseconds())
	d := directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
	d.ApplySettings(1, settings.NewTree(map[string]settings.Node{"": {Set: settings.Fields{HeaderTimeoutMS: &ms}}}), "store")
	g := &Gateway{directory: d}
	server, caller := net.Pipe()
	s := g.newServer()
	if handler != nil {
		s.Handler = handler
	}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(idleListener{Listener: newSingleConnListener(server), idleLimit: g.idleLimit}) }()
	return caller
}

// TestSlowHeaderClosesConnection sends half a header. The limit in the settings has to end the
// connection, rather than the longer one of the server.
func TestSlowHeaderClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := serveWithHeaderLimit(t, nil)
		if _, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: a")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testIdleLimit - 2*time.Millisecond) // isOpen takes another millisecond
		if !isOpen(caller) {
			t.Error("closed before the limit")
		}
		time.Sleep(2 * time.Second)
		if isOpen(caller) {
			t.Error("open after the limit")
		}
	})
}

// TestHeaderLimitAppliesToHeadersOnly sends a body, and later a second header, each of which takes
// longer than the limit for a header. Only the header ends the connection.
func TestHeaderLimitAppliesToHeadersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := serveWithHeaderLimit(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, r.Body)
		})
		write := func(text string) {
			if _, err := caller.Write([]byte(text)); err != nil {
				t.Fatalf("%q: %v", text, err)
			}
		}
		time.Sleep(2 * testIdleLimit) // idle before its first header
		write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
		time.Sleep(2 * testIdleLimit)
		write("cd")
		responses := bufio.NewReader(caller)
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); string(body) != "abcd" || err != nil {
			t.Fatalf("got %q, %v", body, err)
		}
		time.Sleep(2 * testIdleLimit) // idle between requests
		write("GET / HTTP/1.1\r\nHost: a")
		time.Sleep(testIdleLimit - 2*time.Millisecond)
		if !isOpen(caller) {
			t.Error("closed before the limit")
		}
		time.Sleep(2 * time.Millisecond)
		if isOpen(caller) {
			t.Error("open after the limit")
		}
	})
}
