// Package steady provides a monotonic clock that includes the time for which the machine is
// suspended.
//
// Go's monotonic readings and timers stop while a machine is suspended. After the machine
// resumes, ages, leases, deadlines and periods of silence would be shorter by that time than on
// other machines. So the direct packages read the clock of this package; docs/design/clocks.md
// lists every other reading, with what it has to count.
//
// Readings of Now must only be compared with each other, not with time.Now, and must not be
// passed to timers or sockets of the standard library; AfterFunc and WithDeadline accept them.
// Wall returns the time of day.
package steady

import (
	"context"
	"sync"
	"time"
)

// Suspended returns the total time for which the machine was suspended since the process started.
// Recent may be up to a millisecond out of date and costs less. Tests replace both before the
// clock is read.
var (
	Suspended = systemClocks.exact
	Recent    = systemClocks.recent
)

// Now returns a reading of the clock. For up to a millisecond after the machine resumes, it may not
// include the last suspension.
func Now() time.Time { return time.Now().Add(Recent()) }

// Exact returns a reading of the clock that always includes the last suspension. It is for the last
// check before an action that must not come too late: code runs within a millisecond after the
// machine resumes.
func Exact() time.Time { return time.Now().Add(Suspended()) }

// Since returns the time elapsed since a reading of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a reading of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Wall returns the time of day. It may jump forward or back.
func Wall() time.Time { return time.Now().Round(0) }

// watchInterval bounds the delay until expired timers fire after the machine resumes. It makes 20
// checks per second, of 0.4 us each.
const watchInterval = 50 * time.Millisecond

// timers holds the timers that have neither fired nor been stopped.
var timers struct {
	mu      sync.Mutex
	pending map[*Timer]struct{}
}

// Timer calls a function at a reading of Now. Stop cancels it.
type Timer struct {
	due      time.Time
	callback func()
	timer    *time.Timer
}

// AfterFunc calls a function in its own goroutine after d. The time includes suspension while
// FireAfterSuspension runs.
func AfterFunc(d time.Duration, callback func()) *Timer {
	t := &Timer{due: Now().Add(d), callback: callback}
	timers.mu.Lock()
	defer timers.mu.Unlock()
	if timers.pending == nil {
		timers.pending = map[*Timer]struct{}{}
	}
	timers.pending[t] = struct{}{}
	t.timer = time.AfterFunc(d, t.fire)
	return t
}

// fire calls the function unless the timer has already fired or been stopped.
func (t *Timer) fire() {
	if t.Stop() {
		t.callback()
	}
}

// Stop cancels the timer. It returns false if the timer has already fired or been stopped.
func (t *Timer) Stop() bool {
	timers.mu.Lock()
	defer timers.mu.Unlock()
	_, active := timers.pending[t]
	delete(timers.pending, t)
	t.timer.Stop()
	return active
}

// WithTimeout returns a context that is done after d. The time includes suspension while
// FireAfterSuspension runs.
func WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return WithDeadline(parent, Now().Add(d))
}

// WithDeadline returns a context that is done at a reading of Now, with the cause
// context.DeadlineExceeded, or when its parent is done.
func WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := AfterFunc(Until(deadline), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}

// FireAfterSuspension fires timers that expired while the machine was suspended, until ctx is done.
func FireAfterSuspension(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	previous := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if current := Suspended(); current > previous {
			previous = current
			fireDue()
		}
	}
}

// fireDue fires the expired timers.
func fireDue() {
	now := Now()
	timers.mu.Lock()
	var expired []*Timer
	for t := range timers.pending {
		if !now.Before(t.due) {
			expired = append(expired, t)
		}
	}
	timers.mu.Unlock()
	for _, t := range expired {
		go t.fire()
	}
}
