package process

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"foxcross.dev/foxcross/internal/relay/entry"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 2 * time.Minute
)

// listen serves HTTP on an address until the server is closed.
func listen(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    entry.MaxHeader,
	}
	go func() {
		if err := s.Serve(l); err != http.ErrServerClosed {
			log.Errorf("Serving on %s failed: %v.", address, err)
		}
	}()
	return s, nil
}
