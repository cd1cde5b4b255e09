package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
)

func newLimitedConns(t *testing.T, maxOpen int) (*callerConns, []*callerConn) {
	t.Helper()
	conns := callerConns{maxOpen: maxOpen}
	all := make([]*callerConn, maxOpen)
	for n := range all {
		all[n] = &callerConn{conns: &conns}
		if evicted, admitted := conns.admit(all[n]); evicted != nil || !admitted {
			t.Fatalf("connection %d has no place", n)
		}
	}
	return &conns, all
}

// TestConnectionWithoutRequestGivesWay guards against silent connections that leave none to ordinary callers.
func TestConnectionWithoutRequestGivesWay(t *testing.T) {
	conns, all := newLimitedConns(t, 3)
	conns.markBusy(all[0])
	conns.markBusy(all[1])
	conns.markQuiet(all[1]) // its request has ended, after the third connection was opened
	for _, want := range []*callerConn{all[2], all[1]} {
		next := &callerConn{conns: conns}
		evicted, admitted := conns.admit(next)
		if evicted != want || !admitted {
			t.Fatalf("evicted %p, want %p; admitted: %v", evicted, want, admitted)
		}
		conns.markBusy(next)
		conns.remove(evicted)
	}
	if evicted, admitted := conns.admit(&callerConn{}); evicted != nil || admitted {
		t.Errorf("a request gave way: %v", admitted)
	}
	if open := conns.count(); open != 3 {
		t.Errorf("%d connections are open", open)
	}
}

// TestConnectionWhoseHeadHasArrivedIsNotEvicted guards against requests that were read and end unanswered.
func TestConnectionWhoseHeadHasArrivedIsNotEvicted(t *testing.T) {
	const head = "GET / HTTP/1.1\r\n\r\n"
	for sent, evicted := range map[string]bool{head: false, head[:9]: true} {
		server, caller := net.Pipe()
		c := &callerConn{Conn: server, inHeader: true, head: newTestHead(nil)}
		go func() { _, _ = caller.Write([]byte(sent)) }() // ends with the connection
		if _, err := io.ReadFull(c, make([]byte, len(sent))); err != nil {
			t.Fatal(err)
		}
		c.evict()
		if closed := c.idleExpired; closed != evicted {
			t.Errorf("%q: closed: %v", sent, closed)
		}
		_ = c.Close()      // the test is over
		_ = caller.Close() // likewise
	}
}

// TestActiveConnectionIsNotEvicted guards against requests that are about to be handled and end unanswered.
func TestActiveConnectionIsNotEvicted(t *testing.T) {
	conns, all := newLimitedConns(t, 1)
	connStateChanged(all[0], http.StateNew)
	connStateChanged(all[0], http.StateActive)
	if evicted, admitted := conns.admit(&callerConn{}); evicted != nil || admitted {
		t.Errorf("evicted %p, admitted: %v", evicted, admitted)
	}
}
