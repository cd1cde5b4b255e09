package gateway

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// finalReadTimeout is how long a reader woken at the end of the idle time waits for bytes that have
// already arrived. A read that finds some does not wait.
const finalReadTimeout = time.Millisecond

// idleListener accepts callers' connections with a limit on the idle time, which may change.
type idleListener struct {
	net.Listener
	idleLimit func() time.Duration
	newHead   func() headReader // nil for no limits
	conns     *callerConns      // nil for no limit
	// countClosed is called when a connection is closed since there are too many.
	countClosed func(open int)
}

// Accept implements net.Listener.
func (l idleListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &callerConn{Conn: c, idleLimit: l.idleLimit, conns: l.conns}
		if l.newHead != nil {
			conn.head = l.newHead()
		}
		if l.admit(conn) {
			return conn, nil
		}
		_ = c.Close() // nothing was read from it
	}
}

// admit reports whether there is a place for a connection, for which another one may be closed.
func (l idleListener) admit(conn *callerConn) bool {
	if l.conns == nil {
		return true
	}
	evicted, admitted := l.conns.admit(conn)
	if evicted != nil {
		evicted.evict()
	}
	if evicted != nil || !admitted {
		l.countClosed(l.conns.count())
	}
	return admitted
}

// callerConn is a caller's connection. It closes itself when it has been idle for too long, and
// limits the time for a header from its first byte on. It is not idle after the first byte of a
// request: a request is either read and answered, or not read at all.
//
// A connection with unread bytes is not idle either: the end of the idle time wakes the reader,
// which tries to read once more. Closing at once lost each request that had arrived while the
// processor was busy (400 of 400 in TestUnreadRequestKeepsConnection).
type callerConn struct {
	net.Conn
	idleLimit   func() time.Duration // maximum idle time
	headerLimit func() time.Duration // maximum time for a header, nil for none

	mu          sync.Mutex
	idleSince   time.Time // zero while it is not idle
	reading     bool      // a read is in progress
	finalRead   bool      // the idle time has ended and the reader was woken
	idleExpired bool      // it was idle for too long and is closed
	timer       *time.Timer
	inHeader    bool      // the next bytes belong to a header
	headerStart time.Time // when the first byte of the header arrived, zero before that
	head        headReader
	closed      bool

	conns        *callerConns  // that it counts among, nil for none
	quietElement *list.Element // its place among those without a whole head, nil for none; guarded by callerConns.mu

	writeState writeState
}

// markActive ends the idle time: a request is being read, possibly from a buffer.
func (c *callerConn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
}

// markBusy records that the connection must not give way to another.
func (c *callerConn) markBusy() {
	if c.conns != nil {
		c.conns.markBusy(c)
	}
}

// markIdle starts the idle time.
func (c *callerConn) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = now
	c.inHeader = true
	c.headerStart = time.Time{}
	c.head.reset()
	if c.conns != nil {
		c.conns.markQuiet(c)
	}
	c.startTimer(now)
}

// markNew prepares for the first header, whose time is limited by headerLimit.
func (c *callerConn) markNew(headerLimit func() time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerLimit = headerLimit
	c.inHeader = true
}

// startTimer schedules expire for the end of the idle time. callerConn.mu is held.
func (c *callerConn) startTimer(now time.Time) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = time.AfterFunc(c.idleSince.Add(c.idleLimit()).Sub(now), c.expire)
}

// expire closes the connection if it has been idle for too long.
func (c *callerConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.idleSince.IsZero():
		return
	case now.Sub(c.idleSince) < c.idleLimit():
		c.startTimer(now) // the limit was raised
		return
	case c.reading:
		c.finalRead = true
		_ = c.Conn.SetReadDeadline(now) // fails only on a closed connection
		return
	}
	c.idleExpired = true
	_ = c.Conn.Close() // nobody uses the connection any more
}

// evict closes the connection, unless a request has arrived on it.
func (c *callerConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	inHead := c.inHeader && !c.headerStart.IsZero()
	switch {
	case c.head.meter.ended:
		return // its head is about to be parsed
	case c.reading && !inHead:
		c.finalRead = true
		_ = c.Conn.SetReadDeadline(time.Now()) // fails only on a closed connection
		return
	}
	c.idleExpired = true
	_ = c.Conn.Close() // its head has not arrived
}

// Read implements net.Conn. It ends the connection if the caller's request is refused by its head.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.readOnce(b)
		failed, discard := c.meterHead(b[:n])
		switch {
		case failed != nil:
			c.head.countRefused(failed)
			return 0, c.refuse(failed)
		case !discard:
			return n, err
		case err != nil:
			return 0, err
		}
	}
}

// readOnce reads what has arrived, and updates the state.
func (c *callerConn) readOnce(b []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(b)
	if c.wokenByIdleTimer(err) {
		_ = c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)) // fails only on a closed connection
		n, err = c.Conn.Read(b)
	}
	c.setReading(false)
	return c.finishRead(n, err)
}

func (c *callerConn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

// wokenByIdleTimer reports whether a read ended because the idle time did.
func (c *callerConn) wokenByIdleTimer(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finalRead && errors.Is(err, os.ErrDeadlineExceeded)
}

// finishRead updates the state after a read, and closes the connection if there was nothing to read
// at the end of the idle time.
func (c *callerConn) finishRead(n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finalRead && n == 0 {
		c.idleExpired = true
		_ = c.Conn.Close() // nobody uses the connection any more
	}
	if c.idleExpired {
		return 0, net.ErrClosed
	}
	if n == 0 {
		return n, err
	}
	if c.finalRead {
		c.finalRead = false
		if c.conns != nil {
			c.conns.markQuiet(c)
		}
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	c.idleSince = time.Time{}
	if c.inHeader && c.headerStart.IsZero() {
		c.headerStart = time.Now()
		c.setHeaderDeadline()
	}
	return n, err
}

// setHeaderDeadline limits the time for the rest of a header. callerConn.mu is held.
func (c *callerConn) setHeaderDeadline() {
	if c.headerLimit != nil {
		_ = c.Conn.SetReadDeadline(c.headerStart.Add(c.headerLimit())) // fails only on a closed connection
	}
}

// SetReadDeadline implements net.Conn. The server sets a deadline for a header, perhaps before its
// first byte, and clears it when the header was read. From the first byte on, headerLimit applies
// as well.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.headerStart.IsZero() || c.headerLimit == nil:
	case at.IsZero():
		c.inHeader = false
		c.headerStart = time.Time{}
	default:
		limited := c.headerStart.Add(c.headerLimit())
		if limited.Before(at) {
			at = limited
		}
	}
	return c.Conn.SetReadDeadline(at)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.idleSince = time.Time{}
	c.head.close()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first && c.conns != nil {
		c.conns.remove(c)
	}
	return c.Conn.Close()
}

// connStateChanged updates a caller's connection to the state that the server reports.
func connStateChanged(c net.Conn, s http.ConnState) {
	conn, ok := c.(*callerConn)
	switch {
	case !ok:
	case s == http.StateIdle:
		conn.markIdle(time.Now())
	case s == http.StateActive:
		conn.markActive()
		conn.markBusy()
	default:
		conn.markActive()
	}
}
