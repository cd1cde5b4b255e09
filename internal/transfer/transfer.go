// Package transfer bounds transfers of varying size by the time without progress
// instead of the total time. A bound on the total time would limit the size of a transfer
// over a slow link: 0.6 s at 10 Mbit/s aborts every transfer above 750 kB, and each of
// its retries.
package transfer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrStalled means that a transfer made no progress within its timeout.
var ErrStalled = errors.New("transfer: no progress")

// Transfer is a transfer in progress. Create it with Begin; End releases its resources.
type Transfer struct {
	ctx          context.Context
	cancel       context.CancelCauseFunc
	timer        *time.Timer
	stallTimeout time.Duration
	startedAt    time.Time
}

// Begin starts a transfer that is aborted with ErrStalled if the first byte takes longer than
// firstTimeout, or any later one longer than stallTimeout.
func Begin(ctx context.Context, firstTimeout, stallTimeout time.Duration) *Transfer {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Transfer{
		ctx:          ctx,
		cancel:       cancel,
		timer:        time.AfterFunc(firstTimeout, func() { cancel(ErrStalled) }),
		stallTimeout: stallTimeout,
		startedAt:    time.Now(),
	}
}

// Context returns the context of the transfer, which is cancelled when the transfer stalls.
func (t *Transfer) Context() context.Context { return t.ctx }

// End stops the timer and cancels the context.
func (t *Transfer) End() {
	t.timer.Stop()
	t.cancel(context.Canceled)
}

// Cause returns the cause of the transfer's context if it is done, else err.
func (t *Transfer) Cause(err error) error {
	if cause := context.Cause(t.ctx); cause != nil {
		return cause
	}
	return err
}

// ReadAll reads at most maxBytes bytes. It calls progress, unless nil, after each read that
// returned data. The error of a failed transfer names the bytes read and the time taken.
func (t *Transfer) ReadAll(r io.Reader, maxBytes int64, progress func()) ([]byte, error) {
	data, err := io.ReadAll(&progressReader{transfer: t, reader: io.LimitReader(r, maxBytes), progress: progress})
	if err != nil {
		took := time.Since(t.startedAt).Round(time.Millisecond)
		return nil, fmt.Errorf("%d bytes in %v: %w", len(data), took, t.Cause(err))
	}
	return data, nil
}

// progressReader restarts the stall timer and calls progress after each read that returned
// data.
type progressReader struct {
	transfer *Transfer
	reader   io.Reader
	progress func()
}

// Read implements io.Reader.
func (w *progressReader) Read(b []byte) (int, error) {
	n, err := w.reader.Read(b)
	if n > 0 {
		w.transfer.timer.Reset(w.transfer.stallTimeout)
		if w.progress != nil {
			w.progress()
		}
	}
	return n, err
}
