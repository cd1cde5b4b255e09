package upstream

import (
	"net"
	"net/http"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/suspension"
)

// TestIdleConnectionAgesWhileSuspended holds that a connection which its endpoint has long
// given up is not used for the first request after the machine has woken.
func TestIdleConnectionAgesWhileSuspended(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the test is over
	n, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var p Pool
	c := newConn(n)
	c.startIdle(steady.Now(), http.Header{})
	p.putIdle("e", c)
	if p.takeIdle("e") != c {
		t.Fatal("the connection is not used at once")
	}
	p.putIdle("e", c)
	t.Cleanup(suspension.Suspend(time.Minute))
	if p.takeIdle("e") != nil {
		t.Error("a connection that was idle for a minute is used")
	}
}
