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

// TestNamelessConnectionEndsWhileSuspended holds that an entry which has not said its name in time
// is cut off when the agent's machine has woken, and not as much later.
func TestNamelessConnectionEndsWhileSuspended(t *testing.T) {
	const soon = helloTimeout / 2
	go steady.Watch(t.Context())
	var n memlink.Network
	a := New(Options{Name: "agent-1", Versions: &versions.Holder{}})
	go func() { _ = a.Serve(t.Context(), n.Listen("agent-1")) }() // ends with the test
	var s interface {
		Done() <-chan struct{}
	}
	for s == nil { // until it listens
		if dialed, err := n.From("entry-1").Dial(context.Background(), "agent-1"); err == nil {
			s = dialed
		}
	}
	// The timer starts once the connection is taken, which no one can see: it is suspended again
	// and again.
	for end := time.Now().Add(soon); time.Now().Before(end); {
		t.Cleanup(suspension.Suspend(time.Hour))
		select {
		case <-s.Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
	t.Error("the connection is still open")
}
