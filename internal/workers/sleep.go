package workers

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx is done first. If d is not positive it sets no timer;
// see TestSleepZero.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
