// Limits the number of requests that an entry has open at once. The memory of their bodies is
// limited in bodies.go.
//
// Rule: a request is refused, as not run and with a Retry-After, when the entry has more open
// requests than its file descriptors allow.
// Inputs: the process's limit on file descriptors.
// Units: requests.
// Never: an admitted request is aborted to free capacity.

package gateway

import (
	"context"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"
)

const (
	// defaultMaxOpen limits open requests if the limit on descriptors is unknown.
	defaultMaxOpen = 10_000
	// reservedDescriptors are reserved for files, health checks, other entries, the store and idle
	// connections. The platform reserves 200 for files.
	reservedDescriptors = 300
	// descriptorsPerRequest counts the caller's connection and the endpoint's.
	descriptorsPerRequest = 2
)

// capacity counts open requests. Call init before use.
type capacity struct {
	maxOpen int
	idle    chan struct{} // receives a value when no request is open any more

	mu   sync.Mutex
	open int
}

func (c *capacity) init(l driver.Limits) {
	c.maxOpen = defaultMaxOpen
	c.idle = make(chan struct{}, 1)
	if l.Descriptors > 0 {
		c.maxOpen = max((l.Descriptors-reservedDescriptors)/descriptorsPerRequest, 1)
	}
}

// enter counts an incoming request, whether or not it is admitted.
func (c *capacity) enter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
}

// leave removes an answered request from the count.
func (c *capacity) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if c.open > 0 {
		return
	}
	workers.Signal(c.idle)
}

// openRequests returns the number of requests without a complete response.
func (c *capacity) openRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// full reports whether more requests are open than this entry accepts.
func (c *capacity) full() bool { return c.openRequests() > c.maxOpen }

// waitIdle waits until earliest, and then until no request is open or latest is reached.
func (c *capacity) waitIdle(earliest, latest time.Time) {
	minimum, cancelMinimum := steady.WithDeadline(context.Background(), earliest)
	defer cancelMinimum()
	<-minimum.Done()
	end, cancelEnd := steady.WithDeadline(context.Background(), latest)
	defer cancelEnd()
	for c.openRequests() > 0 {
		select {
		case <-c.idle:
		case <-end.Done():
			return
		}
	}
}
