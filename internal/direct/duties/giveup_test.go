package duties

import (
	"testing"

	"github.com/uber-go/tally/v4"
)

// TestGivingUpIsCounted cuts the holder off from the store until it gives its lease up: operators
// are to see that the duties were lost, as where the store says so.
func TestGivingUpIsCounted(t *testing.T) {
	const cut, looked = 180, 480 // steps of 50 ms; a lease lasts 1.5 s, and is given up 10 s later
	lost := func(scope tally.TestScope) int64 {
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
		case cut:
			r.store.mu.Lock()
			m.cut = true
			r.store.mu.Unlock()
		case looked:
			if n := lost(r.plan.metrics.(tally.TestScope)); n != 1 {
				t.Errorf("the duties were lost %d times", n)
			}
		}
	}
	simulate(t, 1, plan{machines: 1, window: shortWindow, script: script, metrics: tally.NewTestScope("", nil)})
}
