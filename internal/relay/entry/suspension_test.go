package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/relay/versions"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/suspension"
)

// takenKey is a service of claims at which each key is another request's.
type takenKey struct{ asked chan struct{} }

// Claim implements Claims.
func (k takenKey) Claim(ctx context.Context, _ string) (release func(), err error) {
	close(k.asked)
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestKeyIsNotWaitedForWhileSuspended holds that a request whose time ran out while its entry's
// machine was suspended is given up on waking.
func TestKeyIsNotWaitedForWhileSuspended(t *testing.T) {
	go steady.Watch(t.Context())
	k := takenKey{asked: make(chan struct{})}
	e := New(Options{Settings: &versions.Holder{}, Claims: k})
	r := httptest.NewRequest("POST", "/", nil)
	r.Header.Set(keyField, "booking-7")
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, failure := e.claim(r, caller{}, settings.ClassInfo{GiveUp: time.Hour}); failure == nil {
			t.Error("the key was claimed")
		}
	}()
	<-k.asked
	t.Cleanup(suspension.Suspend(2 * time.Hour))
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("it still waits")
	}
}
