package workers

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second+time.Millisecond)
		defer cancel()
		startedAt := time.Now()
		var calledAt []time.Duration
		Every(ctx, 2*time.Second, func(now time.Time) { calledAt = append(calledAt, now.Sub(startedAt)) })
		if len(calledAt) != 5 || calledAt[0] != 2*time.Second || calledAt[4] != 10*time.Second {
			t.Errorf("called at %v", calledAt)
		}
	})
}

// TestEveryWithSlowCalls guards against a timer that expires while its goroutine runs other code:
// in virtual time, several of them crash the test in the race detector.
func TestEveryWithSlowCalls(t *testing.T) {
	const (
		goroutines, calls      = 16, 10_000
		interval, callDuration = 10 * time.Millisecond, 15 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var workers sync.WaitGroup
		for range goroutines {
			workers.Go(func() {
				ctx, stop := context.WithCancel(ctx)
				remaining := calls
				Every(ctx, interval, func(time.Time) {
					time.Sleep(callDuration)
					if remaining--; remaining == 0 {
						stop()
					}
				})
			})
		}
		startedAt := time.Now()
		workers.Wait()
		if took := time.Since(startedAt); took != interval+calls*callDuration {
			t.Errorf("%d calls took %v", calls, took)
		}
	})
}
