// Package transfer bounds transfers whose size varies: by how long they may stand
// still, not by how long they may take. A bound on the whole would say how large a
// transfer over a thin link may be: 0.6 s on 10 Mbit/s ended each one above 750 kB, for
// ever anew.
package transfer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrStalled means that a transfer made no progress for too long.
var ErrStalled = errors.New("transfer: no progress")

// Transfer is one transfer. Create it with Begin; End frees what it holds.
type Transfer struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	stall  time.Duration
	began  time.Time
}

// Begin begins a transfer that ends if no first byte comes within the first time, or
// later none for the time of a stall.
func Begin(ctx context.Context, first, stall time.Duration) *Transfer {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Transfer{
		ctx:    ctx,
		cancel: cancel,
		timer:  time.AfterFunc(first, func() { cancel(ErrStalled) }),
		stall:  stall,
		began:  time.Now(),
	}
}

// Context returns the context of the transfer, done once it has stalled.
func (t *Transfer) Context() context.Context { return t.ctx }

// End ends the transfer.
func (t *Transfer) End() {
	t.timer.Stop()
	t.cancel(context.Canceled)
}

// Cause returns why the transfer's context is done; another error as it is.
func (t *Transfer) Cause(err error) error {
	if cause := context.Cause(t.ctx); cause != nil {
		return cause
	}
	return err
}

// ReadAll reads up to so many bytes. progress, if given, is called whenever some have
// come. The error of a transfer that failed names how much had come in which time.
func (t *Transfer) ReadAll(r io.Reader, maxBytes int64, progress func()) ([]byte, error) {
	data, err := io.ReadAll(&watched{transfer: t, reader: io.LimitReader(r, maxBytes), progress: progress})
	if err != nil {
		took := time.Since(t.began).Round(time.Millisecond)
		return nil, fmt.Errorf("%d bytes in %v: %w", len(data), took, t.Cause(err))
	}
	return data, nil
}

// watched notes the progress of a reader.
type watched struct {
	transfer *Transfer
	reader   io.Reader
	progress func()
}

// Read implements io.Reader.
func (w *watched) Read(b []byte) (int, error) {
	n, err := w.reader.Read(b)
	if n > 0 {
		w.transfer.timer.Reset(w.transfer.stall)
		if w.progress != nil {
			w.progress()
		}
	}
	return n, err
}
