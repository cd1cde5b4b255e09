package soak

import (
	"testing"
	"time"
)

// TestFrozenStartIsNotSettled holds that the time for which a process stands still does not count
// as time that it has run.
//
// What was seen: seed 33043 with a request that crashes endpoints, 2 of 2 runs: an entry did not
// come back after the faults. Its end was "signal: hangup". The order of events: it starts, is frozen
// within its first 30 ms, is told to read its settings again more than 0.3 s after its start, and
// ends by that when it wakes, since it had not set up its signals.
func TestFrozenStartIsNotSettled(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		e    *entry
		want bool
	}{
		"has run":                      {&entry{began: now.Add(-time.Second)}, true},
		"has just started":             {&entry{began: now}, false},
		"frozen since its start":       {&entry{began: now.Add(-time.Second), frozen: now.Add(-990 * time.Millisecond)}, false},
		"was frozen, and has just run": {&entry{began: now.Add(-time.Second), stood: 900 * time.Millisecond}, false},
		"frozen after it had run":      {&entry{began: now.Add(-time.Second), frozen: now.Add(-200 * time.Millisecond)}, true},
	} {
		if got := c.e.settled(); got != c.want {
			t.Errorf("%s: settled is %t", name, got)
		}
	}
}
