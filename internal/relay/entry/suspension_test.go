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

// takenKey implements Claims for keys that always belong to another request.
type takenKey struct{ called chan struct{} }

// Claim implements Claims.
func (k takenKey) Claim(ctx context.Context, _ string) (release func(), err error) {
	close(k.called)
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestKeyClaimTimesOutDuringSuspension checks that a claim whose timeout passes while the machine is
// suspended ends on resume. A timer that stops during suspension would keep the request waiting
// for the rest of its timeout.
func TestKeyClaimTimesOutDuringSuspension(t *testing.T) {
	go steady.FireAfterSuspension(t.Context())
	k := takenKey{called: make(chan struct{})}
	e := New(Options{Settings: &versions.Holder{}, Claims: k})
	r := httptest.NewRequest("POST", "/", nil)
	r.Header.Set(idempotencyKeyField, "booking-7")
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, failure := e.claimKey(r, caller{}, settings.ClassInfo{GiveUp: time.Hour}); failure == nil {
			t.Error("the key was claimed")
		}
	}()
	<-k.called
	t.Cleanup(suspension.Suspend(2 * time.Hour))
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("the claim did not end within 10 s of the resume")
	}
}
