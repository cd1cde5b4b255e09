// Distinguishes a crashed endpoint from a single broken connection to it.
//
// Rule: after a connection with a request in flight breaks, a new connection is dialed. If it
// is refused, no process listens at the address: the endpoint has crashed. If it is accepted, the
// endpoint is running, and the connection is kept for the next request. After a timeout, which this
// process may have caused itself by standing still, it is dialed once more. Any other result, and a
// second timeout, is inconclusive and doesn't count as a crash.
//
// The check is also evidence for a response that ends with its connection (coord/completeness), since
// a crashing process closes its connections like one that has finished. The last such response of an
// endpoint that exits within the 2 ms of the check wrongly counts as broken.
//
// Inputs: the address, and the time at which the connection broke.
// Units: a connection.
// Never: a check that ended before a connection broke shows that the endpoint was running at that
// time; an endpoint that doesn't respond or is cut off from the network counts as crashed. One
// that has restarted before the check counts as running; engines take seconds to restart.

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
	// crashCheckTimeout bounds one dial of the check, during which the request waits. A refusal takes
	// one round trip, 2 ms between data centres.
	crashCheckTimeout = 100 * time.Millisecond
	// crashCheckDials is how often a connection is dialed at most.
	crashCheckDials = 2
	// crashCheckValidity is how long the result applies to other broken connections of the same
	// endpoint, from the start of the check. All connections to a crashing endpoint break within
	// 3 ms.
	crashCheckValidity = 200 * time.Millisecond
)

// crashCheck is a check of an endpoint, run by the first request whose connection broke.
type crashCheck struct {
	done      chan struct{} // closed when the other fields are set
	startedAt time.Time
	endedAt   time.Time
	crashed   bool
}

// Crashed reports whether the endpoint has crashed. It is called right after a connection to it
// broke, at brokenAt.
func (p *Pool) Crashed(endpoint, address string, brokenAt time.Time) bool {
	k, created := p.crashCheck(endpoint, brokenAt)
	if created {
		k.crashed = p.refusesConnection(endpoint, address)
		k.endedAt = steady.Now()
		close(k.done)
	}
	<-k.done
	return k.crashed
}

// crashCheck returns the check that applies to a connection broken at brokenAt. created is set if
// it is new; the caller must then run it.
func (p *Pool) crashCheck(endpoint string, brokenAt time.Time) (k *crashCheck, created bool) {
	now := steady.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.crashChecks[endpoint]; k != nil && k.appliesTo(now, brokenAt) {
		return k, false
	}
	k = &crashCheck{done: make(chan struct{}), startedAt: now}
	if p.crashChecks == nil {
		p.crashChecks = map[string]*crashCheck{}
	}
	p.crashChecks[endpoint] = k
	return k, true
}

// appliesTo reports whether the check applies to a connection broken at brokenAt: it is still
// running, so that its result is from after that time; it found a crash within
// crashCheckValidity; or it ended after that time.
func (k *crashCheck) appliesTo(now, brokenAt time.Time) bool {
	select {
	case <-k.done:
		return now.Sub(k.startedAt) < crashCheckValidity && (k.crashed || !k.endedAt.Before(brokenAt))
	default:
		return true
	}
}

// refusesConnection reports whether the endpoint refuses a new connection. An accepted connection
// becomes idle.
func (p *Pool) refusesConnection(endpoint, address string) bool {
	return refused(func(ctx context.Context) error {
		c, err := p.dial(ctx, endpoint, address)
		if err == nil {
			c.setUsableUntil(steady.Now(), http.Header{})
			p.putIdle(endpoint, c)
		}
		return err
	})
}

// refused reports whether a dial is refused. It dials again after a timeout.
func refused(dial func(context.Context) error) bool {
	for range crashCheckDials {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		err := dial(ctx)
		cancel()
		var timeout interface{ Timeout() bool }
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
	}
	return false
}

// deleteExpiredChecks deletes the checks whose result is no longer valid. p.mu must be held.
func (p *Pool) deleteExpiredChecks(now time.Time) {
	for endpoint, k := range p.crashChecks {
		if now.Sub(k.startedAt) >= crashCheckValidity {
			delete(p.crashChecks, endpoint)
		}
	}
}
