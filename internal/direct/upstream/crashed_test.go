package upstream_test

import (
	"net"
	"sync"
	"testing"

	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/steady"
)

func TestRefusingEndpointHasCrashed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	var p upstream.Pool
	if !p.Crashed("i-1", address, steady.Now()) {
		t.Error("Crashed reports false for a closed port")
	}
}

// TestConcurrentFailuresShareOneCrashCheck checks that an endpoint is dialed once after many of
// its connections break, and that the new connection is kept.
func TestConcurrentFailuresShareOneCrashCheck(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the test has ended
	accepted := make(chan net.Conn, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	var p upstream.Pool
	var requests sync.WaitGroup
	brokenAt := steady.Now()
	for range 32 {
		requests.Go(func() {
			if p.Crashed("i-1", l.Addr().String(), brokenAt) {
				t.Error("Crashed reports true for an endpoint that accepts connections")
			}
		})
	}
	requests.Wait()
	<-accepted
	if len(accepted) != 0 {
		t.Errorf("%d connections beyond the first", len(accepted))
	}
}

// TestCrashAfterBrokenConnectionIsDetected checks that an endpoint that was running when one
// connection broke is checked again for the next one: it may have crashed in between.
func TestCrashAfterBrokenConnectionIsDetected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var p upstream.Pool
	if p.Crashed("i-1", l.Addr().String(), steady.Now()) {
		t.Error("Crashed reports true for a listening endpoint")
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if !p.Crashed("i-1", l.Addr().String(), steady.Now()) {
		t.Error("Crashed reports false after the listener was closed")
	}
}
