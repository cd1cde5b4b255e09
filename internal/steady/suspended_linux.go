package steady

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is counted. The two clocks are not read at the same
// moment; on a busy machine some ms may pass between the readings.
const minSuspension = 20 * time.Millisecond

// compareInterval is the time for which Now uses the result of a comparison of the clocks, on the
// monotonic clock. The two readings take 0.4 us (BenchmarkNow), or 1.6 us where the users'
// machines are emulated, and a request takes some 40 readings. Detection of a suspension is delayed
// by at most the interval.
const compareInterval = time.Millisecond

// baseSamples is the number of comparisons of the clocks at the start, after the first.
const baseSamples = 8

// systemClocks counts the suspensions of this machine.
var systemClocks = newSuspensionClock(clockOffset)

// suspensionClock counts suspensions by comparing a clock that includes them with the monotonic
// one. It is safe for concurrent use.
type suspensionClock struct {
	offset     func() time.Duration // of the clock that includes suspension, relative to the monotonic one
	baseOffset time.Duration        // offset at the start
	suspended  atomic.Int64         // time of suspension detected so far, in ns; it never decreases
	startedAt  time.Time
	comparedAt atomic.Int64 // time of the last comparison, in ns after startedAt
}

// newSuspensionClock returns a suspensionClock. It starts from the largest of several offsets, since
// a pause between the two readings of an offset makes it smaller.
func newSuspensionClock(offset func() time.Duration) *suspensionClock {
	c := &suspensionClock{offset: offset, baseOffset: offset(), startedAt: time.Now()}
	for range baseSamples {
		c.baseOffset = max(c.baseOffset, offset())
	}
	return c
}

// recent returns the time of suspension as of at most compareInterval ago.
func (c *suspensionClock) recent() time.Duration {
	since := time.Since(c.startedAt)
	if last := time.Duration(c.comparedAt.Load()); since >= last && since-last < compareInterval {
		return time.Duration(c.suspended.Load())
	}
	c.comparedAt.Store(int64(since))
	return c.exact()
}

// exact compares the clocks and returns the time of suspension.
func (c *suspensionClock) exact() time.Duration {
	previous := c.suspended.Load()
	if current := int64(c.offset() - c.baseOffset); current-previous >= int64(minSuspension) {
		c.suspended.CompareAndSwap(previous, current)
	}
	return time.Duration(c.suspended.Load())
}

// clockOffset returns the offset of CLOCK_BOOTTIME relative to CLOCK_MONOTONIC. It reads
// CLOCK_BOOTTIME first, so that a pause between the readings never looks like a suspension.
func clockOffset() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0 // the kernel lacks the clock: suspension is not detected
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
