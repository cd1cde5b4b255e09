package workers

import (
	"context"
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

// Every calls do at each interval until ctx is done. Of the calls that a longer one has outlasted
// one is made up for. Its timer is set only while it waits: TestEveryOfLongWork says why.
func Every(ctx context.Context, interval time.Duration, do func(now time.Time)) {
	next := steady.Now().Add(interval)
	for Sleep(ctx, steady.Until(next)) {
		do(steady.Now())
		next = next.Add(interval)
		if late := steady.Since(next); late > 0 {
			next = next.Add(late.Truncate(interval))
		}
	}
}
