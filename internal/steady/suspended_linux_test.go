package steady

import (
	"testing"
	"time"
)

// TestExactCountsSuspensionAtOnce checks that an exact reading counts a suspension right after the
// machine resumes, while other readings still use the last comparison of the clocks.
func TestExactCountsSuspensionAtOnce(t *testing.T) {
	var offset time.Duration
	c := newSuspensionClock(func() time.Duration { return offset })
	c.recent()
	c.comparedAt.Store(int64(time.Since(c.startedAt) + compareInterval/2))
	offset = 10 * time.Second
	if d := c.exact(); d != offset {
		t.Errorf("suspension is %v", d)
	}
}

// TestShortSuspensionsAddUp checks that short suspensions are counted once they add up, and that the
// clock never goes back.
func TestShortSuspensionsAddUp(t *testing.T) {
	var offset time.Duration
	c := newSuspensionClock(func() time.Duration { return offset })
	for range 10 {
		offset += minSuspension / 4
		c.exact()
	}
	if d := c.exact(); offset-d >= minSuspension {
		t.Errorf("%v of %v are counted", d, offset)
	}
	counted := c.exact()
	offset = 0
	if d := c.exact(); d < counted {
		t.Errorf("the suspension went back from %v to %v", counted, d)
	}
}

// TestNoSuspensionWhileRunning checks that no suspension is detected on a running machine, however
// busy it is.
func TestNoSuspensionWhileRunning(t *testing.T) {
	for range 10_000 {
		if d := systemClocks.exact(); d != 0 {
			t.Fatalf("suspension is %v on a running machine", d)
		}
	}
}

// BenchmarkNow compares the readings of the clock with time.Now, which takes 0.06 us.
func BenchmarkNow(b *testing.B) {
	Suspended, Recent = systemClocks.exact, systemClocks.recent
	b.Run("time.Now", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
	b.Run("steady.Now", func(b *testing.B) {
		for b.Loop() {
			_ = Now()
		}
	})
	b.Run("steady.Exact", func(b *testing.B) {
		for b.Loop() {
			_ = Exact()
		}
	})
	b.Run("compare the clocks", func(b *testing.B) {
		for b.Loop() {
			_ = clockOffset()
		}
	})
}
