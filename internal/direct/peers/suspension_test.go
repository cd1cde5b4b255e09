package peers

import (
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/suspension"
)

// TestMembersAreNotLiveAfterSuspension checks that a process that resumes does not use what it
// received before: no peer counts as live until a packet from it arrives again.
func TestMembersAreNotLiveAfterSuspension(t *testing.T) {
	g, _ := newRankedGroup(steady.Now(), 3)
	if n := len(g.Owners()); n != 4 {
		t.Fatalf("%d live peers", n)
	}
	t.Cleanup(suspension.Suspend(10 * time.Second))
	if n := len(g.Owners()); n != 1 {
		t.Errorf("%d peers count as live after a suspension", n)
	}
}

// TestTrueTimeIsUnknownAfterSuspension checks that a process that resumes does not use clock
// comparisons made before, since the wall clock may have been set in the meantime. The true time
// is unknown until the clocks are compared again; callers use the wall clock until then.
func TestTrueTimeIsUnknownAfterSuspension(t *testing.T) {
	g, _ := newRankedGroup(steady.Now(), 0)
	g.observeLocalClock(steady.Now())
	if _, ok := g.TrueTime(steady.Now()); !ok {
		t.Fatal("the true time is unknown")
	}
	t.Cleanup(suspension.Suspend(10 * time.Second))
	if _, ok := g.TrueTime(steady.Now()); ok {
		t.Error("the true time is known 10 s later, without a new comparison")
	}
	g.observeLocalClock(steady.Now())
	if now, ok := g.TrueTime(steady.Now()); !ok || time.Until(now).Abs() > time.Second {
		t.Errorf("%v off the wall clock", time.Until(now))
	}
}
