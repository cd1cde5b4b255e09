// Package suspension lets a test believe that its machine was suspended. Importing it puts a
// clock of its own in place of the kernel's, before anything reads it.
package suspension

import (
	"sync/atomic"
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

// asleep is for how long the machine was suspended, in ns; noticed as much of it as a comparison of
// the clocks that still holds knows of.
var asleep, noticed atomic.Int64

func init() {
	steady.Suspended = func() time.Duration { return time.Duration(asleep.Load()) }
	steady.Recent = func() time.Duration { return time.Duration(noticed.Load()) }
}

// Suspend lets the machine have been suspended for a time. The function that it returns takes
// that back, for the tests that follow.
func Suspend(d time.Duration) (undo func()) {
	noticed.Add(int64(d))
	waken := Waken(d)
	return func() {
		noticed.Add(-int64(d))
		waken()
	}
}

// Waken is Suspend for a machine that has just woken: only exact readings know of it.
func Waken(d time.Duration) (undo func()) {
	asleep.Add(int64(d))
	return func() { asleep.Add(-int64(d)) }
}
