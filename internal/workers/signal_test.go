package workers_test

import (
	"context"
	"errors"
	"testing"

	"foxcross.dev/foxcross/internal/workers"
)

func TestAwait(t *testing.T) {
	signals := make(chan struct{}, 1)
	left := 2
	holds := func() bool {
		left--
		workers.Signal(signals)
		workers.Signal(signals) // does not block
		return left < 0
	}
	if err := workers.Await(context.Background(), signals, holds); err != nil || left >= 0 {
		t.Errorf("%v, left %d", err, left)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := workers.Await(ctx, nil, func() bool { return false }); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}
