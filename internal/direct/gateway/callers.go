// Limits the number of callers' connections.
//
// Rule: an entry has as many callers' connections as it accepts requests (capacity.go), which leaves as
// many descriptors for endpoints, and refusalConns more, over which requests beyond that are refused. At
// the limit a new connection takes the place of the one that has been
// without a whole head for the longest time, be it idle, new or slow. If all carry requests, the new
// one is closed.
// Inputs: the process's limit on descriptors, the state of each connection.
// Units: connections.
// Never: a connection is closed whose request was read and not answered.

package gateway

import (
	"container/list"
	"sync"
)

// refusalConns is the number of connections over which requests are refused.
const refusalConns = 32

// callerConns holds the open connections of callers. Call init before use.
type callerConns struct {
	maxOpen int

	mu    sync.Mutex
	open  int
	quiet list.List // *callerConn without a whole head, the longest first
}

func (c *callerConns) init(maxRequests int) { c.maxOpen = maxRequests + refusalConns }

// admit adds a connection, which is quiet. It returns the connection that has to be closed for it, nil for
// none, and false if there is no place.
func (c *callerConns) admit(conn *callerConn) (evicted *callerConn, admitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= c.maxOpen {
		longest := c.quiet.Front()
		if longest == nil {
			return nil, false
		}
		evicted = c.quiet.Remove(longest).(*callerConn)
		evicted.quietElement = nil
	}
	c.open++
	conn.quietElement = c.quiet.PushBack(conn)
	return evicted, true
}

// markQuiet records that a connection waits for a head.
func (c *callerConns) markQuiet(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.quietElement == nil {
		conn.quietElement = c.quiet.PushBack(conn)
	}
}

// markBusy records that a head was read.
func (c *callerConns) markBusy(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeQuiet(conn)
}

// remove removes a connection that is closed.
func (c *callerConns) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeQuiet(conn)
	c.open--
}

// removeQuiet removes a connection from those without a whole head. callerConns.mu is held.
func (c *callerConns) removeQuiet(conn *callerConn) {
	if conn.quietElement != nil {
		c.quiet.Remove(conn.quietElement)
		conn.quietElement = nil
	}
}

// count returns the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}
