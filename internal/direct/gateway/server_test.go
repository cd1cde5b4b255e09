package gateway

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
)

// oneConn is a listener with one connection.
type oneConn struct {
	conns chan net.Conn // closed by Close
}

// listenOnce returns a listener that accepts the connection and no other.
func listenOnce(c net.Conn) oneConn {
	l := oneConn{make(chan net.Conn, 1)}
	l.conns <- c
	return l
}

// Accept implements net.Listener.
func (l oneConn) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l oneConn) Close() error {
	close(l.conns)
	return nil
}

// Addr implements net.Listener.
func (l oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// TestSlowHeaderIsCutOff sends half a header. The settings' limit for the header is
// to end the connection, not the longer one of the server.
func TestSlowHeaderIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ms := int(limit.Milliseconds())
		d := directory.New(func(directory.InForce) {}, func([]placement.Endpoint) {})
		d.TakeSettings(1, settings.NewTree(map[string]settings.Node{"": {Set: settings.Fields{HeaderTimeoutMS: &ms}}}), "store")
		g := &Gateway{directory: d}
		here, caller := net.Pipe()
		s := g.newServer()
		defer func() { _ = s.Close() }()
		go func() { _ = s.Serve(idleListener{Listener: listenOnce(here), limit: g.idleLimit}) }()
		if _, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: a")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(limit - time.Millisecond)
		if !open(caller) {
			t.Error("closed before its time")
		}
		time.Sleep(2 * time.Second)
		if open(caller) {
			t.Error("open after its time")
		}
	})
}
