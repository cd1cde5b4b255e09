package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleListener accepts callers' connections whose idle time is bounded by a limit
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

// callerConn is a caller's connection. It closes itself when it has been idle for
// too long. From the first byte of a request on it is not idle: a request is either
// read and answered, or it is not read at all.
type callerConn struct {
	net.Conn
	limit func() time.Duration

	mu        sync.Mutex
	idleSince time.Time // zero while it is not idle
	expired   bool      // it was idle for too long and is closed
	timer     *time.Timer
}

// connStateChanged is told of the state of a server's connection.
func connStateChanged(c net.Conn, s http.ConnState) {
	own, ok := c.(*callerConn)
	switch {
	case !ok:
	case s == http.StateIdle:
		own.becomeIdle(time.Now())
	default:
		own.becomeActive()
	}
}

// becomeActive ends the idle time: a request is being read, perhaps from what was
// buffered.
func (c *callerConn) becomeActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
}

// becomeIdle starts the idle time.
func (c *callerConn) becomeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = now
	c.startTimer(now)
}

// startTimer looks at the connection again when its idle time is over. The
// connection is locked.
func (c *callerConn) startTimer(now time.Time) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = time.AfterFunc(c.idleSince.Add(c.limit()).Sub(now), c.expire)
}

// expire closes the connection if it has been idle for too long.
func (c *callerConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.idleSince.IsZero():
		return
	case now.Sub(c.idleSince) < c.limit():
		c.startTimer(now) // the limit has been raised
		return
	}
	c.expired = true
	_ = c.Conn.Close() // nobody waits for it
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idleSince = time.Time{}
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.idleSince = time.Time{}
	c.mu.Unlock()
	return c.Conn.Close()
}
