package peers

import (
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/suspension"
)

// TestEntriesAreSilentAfterASuspension holds that an entry which wakes does not go by what it
// heard of others before: none of them counts as live until it is heard again.
func TestEntriesAreSilentAfterASuspension(t *testing.T) {
	g, _ := ranked(steady.Now(), 3)
	if n := len(g.Owners()); n != 4 {
		t.Fatalf("%d entries live", n)
	}
	t.Cleanup(suspension.Suspend(10 * time.Second))
	if n := len(g.Owners()); n != 1 {
		t.Errorf("%d entries count as live after a suspension", n)
	}
}

// TestTrueTimeIsComparedAnewAfterASuspension holds that an entry which wakes does not go by how
// the clocks compared before: the time of day may have been set meanwhile. No true time is
// known until they are compared again; who asks takes the time of day.
func TestTrueTimeIsComparedAnewAfterASuspension(t *testing.T) {
	g, _ := ranked(steady.Now(), 0)
	g.observeOwnClock(steady.Now())
	if _, ok := g.TrueTime(steady.Now()); !ok {
		t.Fatal("no time is known")
	}
	t.Cleanup(suspension.Suspend(10 * time.Second))
	if _, ok := g.TrueTime(steady.Now()); ok {
		t.Error("the clocks count as compared, 10 s later")
	}
	g.observeOwnClock(steady.Now())
	if now, ok := g.TrueTime(steady.Now()); !ok || time.Until(now).Abs() > time.Second {
		t.Errorf("%v off the time of day", time.Until(now))
	}
}
