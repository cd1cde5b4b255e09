package workers_test

import (
	"context"
	"errors"
	"testing"

	"foxcross.dev/foxcross/internal/workers"
)

func TestWaitFor(t *testing.T) {
	signals := make(chan struct{}, 1)
	remaining := 2
	condition := func() bool {
		remaining--
		workers.Signal(signals)
		workers.Signal(signals) // does not block
		return remaining < 0
	}
	if err := workers.WaitFor(context.Background(), signals, condition); err != nil || remaining >= 0 {
		t.Errorf("%v, remaining %d", err, remaining)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := workers.WaitFor(ctx, nil, func() bool { return false }); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}
