package workers

import (
	"context"
	"time"
)

// Sleep waits for a time; false if ctx was done before. It sets no timer that is due at once:
// TestSleepOfNoTime says why.
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
