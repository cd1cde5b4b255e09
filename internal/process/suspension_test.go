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

// TestGraceOfAStopPassesWhileSuspended holds that an entry which is to stop does not wait for time
// that its balancer has already counted.
func TestGraceOfAStopPassesWhileSuspended(t *testing.T) {
	go steady.Watch(t.Context())
	e := entry.New(entry.Options{Settings: &versions.Holder{}})
	stopped := make(chan error, 1)
	go func() {
		stopped <- stopEntry(e, &http.Server{}, config.Entry{StopGraceMS: int(time.Hour.Milliseconds())}, context.Background())
	}()
	// When the grace has begun no one can see: the machine is suspended again and again.
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
	t.Error("it still waits")
}
