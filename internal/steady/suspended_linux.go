package steady

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is told from two readings of clocks that are
// not taken at the same moment. Chosen, not measured: a busy machine may put some ms between
// them.
const minSuspension = 20 * time.Millisecond

// lookInterval is how long a comparison of the clocks holds, on the monotonic clock. Chosen:
// the two readings take 0.4 us (BenchmarkNow), and 1.6 us where the users' machines are played, and a request
// takes some 40 readings; the machine may as well be suspended right after a comparison.
const lookInterval = time.Millisecond

// baseTries is how often the clocks are compared at the start. Chosen, not measured.
const baseTries = 8

var (
	// base is what the clock that goes on was ahead of the monotonic one at the start.
	base = firstGap()
	// counted is the suspension that is known, in ns. It never shrinks.
	counted atomic.Int64
	// started and looked are when the process started and when the clocks were last compared,
	// in ns after that.
	started = time.Now()
	looked  atomic.Int64
)

// suspended compares CLOCK_BOOTTIME, which goes on, with CLOCK_MONOTONIC, which does not.
func suspended() time.Duration {
	since := time.Since(started)
	if last := time.Duration(looked.Load()); since >= last && since-last < lookInterval {
		return time.Duration(counted.Load())
	}
	looked.Store(int64(since))
	known := counted.Load()
	if now := int64(gap() - base); now-known >= int64(minSuspension) {
		counted.CompareAndSwap(known, now)
	}
	return time.Duration(counted.Load())
}

// firstGap returns the gap at the start. A pause between its two readings makes it smaller.
func firstGap() time.Duration {
	largest := gap()
	for range baseTries {
		largest = max(largest, gap())
	}
	return largest
}

// gap returns by how much the clock that goes on is ahead. It is read first, so that a pause
// in between never looks like a suspension.
func gap() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0 // a kernel without it: suspension is not noticed
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
