package gateway

import (
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/driver"
)

// What one process may hold at once, where its limits are not known.
const (
	defaultOpen   = 10_000
	defaultBodies = 256 << 20 // bytes
)

// Shares of a process's limits.
const (
	spareDescriptors = 300 // for files, checks, other entries, the store and idle connections
	perRequest       = 2   // descriptors: the caller's connection and the endpoint's
	bodyShare        = 4   // bodies may take one part in so many of the memory
)

// room bounds the open requests and the sum of their bodies.
type room struct {
	maxOpen   int
	maxBodies int64
	bodies    int64 // bytes held now
}

func roomOf(l driver.Limits) room {
	r := room{maxOpen: defaultOpen, maxBodies: defaultBodies}
	if l.Descriptors > 0 {
		r.maxOpen = max((l.Descriptors-spareDescriptors)/perRequest, 1)
	}
	if l.MemoryBytes > 0 {
		r.maxBodies = l.MemoryBytes / bodyShare
	}
	return r
}

// hold takes up room for a call and its body, of which bytes are expected, -1
// for not known.
func (g *Gateway) hold(c *call, bytes int64) *result.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	bytes = max(bytes, 0)
	if g.open > g.room.maxOpen || g.room.bodies+bytes > g.room.maxBodies {
		return &result.Error{Code: result.QueueFull, Run: result.NotRun, RetryAfter: fullRetry, Reason: "this entry holds too many requests"}
	}
	g.room.bodies += bytes
	c.held = bytes
	return nil
}

// holdRead corrects the room of a call by the length of the body that was read.
func (g *Gateway) holdRead(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.bodies += int64(len(c.body)) - c.held
	c.held = int64(len(c.body))
}

// release gives the room of a call back.
func (g *Gateway) release(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.bodies -= c.held
	c.held = 0
}
