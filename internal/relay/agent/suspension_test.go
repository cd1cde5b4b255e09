package agent

import (
	"context"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/relay/versions"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/memlink"
	"foxcross.dev/foxcross/internal/testing/suspension"
)

// TestHelloTimeoutExpiresDuringSuspension checks that a connection without a Hello is closed when
// the agent's machine resumes, if helloTimeout passed during the suspension. A timer that stops
// during suspension would keep the connection open for the rest of the timeout.
func TestHelloTimeoutExpiresDuringSuspension(t *testing.T) {
	const limit = helloTimeout / 2
	go steady.FireAfterSuspension(t.Context())
	var n memlink.Network
	a := New(Options{Name: "agent-1", Versions: &versions.Holder{}})
	go func() { _ = a.Serve(t.Context(), n.Listen("agent-1")) }() // ends with the test
	var s interface {
		Done() <-chan struct{}
	}
	for s == nil { // until the agent listens
		if dialed, err := n.From("entry-1").Dial(context.Background(), "agent-1"); err == nil {
			s = dialed
		}
	}
	// The timer starts when the agent accepts the connection, which the test can't observe. The
	// suspension is therefore repeated.
	for end := time.Now().Add(limit); time.Now().Before(end); {
		t.Cleanup(suspension.Suspend(time.Hour))
		select {
		case <-s.Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
	t.Error("the connection is still open")
}
