package fleet_test

import (
	"net/http"
	"testing"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// TestRetriesWhileOthersAreTold sends requests that are sent again at once, while the events
// of their first attempts are on the way to other entries. Under the race detector it shows
// whether an attempt's event holds what the next attempt changes: it held the request
// itself, so that others could be told of the time left at another attempt.
func TestRetriesWhileOthersAreTold(t *testing.T) {
	const requests = 50
	f := newFleet(t, 2, 2)
	for n := range requests {
		platformtest.InTurn(f.endpoints(), platformtest.Break{})
		if a := f.ask(f.entries[n%2], "/page/1", "sent again"); a.status != http.StatusOK {
			t.Fatalf("request %d: status %d", n, a.status)
		}
	}
}
