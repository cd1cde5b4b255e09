package soak

import "testing"

// TestTooManyCrashesAreReported checks the largest allowed number of crashes, and one more.
func TestTooManyCrashesAreReported(t *testing.T) {
	for crashed, violations := range map[int]int{2 * maxCrashesPerIncarnation: 0, 2*maxCrashesPerIncarnation + 1: 1} {
		d := &deployment{entries: []*entry{{starts: 1}, {starts: 1}}, crashed: crashed}
		d.checkCrashing()
		if n := len(d.history.violations); n != violations {
			t.Errorf("%d crashes: %d violations", crashed, n)
		}
	}
}
