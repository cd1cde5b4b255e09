package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// atomicLimit is a limit that may change while timers read it.
type atomicLimit struct{ nanoseconds atomic.Int64 }

func (l *atomicLimit) set(d time.Duration) { l.nanoseconds.Store(int64(d)) }

func (l *atomicLimit) get() time.Duration { return time.Duration(l.nanoseconds.Load()) }

// testIdleLimit is the idle limit of most tests.
const testIdleLimit = 10 * time.Second

// newIdleConn returns an idle connection and the caller's end of it.
func newIdleConn(limit *atomicLimit) (*callerConn, net.Conn) {
	server, caller := net.Pipe()
	limit.set(testIdleLimit)
	c := &callerConn{Conn: server, idleLimit: limit.get}
	connStateChanged(c, http.StateIdle)
	return c, caller
}

// isOpen reports whether the caller's end is open.
func isOpen(caller net.Conn) bool {
	_ = caller.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := caller.Read(make([]byte, 1))
	return !errors.Is(err, io.EOF)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomicLimit
		_, caller := newIdleConn(&limit)
		time.Sleep(9 * time.Second)
		if !isOpen(caller) {
			t.Error("closed before the limit")
		}
		limit.set(15 * time.Second)
		time.Sleep(5 * time.Second)
		if !isOpen(caller) {
			t.Error("closed although the limit was raised")
		}
		time.Sleep(2 * time.Second)
		if isOpen(caller) {
			t.Error("open after the limit")
		}
	})
}

// TestRequestEndsIdleTime receives the first bytes of a request just before the idle time ends. The
// server reports the new state only after it has read more.
func TestRequestEndsIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, caller := newIdleConn(new(atomicLimit))
		time.Sleep(testIdleLimit - time.Millisecond)
		go func() { _, _ = caller.Write([]byte("GET ")) }()
		if n, err := c.Read(make([]byte, 4)); n != 4 || err != nil {
			t.Fatalf("read %d bytes: %v", n, err)
		}
		time.Sleep(time.Minute)
		if !isOpen(caller) {
			t.Error("closed during a request")
		}
		connStateChanged(c, http.StateActive)
		connStateChanged(c, http.StateIdle)
		time.Sleep(testIdleLimit + time.Millisecond)
		if isOpen(caller) {
			t.Error("open after the next idle time")
		}
	})
}

// TestReadAfterIdleTimeFails checks that bytes received after the idle time are not read.
func TestReadAfterIdleTimeFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newIdleConn(new(atomicLimit))
		time.Sleep(testIdleLimit + time.Millisecond)
		if _, err := c.Read(make([]byte, 4)); !errors.Is(err, net.ErrClosed) {
			t.Errorf("got %v", err)
		}
	})
}

// TestUnreadRequestKeepsConnection receives a request over a TCP connection just before its idle
// time ends, while the only processor is busy until after that. Requests that arrived while an
// entry loaded large settings were lost, because the idle timer ran before the reader and closed
// the connection.
func TestUnreadRequestKeepsConnection(t *testing.T) {
	const idle, busy = 50 * time.Millisecond, 4 * time.Millisecond
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		server, caller := tcpPair(t)
		c := &callerConn{Conn: server, idleLimit: func() time.Duration { return idle }}
		failed := make(chan error, 1)
		due := time.Now().Add(idle)
		connStateChanged(c, http.StateIdle)
		go func() {
			_, err := c.Read(make([]byte, 4))
			failed <- err
		}()
		time.Sleep(time.Until(due.Add(-busy / 2)))
		_, err := caller.Write([]byte("GET "))
		inTime := time.Now().Before(due)
		for time.Now().Before(due.Add(busy / 2)) {
			// The processor is busy: neither the timer nor the reader runs.
		}
		if readErr := <-failed; err == nil && inTime && readErr != nil {
			t.Errorf("a request that had arrived was not read: %v", readErr)
		}
	}
}

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (server, caller net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if caller, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = server.Close(), caller.Close() })
	return server, caller
}
