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

// TestTrueTimeGoesOnWhileSuspended holds that the true time is right at once when the machine
// wakes, before any other entry is heard.
func TestTrueTimeGoesOnWhileSuspended(t *testing.T) {
	const suspended = 10 * time.Second
	g, _ := ranked(steady.Now(), 0)
	g.observeOwnClock(steady.Now())
	before, ok := g.TrueTime(steady.Now())
	t.Cleanup(suspension.Suspend(suspended))
	after, stillOK := g.TrueTime(steady.Now())
	// What was heard before counts for 2 s only: the own clock is read anew.
	if !stillOK {
		g.observeOwnClock(steady.Now())
		after, stillOK = g.TrueTime(steady.Now())
	}
	if !ok || !stillOK {
		t.Fatal("no time is known")
	}
	if d := time.Until(after); d < -time.Second || d > time.Second {
		t.Errorf("%v off the time of day, %v before", d, time.Until(before))
	}
}
