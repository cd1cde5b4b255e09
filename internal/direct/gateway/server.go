package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"foxcross.dev/coord/result"
)

// Limits on callers' connections that are not in the settings.
const (
	// maxHeaderBytes is the limit for net/http. That in the settings is checked as a header arrives.
	maxHeaderBytes = 1 << 20
	// headerTimeout is how long a new connection may take for its first header. The limit in the
	// settings applies from the first byte of a header on: before that, the connection is idle.
	headerTimeout = 30 * time.Second
	// keepAliveInterval and keepAliveProbes configure TCP keep-alive: an unreachable caller is
	// given up after some five seconds.
	keepAliveInterval = time.Second
	keepAliveProbes   = 4
	// idleLimitFactor makes idle connections last longer than the idle time promised to callers, so
	// that callers close them first.
	idleLimitFactor = 1.05
	// defaultIdleLimit is the idle time before there are settings.
	defaultIdleLimit = 2 * time.Minute
)

// Serve accepts callers' requests on the address. The server it returns runs until it is shut down.
func (g *Gateway) Serve(address string) (*http.Server, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("gateway: listen on %s: %w", address, err)
	}
	s := g.newServer()
	go func() {
		if err := s.Serve(idleListener{Listener: l, idleLimit: g.idleLimit, newHead: g.newHeadReader, conns: &g.callerConns, countClosed: g.countClosedConn}); err != http.ErrServerClosed {
			log.Errorf("Serving on %s ended: %v.", address, err)
		}
	}()
	return s, nil
}

// newServer returns the server of callers' connections.
func (g *Gateway) newServer() *http.Server {
	s := &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         g.connStateChanged,
		ConnContext:       withCallerConn,
	}
	s.SetKeepAlivesEnabled(true)
	return s
}

// connStateChanged updates a caller's connection to the state that the server reports.
func (g *Gateway) connStateChanged(c net.Conn, s http.ConnState) {
	if conn, ok := c.(*callerConn); ok && s == http.StateNew {
		conn.markNew(g.headerLimit)
	}
	connStateChanged(c, s)
}

// headerLimit returns how long a caller may take to send a header, from its first byte.
func (g *Gateway) headerLimit() time.Duration {
	active := g.directory.Settings()
	if active == nil {
		return headerTimeout
	}
	return active.Snapshot.Limits().HeaderTimeout
}

// newHeadReader returns the meter of a connection's heads.
func (g *Gateway) newHeadReader() headReader {
	return headReader{limit: g.headerBytesLimit, hold: headHold{account: &g.headMemory}, countRefused: g.countRefusedHead}
}

// headerBytesLimit returns the largest size of a head, in bytes.
func (g *Gateway) headerBytesLimit() int {
	active := g.directory.Settings()
	if active == nil {
		return defaultHeaderLimit
	}
	return active.Snapshot.Limits().HeaderBytes
}

// countRefusedHead counts and logs a request that is refused by its head.
func (g *Gateway) countRefusedHead(f *result.Error) {
	name := f.Code.Entry().Name
	g.options.Metrics.Tagged(map[string]string{"code": name}).Counter("heads_refused").Inc(1)
	log.With("code", int(f.Code)).With("reason", f.Reason).With("reserved", g.headMemory.reserved()).
		WarnLimited("head-"+name, "A request was refused by its head.")
}

// countClosedConn counts and logs a connection that is closed since there are too many.
func (g *Gateway) countClosedConn(open int) {
	g.options.Metrics.Counter("connections_closed_at_limit").Inc(1)
	log.With("open", open).WarnLimited("connections", "A caller's connection was closed: there are too many.")
}

// idleLimit returns how long a caller's connection may be idle.
func (g *Gateway) idleLimit() time.Duration {
	active := g.directory.Settings()
	if active == nil {
		return defaultIdleLimit
	}
	return time.Duration(idleLimitFactor * float64(active.Snapshot.Limits().IdleTimeout))
}
