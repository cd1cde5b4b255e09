package soak

import (
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// TestFreezeDoesNotCountAsSignalSetupTime guards against a reload signal to a process that has not
// installed its signal handlers yet. A process that is frozen within its first 30 ms and gets SIGHUP
// more than 0.3 s after its start ends with "signal: hangup" when it resumes, and does not come back
// after the faults (seed 33043 with a request that crashes endpoints, in 2 of 2 runs).
func TestFreezeDoesNotCountAsSignalSetupTime(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		e    *entry
		want bool
	}{
		"running":                  {&entry{startedAt: now.Add(-time.Second)}, true},
		"just started":             {&entry{startedAt: now}, false},
		"frozen since its start":   {&entry{startedAt: now.Add(-time.Second), frozenSince: now.Add(-990 * time.Millisecond)}, false},
		"just resumed":             {&entry{startedAt: now.Add(-time.Second), frozenTotal: 900 * time.Millisecond}, false},
		"frozen after its startup": {&entry{startedAt: now.Add(-time.Second), frozenSince: now.Add(-200 * time.Millisecond)}, true},
	} {
		if got := c.e.handlesSignals(); got != c.want {
			t.Errorf("%s: handlesSignals returned %t", name, got)
		}
	}
}

// startLoneEntry starts the only entry of a deployment.
func startLoneEntry(t *testing.T, o Options, store *platformtest.Store, reports *platformtest.Reports) *entry {
	t.Helper()
	e, err := newEntry(o, 0, store.Address(), reports.Address())
	if err != nil {
		t.Fatal(err)
	}
	if err := e.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.shutDown)
	return e
}
