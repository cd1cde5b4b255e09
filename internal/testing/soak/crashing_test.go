package soak

import "testing"

// TestTooManyCrashesAreFound plants one crash more, and as many as are borne.
func TestTooManyCrashesAreFound(t *testing.T) {
	for crashed, breaches := range map[int]int{2 * maxCrashesSeen: 0, 2*maxCrashesSeen + 1: 1} {
		d := &deployment{entries: []*entry{{life: 1}, {life: 1}}, crashed: crashed}
		d.checkCrashing()
		if n := len(d.history.breaches); n != breaches {
			t.Errorf("%d crashes: %d breaches", crashed, n)
		}
	}
}
