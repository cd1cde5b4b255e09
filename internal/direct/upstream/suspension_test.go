package upstream

import (
	"net"
	"net/http"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/suspension"
)

// TestIdleTimeoutCountsSuspension checks that a connection that its endpoint closed long ago is
// not used for the first request after the machine resumes.
func TestIdleTimeoutCountsSuspension(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the test has ended
	n, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var p Pool
	c := newConn(n, bufferHold{buffers: &Buffers{}})
	c.setUsableUntil(steady.Now(), http.Header{})
	p.putIdle("e", c)
	if p.getIdle("e") != c {
		t.Fatal("a fresh idle connection is not returned")
	}
	p.putIdle("e", c)
	t.Cleanup(suspension.Suspend(time.Minute))
	if p.getIdle("e") != nil {
		t.Error("a connection that was idle for a minute is returned")
	}
}
