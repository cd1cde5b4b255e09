package duties

import (
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/suspension"
)

// TestSuspendedHolderSendsNothing suspends the machine of the holder for much longer than its lease.
// Go's monotonic clock does not count that time, so the lease seems held on resuming, and the holder
// would send with a fence that another entry may have replaced.
func TestSuspendedHolderSendsNothing(t *testing.T) { testSuspendedHolder(t, suspension.Suspend) }

// TestResumedHolderSendsNothing checks the same within the millisecond after resuming, in which
// readings that are not exact still rely on a comparison of the clocks from before the suspension.
func TestResumedHolderSendsNothing(t *testing.T) { testSuspendedHolder(t, suspension.SuspendUnnoticed) }

// testSuspendedHolder suspends the machine of a holder that has reports to send, and checks that it
// sends none on resuming.
func testSuspendedHolder(t *testing.T, suspend func(time.Duration) (undo func())) {
	t.Helper()
	const outageStep, suspendStep, checkStep = 180, 200, 220 // steps of 50 ms; a lease lasts 1.5 s
	var resumedAt time.Time
	script := func(r *run, step int) {
		m := r.machines[0]
		switch step {
		case outageStep: // leaves reports that are written and not sent
			r.platform.mu.Lock()
			r.platform.unavailable = true
			r.platform.mu.Unlock()
		case suspendStep:
			if l, _ := m.member.duties.lease(); !l.MayAct(steady.Now()) {
				t.Error("there is no holder to suspend")
			}
			r.store.mu.Lock()
			m.disconnected = true // prevents a check of the lease, which expired long ago
			r.store.mu.Unlock()
			r.platform.mu.Lock()
			r.platform.unavailable = false
			r.platform.mu.Unlock()
			t.Cleanup(suspend(10 * time.Second))
			resumedAt = time.Now()
		case checkStep:
			r.platform.mu.Lock()
			for _, x := range r.platform.reports {
				if x.sentAt.After(resumedAt) {
					t.Errorf("%s sent with fence %d, %v after resuming", x.machine, x.fence, x.sentAt.Sub(resumedAt))
				}
			}
			r.platform.mu.Unlock()
			r.store.mu.Lock()
			m.disconnected = false
			r.store.mu.Unlock()
		}
	}
	simulate(t, 1, plan{machines: 1, window: shortWindow, script: script})
}
