// Package upstream keeps connections to endpoints and reads their answers
// strictly: an answer belongs to the request whose id it carries, and is whole
// only if its framing says so.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/workers"
)

// Times and bounds of a pool.
const (
	dialTimeout = 500 * time.Millisecond
	defaultIdle = 4 * time.Second // where the endpoint names no time
	idleShare   = 0.6             // of the time that the endpoint names
	maxIdle     = 64              // connections kept for one endpoint
	sweepEvery  = 2 * time.Second
	probeAfter  = time.Second
	probeCount  = 3
)

// ErrUnreachable means that no connection came up; nothing was sent.
var ErrUnreachable = errors.New("upstream: the endpoint can't be reached")

// Pool keeps idle connections by endpoint. The zero value works.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn // by endpoint id, the one used last at the end
}

// take returns an idle connection that is still sound, or nil.
func (p *Pool) take(id string) *conn {
	for {
		c := p.pop(id)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.usableTo) && c.quiet() {
			return c
		}
		c.close()
	}
}

func (p *Pool) pop(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	return c
}

// put keeps a connection for the next request.
func (p *Pool) put(id string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	if len(p.idle[id]) >= maxIdle {
		c.close()
		return
	}
	p.idle[id] = append(p.idle[id], c)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeAfter, Interval: probeAfter, Count: probeCount,
	}}
	n, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return newConn(n), nil
}

// Run closes idle connections whose time is over until ctx is done.
func (p *Pool) Run(ctx context.Context) { workers.Every(ctx, sweepEvery, p.sweep) }

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableTo) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, id)
		} else {
			p.idle[id] = kept
		}
	}
}
