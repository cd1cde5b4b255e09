package steady

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"
)

// suspendedFor is the simulated time of suspension, in ns.
var suspendedFor atomic.Int64

func init() {
	Suspended = func() time.Duration { return time.Duration(suspendedFor.Load()) }
	Recent = Suspended
}

// suspend simulates a suspension of d.
func suspend(d time.Duration) { suspendedFor.Add(int64(d)) }

func TestClockCountsSuspension(t *testing.T) {
	startedAt := Now()
	deadline := startedAt.Add(time.Hour)
	suspend(2 * time.Hour)
	if age := Since(startedAt); age < 2*time.Hour || age > 2*time.Hour+time.Minute {
		t.Errorf("Since returned %v", age)
	}
	if remaining := Until(deadline); remaining > -time.Hour {
		t.Errorf("Until returned %v", remaining)
	}
	if d := time.Since(Wall()); d < 0 || d > time.Minute {
		t.Errorf("Wall is off by %v", d)
	}
}

// TestDeadlineCountsSuspension checks that a context whose deadline passed while the machine was
// suspended is done once the machine resumes, not later by the time of the suspension.
func TestDeadlineCountsSuspension(t *testing.T) {
	watchCtx, end := context.WithCancel(t.Context())
	defer end()
	go FireAfterSuspension(watchCtx)
	ctx, cancel := WithDeadline(t.Context(), Now().Add(time.Hour))
	defer cancel()
	later, cancelLater := WithDeadline(t.Context(), Now().Add(5*time.Hour))
	defer cancelLater()
	suspend(2 * time.Hour)
	<-ctx.Done()
	if cause := context.Cause(ctx); !errors.Is(cause, context.DeadlineExceeded) {
		t.Errorf("done with cause %v", cause)
	}
	if later.Err() != nil {
		t.Error("a context with a later deadline is done")
	}
}

func TestDeadlineWithoutSuspension(t *testing.T) {
	ctx, cancel := WithDeadline(t.Context(), Now().Add(time.Millisecond))
	defer cancel()
	<-ctx.Done()
	if cause := context.Cause(ctx); !errors.Is(cause, context.DeadlineExceeded) {
		t.Errorf("done with cause %v", cause)
	}
}

func TestParentCancelsContext(t *testing.T) {
	parent, cancelParent := context.WithCancel(t.Context())
	ctx, cancel := WithDeadline(parent, Now().Add(time.Hour))
	defer cancel()
	cancelParent()
	<-ctx.Done()
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		t.Errorf("done with cause %v", cause)
	}
}

func TestStoppedTimerDoesNotFire(t *testing.T) {
	timer := AfterFunc(time.Hour, func() { t.Error("fired") })
	if !timer.Stop() || timer.Stop() {
		t.Error("Stop must return true once")
	}
	suspend(2 * time.Hour)
	fireDue()
	timers.mu.Lock()
	defer timers.mu.Unlock()
	if len(timers.pending) != 0 {
		t.Errorf("%d timers are still pending", len(timers.pending))
	}
}
