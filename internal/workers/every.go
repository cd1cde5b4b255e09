package workers

import (
	"context"
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

// Every calls f at each interval until ctx is done. If a call takes longer than the interval, one
// call follows at once in place of those missed. The timer is set only while Every waits; see
// TestEveryWithSlowCalls.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	next := steady.Now().Add(interval)
	for Sleep(ctx, steady.Until(next)) {
		f(steady.Now())
		next = next.Add(interval)
		if late := steady.Since(next); late > 0 {
			next = next.Add(late.Truncate(interval))
		}
	}
}
