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
	firstTimeout = 600 * time.Millisecond
	stallTimeout = time.Second
)

// slowReader returns one byte per interval until the context is done.
type slowReader struct {
	ctx       context.Context
	interval  time.Duration
	remaining int
}

func (s *slowReader) Read(b []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	select {
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	case <-time.After(s.interval):
		s.remaining--
		b[0] = 'x'
		return 1, nil
	}
}

// TestLongTransferSucceeds runs a transfer that takes a hundred times stallTimeout.
func TestLongTransferSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := transfer.Begin(t.Context(), firstTimeout, stallTimeout)
		defer tr.End()
		calls := 0
		data, err := tr.ReadAll(&slowReader{ctx: tr.Context(), interval: 500 * time.Millisecond, remaining: 200}, 1000, func() { calls++ })
		if err != nil || len(data) != 200 || calls != 200 {
			t.Errorf("%d bytes, %d calls of progress, %v", len(data), calls, err)
		}
	})
}

func TestStalledTransferFails(t *testing.T) {
	for _, tt := range []struct {
		name     string
		interval time.Duration
		want     time.Duration
	}{
		{"no first byte", time.Hour, firstTimeout},
		{"first byte too late", firstTimeout + time.Millisecond, firstTimeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			startedAt := time.Now()
			tr := transfer.Begin(t.Context(), firstTimeout, stallTimeout)
			defer tr.End()
			_, err := tr.ReadAll(&slowReader{ctx: tr.Context(), interval: tt.interval, remaining: 5}, 1000, nil)
			if !errors.Is(err, transfer.ErrStalled) || time.Since(startedAt) != tt.want {
				t.Errorf("%s: %v after %v", tt.name, err, time.Since(startedAt))
			}
		})
	}
}

// TestStallAfterFirstBytesFails checks that the error names the bytes read.
func TestStallAfterFirstBytesFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := transfer.Begin(t.Context(), firstTimeout, stallTimeout)
		defer tr.End()
		_, err := tr.ReadAll(io.MultiReader(strings.NewReader("abc"), &slowReader{ctx: tr.Context(), interval: time.Hour, remaining: 1}), 1000, nil)
		if !errors.Is(err, transfer.ErrStalled) || !strings.Contains(err.Error(), "3 bytes in 1s") {
			t.Errorf("got %v", err)
		}
	})
}
