// Package upstream pools connections to endpoints and reads their responses strictly:
// a response belongs to the request whose ID it carries, and is complete only if its
// framing says so.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"
)

const (
	// dialTimeout bounds the setup of a new connection.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long a connection may stay idle if the endpoint names no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFactor is the fraction of the endpoint's own timeout for which a connection may
	// stay idle.
	idleTimeoutFactor = 0.6
	// maxIdlePerEndpoint bounds the idle connections of one endpoint.
	maxIdlePerEndpoint = 64
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = 2 * time.Second
	// keepAliveInterval and keepAliveProbes set TCP keep-alive: a connection to an endpoint that
	// is cut off from the network fails after some four seconds.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// receiveBufferSize limits the bytes that wait unread on a connection. The kernel would
	// enlarge the buffer up to several MB.
	receiveBufferSize = 64 << 10
)

// ErrUnreachable means that no connection was established; nothing was sent.
var ErrUnreachable = errors.New("upstream: the endpoint can't be reached")

// Pool keeps idle connections by endpoint. The zero value is ready to use; Run closes
// expired connections. It is safe for concurrent use.
type Pool struct {
	Buffers Buffers // memory of responses

	mu          sync.Mutex
	idle        map[string][]*conn     // by endpoint ID, the last used one at the end
	crashChecks map[string]*crashCheck // by endpoint ID
}

// getIdle removes and returns an idle connection that is still usable, or nil.
func (p *Pool) getIdle(id string) *conn {
	for {
		c := p.popIdle(id)
		if c == nil {
			return nil
		}
		if steady.Now().Before(c.usableUntil) && c.openWithoutData() {
			return c
		}
		c.close()
	}
}

// popIdle removes and returns the last used idle connection of an endpoint, or nil.
func (p *Pool) popIdle(id string) *conn {
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

// putIdle keeps a connection for the next request, or closes it if the endpoint already has
// maxIdlePerEndpoint.
func (p *Pool) putIdle(id string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	if len(p.idle[id]) >= maxIdlePerEndpoint {
		c.close()
		return
	}
	p.idle[id] = append(p.idle[id], c)
}

func (p *Pool) dial(ctx context.Context, endpoint, address string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, ControlContext: limitReceiveBuffer, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	n, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return newConn(n, bufferHold{buffers: &p.Buffers, endpoint: endpoint}), nil
}

// limitReceiveBuffer sets the size of a socket's receive buffer before it connects, so that the window
// follows it.
func limitReceiveBuffer(_ context.Context, _, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize) // without it the kernel chooses
	})
}

// Run closes expired idle connections until ctx is done.
func (p *Pool) Run(ctx context.Context) { workers.Every(ctx, sweepInterval, p.sweep) }

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deleteExpiredChecks(now)
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) {
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
