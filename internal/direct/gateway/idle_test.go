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

// bound is a limit that may change while timers look at it.
type bound struct{ ns atomic.Int64 }

func (b *bound) set(d time.Duration) { b.ns.Store(int64(d)) }

func (b *bound) get() time.Duration { return time.Duration(b.ns.Load()) }

// limit of most tests.
const limit = 10 * time.Second

// resting returns a connection that rests, and the caller's end of it.
func resting(b *bound) (*callerConn, net.Conn) {
	here, there := net.Pipe()
	b.set(limit)
	c := &callerConn{Conn: here, limit: b.get}
	connStateChanged(c, http.StateIdle)
	return c, there
}

// open tells whether the caller's end is open.
func open(caller net.Conn) bool {
	_ = caller.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := caller.Read(make([]byte, 1))
	return !errors.Is(err, io.EOF)
}

func TestRestingConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bound
		_, caller := resting(&b)
		time.Sleep(9 * time.Second)
		if !open(caller) {
			t.Error("closed before its time")
		}
		b.set(15 * time.Second)
		time.Sleep(5 * time.Second)
		if !open(caller) {
			t.Error("closed although the limit has been raised")
		}
		time.Sleep(2 * time.Second)
		if open(caller) {
			t.Error("open after its time")
		}
	})
}

// TestRequestEndsTheRest has the first bytes of a request come just before the
// time is over; the server tells of the new state only when it has read more.
func TestRequestEndsTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, caller := resting(new(bound))
		time.Sleep(limit - time.Millisecond)
		go func() { _, _ = caller.Write([]byte("GET ")) }()
		if n, err := c.Read(make([]byte, 4)); n != 4 || err != nil {
			t.Fatalf("read %d bytes: %v", n, err)
		}
		time.Sleep(time.Minute)
		if !open(caller) {
			t.Error("closed under a request")
		}
		connStateChanged(c, http.StateActive)
		connStateChanged(c, http.StateIdle)
		time.Sleep(limit + time.Millisecond)
		if open(caller) {
			t.Error("open after its next rest")
		}
	})
}

// TestNothingIsReadAfterTheRest expects that what comes too late is not taken.
func TestNothingIsReadAfterTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := resting(new(bound))
		time.Sleep(limit + time.Millisecond)
		if _, err := c.Read(make([]byte, 4)); !errors.Is(err, net.ErrClosed) {
			t.Errorf("got %v", err)
		}
	})
}

// TestUnreadRequestKeepsTheConnection has a request come over a real connection just
// before its idle time ends, while the only processor is busy until after that. Callers
// whose requests came while an entry took in large settings found their connections
// closed unanswered: the timer ran before the reader did.
func TestUnreadRequestKeepsTheConnection(t *testing.T) {
	const idle, busy = 50 * time.Millisecond, 4 * time.Millisecond
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		here, caller := tcpPair(t)
		c := &callerConn{Conn: here, limit: func() time.Duration { return idle }}
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
			t.Errorf("a request that had come was not read: %v", readErr)
		}
	}
}

// tcpPair returns both ends of a real connection.
func tcpPair(t *testing.T) (here, there net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if there, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if here, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = here.Close(), there.Close() })
	return here, there
}
