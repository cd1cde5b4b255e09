// What an entry may hold at once.
//
// Rule: a request is refused, as not run and with a time to come back, when the
// entry has more open requests than its descriptors allow, or when the bodies it
// holds would take more than their share of its memory.
// Inputs: the process's limits on descriptors and memory.
// Units: requests, bytes.
// Never: a request that was let in is not given up for room.

package gateway

import (
	"context"
	"sync"
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"
)

const (
	// defaultMaxOpen bounds open requests if the limit on descriptors is unknown.
	// Chosen, not measured.
	defaultMaxOpen = 10_000
	// defaultMaxBodies bounds the bytes of bodies if the limit on memory is unknown.
	// Chosen, not measured.
	defaultMaxBodies = 256 << 20
	// spareDescriptors are left for files, health checks, other entries, the store and
	// idle connections. Chosen, not measured: the platform reserves 200 for files.
	spareDescriptors = 300
	// descriptorsPerRequest are the caller's connection and the endpoint's.
	descriptorsPerRequest = 2
	// bodyShare is the part of the memory that bodies may take, as one part in so
	// many. Chosen, not measured.
	bodyShare = 4
)

// capacity counts open requests and the bytes of their bodies. Call init first.
type capacity struct {
	maxOpen   int
	maxBodies int64
	idle      chan struct{} // has a value after the last open request has ended

	mu     sync.Mutex
	open   int
	bodies int64
}

func (c *capacity) init(l driver.Limits) {
	c.maxOpen = defaultMaxOpen
	c.maxBodies = defaultMaxBodies
	c.idle = make(chan struct{}, 1)
	if l.Descriptors > 0 {
		c.maxOpen = max((l.Descriptors-spareDescriptors)/descriptorsPerRequest, 1)
	}
	if l.MemoryBytes > 0 {
		c.maxBodies = l.MemoryBytes / bodyShare
	}
}

// enter counts a request that has come, whether it is let in or not.
func (c *capacity) enter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
}

// leave counts a request that has its answer.
func (c *capacity) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if c.open > 0 {
		return
	}
	workers.Signal(c.idle)
}

// openRequests returns the number of requests that have no answer yet.
func (c *capacity) openRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// holdBody takes up room for a request and its body, of which so many bytes are
// expected, -1 for unknown.
func (c *capacity) holdBody(q *request, bytes int64) *result.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes = max(bytes, 0)
	if c.open > c.maxOpen || c.bodies+bytes > c.maxBodies {
		return &result.Error{Code: result.QueueFull, Run: result.NotRun, RetryAfter: fullRetryAfter, Reason: "this entry holds too many requests"}
	}
	c.bodies += bytes
	q.heldBody = bytes
	return nil
}

// resizeBody corrects the room of a request to the body that was read.
func (c *capacity) resizeBody(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodies += int64(len(q.body)) - q.heldBody
	q.heldBody = int64(len(q.body))
}

// releaseBody gives the room of a request's body back.
func (c *capacity) releaseBody(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodies -= q.heldBody
	q.heldBody = 0
}

// waitIdle waits at least until the first time, and until the second one while requests are
// open.
func (c *capacity) waitIdle(first, last time.Time) {
	quiet, cancelQuiet := steady.WithDeadline(context.Background(), first)
	defer cancelQuiet()
	<-quiet.Done()
	end, cancelEnd := steady.WithDeadline(context.Background(), last)
	defer cancelEnd()
	for c.openRequests() > 0 {
		select {
		case <-c.idle:
		case <-end.Done():
			return
		}
	}
}
