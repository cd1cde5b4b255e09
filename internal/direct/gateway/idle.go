package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleListener accepts callers' connections whose rest is bounded by a limit
// that may change.
type idleListener struct {
	net.Listener
	limit func() time.Duration
}

// Accept implements net.Listener.
func (l idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limit: l.limit}, nil
}

// callerConn is a caller's connection. It closes itself when it has rested for
// too long. From the first byte of a request on it does not rest: a request is
// either read and answered, or it is not read at all.
type callerConn struct {
	net.Conn
	limit func() time.Duration

	mu     sync.Mutex
	rested time.Time // since when it rests, zero for not
	closed bool      // since it rested for too long
	timer  *time.Timer
}

// changed is told of the state of a server's connection.
func changed(c net.Conn, s http.ConnState) {
	own, ok := c.(*callerConn)
	switch {
	case !ok:
	case s == http.StateIdle:
		own.rest(time.Now())
	default:
		own.wake()
	}
}

// wake ends a rest: a request is being read, perhaps from what was buffered.
func (c *callerConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rested = time.Time{}
}

// rest begins a rest.
func (c *callerConn) rest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rested = now
	c.wait(now)
}

// wait looks at the connection again when its time is over. It is locked.
func (c *callerConn) wait(now time.Time) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = time.AfterFunc(c.rested.Add(c.limit()).Sub(now), c.expire)
}

// expire closes the connection if it has rested for too long.
func (c *callerConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.rested.IsZero():
		return
	case now.Sub(c.rested) < c.limit():
		c.wait(now) // the limit has been raised
		return
	}
	c.closed = true
	_ = c.Conn.Close() // nobody waits for it
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.rested = time.Time{}
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.rested = time.Time{}
	c.mu.Unlock()
	return c.Conn.Close()
}
