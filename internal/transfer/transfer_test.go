package transfer_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/foxcross/internal/transfer"
)

const (
	first = 600 * time.Millisecond
	stall = time.Second
)

// slow gives one byte at each interval, until the context is done.
type slow struct {
	ctx      context.Context
	interval time.Duration
	left     int
}

func (s *slow) Read(b []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	case <-time.After(s.interval):
		s.left--
		b[0] = 'x'
		return 1, nil
	}
}

// TestLongTransferEnds takes a hundred times as long as it may stand still.
func TestLongTransferEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := transfer.Begin(t.Context(), first, stall)
		defer x.End()
		steps := 0
		data, err := x.ReadAll(&slow{ctx: x.Context(), interval: 500 * time.Millisecond, left: 200}, 1000, func() { steps++ })
		if err != nil || len(data) != 200 || steps != 200 {
			t.Errorf("%d bytes, %d steps, %v", len(data), steps, err)
		}
	})
}

func TestStalledTransferFails(t *testing.T) {
	for _, c := range []struct {
		name     string
		interval time.Duration
		want     time.Duration
	}{
		{"no first byte", time.Hour, first},
		{"first byte too late", first + time.Millisecond, first},
	} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			x := transfer.Begin(t.Context(), first, stall)
			defer x.End()
			_, err := x.ReadAll(&slow{ctx: x.Context(), interval: c.interval, left: 5}, 1000, nil)
			if !errors.Is(err, transfer.ErrStalled) || time.Since(began) != c.want {
				t.Errorf("%s: %v after %v", c.name, err, time.Since(began))
			}
		})
	}
}

// TestStallInTheMidstFails tells how much had come.
func TestStallInTheMidstFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := transfer.Begin(t.Context(), first, stall)
		defer x.End()
		_, err := x.ReadAll(io.MultiReader(strings.NewReader("abc"), &slow{ctx: x.Context(), interval: time.Hour, left: 1}), 1000, nil)
		if !errors.Is(err, transfer.ErrStalled) || !strings.Contains(err.Error(), "3 bytes in 1s") {
			t.Errorf("got %v", err)
		}
	})
}
