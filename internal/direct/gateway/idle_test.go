package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
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
