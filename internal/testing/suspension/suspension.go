// Package suspension simulates a suspension of the machine in tests. Importing it replaces the
// kernel's clock by a simulated one before any code reads it.
package suspension

import (
	"sync/atomic"
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

// suspended is the total suspension in ns. lastCompared is the part of it that the last comparison of
// the clocks includes.
var suspended, lastCompared atomic.Int64

func init() {
	steady.Suspended = func() time.Duration { return time.Duration(suspended.Load()) }
	steady.Recent = func() time.Duration { return time.Duration(lastCompared.Load()) }
}

// Suspend simulates a past suspension of duration d. The returned function undoes it for the tests
// that follow.
func Suspend(d time.Duration) (undo func()) {
	lastCompared.Add(int64(d))
	undoExact := SuspendUnnoticed(d)
	return func() {
		lastCompared.Add(-int64(d))
		undoExact()
	}
}

// SuspendUnnoticed is Suspend for a machine that has just resumed: only exact readings include the suspension.
func SuspendUnnoticed(d time.Duration) (undo func()) {
	suspended.Add(int64(d))
	return func() { suspended.Add(-int64(d)) }
}
