// Divides the grace period of a graceful shutdown.
//
// Rule: from the signal on, the process is not ready. Requests are still accepted for acceptShare
// of the grace period, because the load balancer needs a moment to notice, but only for
// minAcceptShare if none is open then. After that, new requests are refused as not run, and so are
// accepted ones that have not run yet, unless their deadline is before shutdownShare. At
// shutdownShare, requests that are still open are aborted: their callers get what is true of them, and
// streams break off.
// Inputs: the grace period, from the settings file; the number of open requests.
// Unit: shares of the grace period, from the signal on.
// Never: an accepted request is aborted before shutdownShare.

package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

const (
	// acceptShare is when requests stop being accepted.
	acceptShare = 0.34
	// minAcceptShare is until when requests are accepted even if none is open, so that an idle
	// process stops soon.
	minAcceptShare = 0.3
	// shutdownShare is when open requests are aborted.
	shutdownShare = 0.93
	// answeredShare is until when the responses to aborted requests may be sent.
	answeredShare = 0.97
)

// errStopping is why the requests end that are open at the end of the grace period.
var errStopping = errors.New("gateway: the grace period of the shutdown has ended")

// Stop shuts the gateway down gracefully within the grace period. It returns an error if requests
// were open at the end.
func (g *Gateway) Stop(s *http.Server, grace time.Duration) error {
	began := steady.Now()
	g.lifecycle.Stop()
	at := func(share float64) time.Time { return began.Add(time.Duration(share * float64(grace))) }
	abortAt := at(shutdownShare)
	g.abortAt.Store(&abortAt)
	g.capacity.waitIdle(at(minAcceptShare), at(acceptShare))
	g.refusing.Store(true)
	aborting := steady.AfterFunc(steady.Until(abortAt), func() { g.abortOpen(errStopping) })
	defer aborting.Stop()
	ctx, cancel := steady.WithDeadline(context.Background(), at(answeredShare))
	defer cancel()
	defer g.lifecycle.Done()
	if err := s.Shutdown(ctx); err != nil {
		return fmt.Errorf("gateway: stopped with requests open: %w", err)
	}
	if g.stopping.Err() != nil {
		return fmt.Errorf("gateway: stopped with requests open at the end of the grace period: %w", context.Cause(g.stopping))
	}
	log.Info("All requests are answered.")
	return nil
}

// maySend reports whether a request may be sent to an endpoint with regard to the shutdown: it would be
// aborted if it ran beyond its end.
func (g *Gateway) maySend(q *request) bool {
	if !g.refusing.Load() {
		return true
	}
	abortAt := g.abortAt.Load()
	return abortAt != nil && q.deadline.Before(*abortAt)
}

// Grace returns the time from the signal to stop until the process is killed.
func (g *Gateway) Grace() time.Duration {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	return g.dispatcher.bounds.StopGrace
}
