package upstream_test

import (
	"net"
	"sync"
	"testing"

	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/steady"
)

func TestEndpointThatRefusesHasCrashed(t *testing.T) {
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
		t.Error("an endpoint whose port is closed counts as living")
	}
}

// TestRequestsThatBreakTogetherShareOneTry holds that an endpoint at which many requests
// break is tried once, and that its new connection is kept.
func TestRequestsThatBreakTogetherShareOneTry(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the test is over
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
	var all sync.WaitGroup
	broke := steady.Now()
	for range 32 {
		all.Go(func() {
			if p.Crashed("i-1", l.Addr().String(), broke) {
				t.Error("an endpoint that takes connections counts as crashed")
			}
		})
	}
	all.Wait()
	<-accepted
	if len(accepted) != 0 {
		t.Errorf("%d connections more than one", len(accepted))
	}
}

// TestCrashAfterABrokenConnectionIsSeen holds that an endpoint which lived when one connection to it
// broke is tried again for the next one: it may have crashed in between.
func TestCrashAfterABrokenConnectionIsSeen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var p upstream.Pool
	if p.Crashed("i-1", l.Addr().String(), steady.Now()) {
		t.Error("an endpoint that listens counts as crashed")
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if !p.Crashed("i-1", l.Addr().String(), steady.Now()) {
		t.Error("its crash is not seen")
	}
}
