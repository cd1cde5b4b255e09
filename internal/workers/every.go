package workers

import (
	"context"
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

// Every calls do at each interval until ctx is done.
func Every(ctx context.Context, interval time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do(steady.Now())
		}
	}
}
