package workers

import (
	"context"
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
