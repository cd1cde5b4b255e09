// Whether an endpoint has crashed, or only a connection to it broke.
//
// Rule: after a connection broke with a request on it, one new connection is tried. If it is
// refused nobody listens at the address any more: the endpoint has crashed. If it is taken the
// endpoint lives, and the connection is kept for the next request. Anything else, above all
// silence, tells nothing.
// Inputs: the address, at the moment at which a connection broke.
// Units: a connection.
// Never: an endpoint that is silent or cut off counts as crashed. One that is up again before
// the try counts as living; engines take seconds.

package upstream

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

const (
	// examineTimeout bounds the try. Chosen, not measured: a refusal takes one way there and
	// back, 2 ms between data centres; the request waits for it.
	examineTimeout = 100 * time.Millisecond
	// examinedFor is how long the answer holds for other requests that broke at the same
	// endpoint. Chosen, not measured: all connections to one that crashes break within 3 ms.
	examinedFor = 200 * time.Millisecond
)

// examination is one try, by the first of the requests that broke at an endpoint.
type examination struct {
	done    chan struct{} // closed when crashed is set
	begun   time.Time
	crashed bool
}

// Crashed tells whether the endpoint has crashed, right after a connection to it broke.
func (p *Pool) Crashed(endpoint, address string) bool {
	now := steady.Now()
	p.mu.Lock()
	x := p.examinations[endpoint]
	if x != nil && now.Sub(x.begun) < examinedFor {
		p.mu.Unlock()
		<-x.done
		return x.crashed
	}
	x = &examination{done: make(chan struct{}), begun: now}
	if p.examinations == nil {
		p.examinations = map[string]*examination{}
	}
	p.examinations[endpoint] = x
	p.mu.Unlock()
	x.crashed = p.refused(endpoint, address)
	close(x.done)
	return x.crashed
}

// refused tells whether an endpoint refuses a new connection.
func (p *Pool) refused(endpoint, address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), examineTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.startIdle(steady.Now(), http.Header{})
	p.putIdle(endpoint, c)
	return false
}

// forgetExaminations drops those whose answer does not hold any more. The pool is locked.
func (p *Pool) forgetExaminations(now time.Time) {
	for endpoint, x := range p.examinations {
		if now.Sub(x.begun) >= examinedFor {
			delete(p.examinations, endpoint)
		}
	}
}
