package process

import (
	"context"
	"net/http"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/relay/config"
	"foxcross.dev/foxcross/internal/relay/entry"
	"foxcross.dev/foxcross/internal/relay/versions"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/suspension"
)

// TestStopGraceCountsSuspension checks that the grace period of a stop includes the time for which
// the machine is suspended, as it does for the load balancer.
func TestStopGraceCountsSuspension(t *testing.T) {
	go steady.FireAfterSuspension(t.Context())
	e := entry.New(entry.Options{Settings: &versions.Holder{}})
	stopped := make(chan error, 1)
	go func() {
		stopped <- stopEntry(e, &http.Server{}, config.Entry{StopGraceMS: int(time.Hour.Milliseconds())}, context.Background())
	}()
	// The start of the grace period can't be observed, so the machine is suspended repeatedly.
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		t.Cleanup(suspension.Suspend(2 * time.Hour))
		select {
		case err := <-stopped:
			if err != nil {
				t.Error(err)
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
	t.Error("stopEntry did not return")
}
