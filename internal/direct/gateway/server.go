package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"foxcross.dev/foxcross/internal/lifecycle"
)

// Bounds of callers' connections that the settings do not change.
const (
	maxHeaderBytes = 1 << 20
	headerTimeout  = 30 * time.Second
	probeAfter     = time.Second
	probeCount     = 4
	idleSlack      = 1.05 // of the idle time that callers are promised
	defaultIdle    = 2 * time.Minute
)

// Serve takes callers' requests on the address. The server it returns runs
// until it is shut down.
func (g *Gateway) Serve(address string) (*http.Server, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeAfter, Interval: probeAfter, Count: probeCount,
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("gateway: listen on %s: %w", address, err)
	}
	s := &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         changed,
	}
	s.SetKeepAlivesEnabled(true)
	go func() {
		if err := s.Serve(idleListener{Listener: l, limit: g.idleLimit}); err != http.ErrServerClosed {
			log.Errorf("Serving on %s ended: %v.", address, err)
		}
	}()
	return s, nil
}

// idleLimit returns how long a caller's connection may rest.
func (g *Gateway) idleLimit() time.Duration {
	f := g.directory.Settings()
	if f == nil {
		return defaultIdle
	}
	return time.Duration(idleSlack * float64(f.Snapshot.Limits().IdleTimeout))
}

// Shares of the grace in a clean stop.
const (
	takeShare  = 0.34 // requests are still taken: the balancer needs a moment
	quietShare = 0.3  // not before this may an idle process end
	endShare   = 0.93 // what is open is given up
)

// Stop ends the gateway cleanly within the grace: it is not ready at once,
// takes requests until the balancer has noticed, and waits for the answers.
func (g *Gateway) Stop(s *http.Server, grace time.Duration) error {
	began := time.Now()
	g.life.Stop()
	share := func(part float64) time.Duration {
		return time.Until(began.Add(time.Duration(part * float64(grace))))
	}
	g.waitIdle(share(quietShare), share(takeShare))
	g.refuse.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), share(endShare))
	defer cancel()
	defer g.life.Done()
	if err := s.Shutdown(ctx); err != nil {
		return fmt.Errorf("gateway: stopped with requests open: %w", err)
	}
	log.Info("All requests are answered.")
	return nil
}

// waitIdle waits at least the first time, and up to the second one while
// requests are open.
func (g *Gateway) waitIdle(least, most time.Duration) {
	time.Sleep(least)
	end := time.NewTimer(most - least)
	defer end.Stop()
	for g.openRequests() > 0 {
		select {
		case <-g.onIdle:
		case <-end.C:
			return
		}
	}
}

func (g *Gateway) openRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// State returns where the process is in its life.
func (g *Gateway) State() lifecycle.State { return g.life.State() }
