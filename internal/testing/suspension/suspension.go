// Package suspension lets a test believe that its machine was suspended. Importing it puts a
// clock of its own in place of the kernel's, before anything reads it.
package suspension

import (
	"sync/atomic"
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

// asleep is for how long the machine was suspended, in ns.
var asleep atomic.Int64

func init() { steady.Suspended = func() time.Duration { return time.Duration(asleep.Load()) } }

// Suspend lets the machine have been suspended for a time. The function that it returns takes
// that back, for the tests that follow.
func Suspend(d time.Duration) (undo func()) {
	asleep.Add(int64(d))
	return func() { asleep.Add(-int64(d)) }
}
