package endpoint

import (
	"context"
	"errors"
	"net"
	"net/url"
	"syscall"
	"time"
)

// probeTimeout bounds the connection attempt that detects a crash. The endpoint runs beside the
// agent, and a refusal takes less than a millisecond.
const probeTimeout = 100 * time.Millisecond

// refuses reports whether connections to an address are refused. A timeout is not a refusal.
func refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close() // no data was sent
	return false
}

// hostOf returns the host and port of a base URL, with the scheme's port if it has none.
func hostOf(base *url.URL) string {
	if base.Port() != "" {
		return base.Host
	}
	return net.JoinHostPort(base.Hostname(), base.Scheme)
}

// HasCrashed implements CrashDetector.
func (s *service) HasCrashed(ctx context.Context) bool { return refuses(ctx, hostOf(s.base)) }

// HasCrashed implements CrashDetector.
func (e *chat) HasCrashed(ctx context.Context) bool { return refuses(ctx, e.host) }
