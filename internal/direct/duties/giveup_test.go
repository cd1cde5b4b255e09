package duties

import (
	"testing"

	"github.com/uber-go/tally/v4"
)

// TestGiveUpIsCounted disconnects the holder from the store until it gives up its lease. The metric
// duties_lost must count this loss as it counts one that the store reports.
func TestGiveUpIsCounted(t *testing.T) {
	const disconnectStep, checkStep = 180, 480 // steps of 50 ms; a lease lasts 1.5 s and is given up 10 s after it expires
	lostCount := func(scope tally.TestScope) int64 {
		for _, c := range scope.Snapshot().Counters() {
			if c.Name() == "duties_lost" {
				return c.Value()
			}
		}
		return 0
	}
	script := func(r *run, step int) {
		m := r.machines[0]
		switch step {
		case disconnectStep:
			r.store.mu.Lock()
			m.disconnected = true
			r.store.mu.Unlock()
		case checkStep:
			if n := lostCount(r.plan.metrics.(tally.TestScope)); n != 1 {
				t.Errorf("duties_lost is %d, want 1", n)
			}
		}
	}
	simulate(t, 1, plan{machines: 1, window: shortWindow, script: script, metrics: tally.NewTestScope("", nil)})
}
