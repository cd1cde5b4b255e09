// When a response that its caller does not read is aborted.
//
// Rule: if a caller accepts no byte written to it for unreadTimeout, its connection is closed and
// the endpoint's work is cancelled. A caller that reads slowly is served as long as some bytes are
// accepted within each unreadTimeout.
// Inputs: how many bytes of each write the kernel accepts.
// Never: a response that makes progress is aborted here, however slow it is.

package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// unreadTimeout is how long a caller may read nothing. It is longer than the pauses of healthy
	// links and machines, and shorter than the time for which a waiting caller keeps a response
	// open.
	unreadTimeout = 5 * time.Second
	// deadlineUpdateInterval is the minimum time between two updates of the write deadline.
	deadlineUpdateInterval = 100 * time.Millisecond
	// maxWriteBytes is the maximum size of one write. Each write has to finish within
	// unreadTimeout.
	maxWriteBytes = 16 << 10
)

// writeState is the write deadline of a caller's connection. Only one goroutine writes at a time.
type writeState struct {
	deadline time.Time // write deadline last set, zero for none
	expired  atomic.Bool
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		c.extendWriteDeadline()
		n, err := c.Conn.Write(b[written:min(len(b), written+maxWriteBytes)])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.writeState.expired.Store(true)
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// extendWriteDeadline sets the deadline of the next write, unless it was set within
// deadlineUpdateInterval.
func (c *callerConn) extendWriteDeadline() {
	now := time.Now()
	if c.writeState.deadline.Sub(now) > unreadTimeout-deadlineUpdateInterval {
		return
	}
	c.writeState.deadline = now.Add(unreadTimeout)
	_ = c.Conn.SetWriteDeadline(c.writeState.deadline) // fails only on a closed connection
}

// unread reports whether a write timed out because the caller read nothing.
func (c *callerConn) unread() bool { return c.writeState.expired.Load() }

// resetOnClose makes the close of the connection send a reset.
func (c *callerConn) resetOnClose() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
}

// callerConnKey is the context key of the connection that a request came over.
type callerConnKey struct{}

// withCallerConn adds the connection to the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection that a request came over.
func callerConnOf(r *http.Request) (*callerConn, bool) {
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	return c, ok
}
