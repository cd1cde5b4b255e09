package fleet_test

import (
	"net/http"
	"testing"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// TestRetriesDuringEventDelivery sends requests that are retried at once, while the events of their
// first attempts are being delivered to other entries. Under the race detector it guards against an
// event that refers to the request itself, which the next attempt modifies, so that other entries
// receive the remaining time of another attempt.
func TestRetriesDuringEventDelivery(t *testing.T) {
	const requests = 50
	f := newFleet(t, 2, 2)
	for n := range requests {
		platformtest.ShareScript(f.endpoints(), platformtest.ResetConnection{})
		if a := f.request(f.entries[n%2], "/page/1", "sent again"); a.status != http.StatusOK {
			t.Fatalf("request %d: status %d", n, a.status)
		}
	}
}
