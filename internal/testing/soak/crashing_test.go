package soak

import "testing"

// TestTooManyEndsAreFound plants one end more, and as many as are borne.
func TestTooManyEndsAreFound(t *testing.T) {
	for crashed, breaches := range map[int]int{2 * maxEndsSeen: 0, 2*maxEndsSeen + 1: 1} {
		d := &deployment{entries: []*entry{{life: 1}, {life: 1}}, crashed: crashed}
		d.checkCrashing()
		if n := len(d.history.breaches); n != breaches {
			t.Errorf("%d ends: %d breaches", crashed, n)
		}
	}
}
