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
		begun := time.Now()
		var at []time.Duration
		Every(ctx, 2*time.Second, func(now time.Time) { at = append(at, now.Sub(begun)) })
		if len(at) != 5 || at[0] != 2*time.Second || at[4] != 10*time.Second {
			t.Errorf("called at %v", at)
		}
	})
}

// TestEveryOfLongWork guards against a timer that falls due while its goroutine does something else:
// in virtual time, under the race detector, several of them end the test.
func TestEveryOfLongWork(t *testing.T) {
	const (
		atOnce, calls  = 16, 10_000
		interval, work = 10 * time.Millisecond, 15 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var all sync.WaitGroup
		for range atOnce {
			all.Go(func() {
				ctx, end := context.WithCancel(ctx)
				left := calls
				Every(ctx, interval, func(time.Time) {
					time.Sleep(work)
					if left--; left == 0 {
						end()
					}
				})
			})
		}
		begun := time.Now()
		all.Wait()
		if took := time.Since(begun); took != interval+calls*work {
			t.Errorf("%d calls took %v", calls, took)
		}
	})
}
