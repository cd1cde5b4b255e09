package directory

import (
	"context"
	"errors"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/storeerr"

	"github.com/cenkalti/backoff/v5"
)

// Times of following the source.
const (
	watchWait   = 700 * time.Millisecond // of a watch: a lost one is noticed soon after
	watchRest   = 100 * time.Millisecond // after changes, so that more of them come at once
	firstRetry  = 60 * time.Millisecond
	longRetry   = 500 * time.Millisecond
	slowRetry   = 2 * time.Second // of a substitute
	retryFactor = 1.6
)

// Follow keeps the directory up to date from the source until ctx is done.
func (d *Directory) Follow(ctx context.Context, s driver.Source) {
	f := &follower{directory: d, source: s}
	f.wait.InitialInterval = firstRetry
	f.wait.MaxInterval = longRetry
	f.wait.Multiplier = retryFactor
	f.wait.RandomizationFactor = backoff.DefaultRandomizationFactor
	f.wait.Reset()
	for ctx.Err() == nil {
		if f.directory.rests(ctx) {
			continue
		}
		if err := f.step(ctx); err != nil {
			f.pause(ctx, err)
			continue
		}
		f.wait.Reset()
	}
}

// follower reads the source: all of it at first and when changes were missed,
// then the changes.
type follower struct {
	directory *Directory
	source    driver.Source
	revision  uint64 // to wait from, 0 to read all
	wait      backoff.ExponentialBackOff
}

func (f *follower) step(ctx context.Context) error {
	if f.revision == 0 {
		return f.readAll(ctx)
	}
	return f.readChanges(ctx)
}

// readAll reads the list of endpoints, then the settings: those that are held
// are never older than the revision of the list, from which changes are asked
// for and which other processes are told.
func (f *follower) readAll(ctx context.Context) error {
	asked := time.Now()
	list, err := f.source.ReadEndpoints(ctx)
	if err != nil {
		return err
	}
	read, err := f.source.ReadSettings(ctx)
	if err != nil && !errors.Is(err, storeerr.ErrNotFound) {
		return err
	}
	f.directory.answered()
	if err == nil {
		f.directory.TakeSettings(read.Version, read.Tree, "store")
		f.directory.Confirm(read.Version, asked)
	}
	f.directory.TakeEndpoints(list, "store")
	f.directory.contacted(asked)
	f.revision = list.Revision
	return nil
}

// readChanges waits for changes and takes them in.
func (f *follower) readChanges(ctx context.Context) error {
	asked := time.Now()
	after := f.directory.reached(f.revision)
	c, err := f.source.Wait(ctx, after, watchWait)
	switch {
	case errors.Is(err, driver.ErrHistoryGone):
		log.With("revision", f.revision).Info("The history of the source is gone.")
		f.revision = 0
		return nil
	case err != nil:
		return err
	}
	f.directory.answered()
	if c.Settings != nil {
		f.directory.TakeSettings(c.Settings.Version, c.Settings.Tree, "watch")
	}
	f.directory.Apply(c)
	version, _ := f.directory.Versions()
	f.directory.Confirm(version, asked)
	f.directory.contacted(asked)
	f.revision = c.Revision
	if c.Settings != nil || len(c.Changed) > 0 || len(c.Gone) > 0 {
		sleep(ctx, watchRest)
	}
	return nil
}

// pause waits after a failed call and logs the first of a row.
func (f *follower) pause(ctx context.Context, err error) {
	if f.directory.lost() {
		log.With("reason", err.Error()).Warnf("The source is lost.")
	}
	f.wait.MaxInterval = f.directory.maxPause()
	timer := time.NewTimer(f.wait.NextBackOff())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.directory.roleChanged:
	case <-timer.C:
	}
}

// sleep waits for the time, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Following tells whether the source answered the last call.
func (d *Directory) Following() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.following
}

// contacted notes that the source answered a call made at the time.
func (d *Directory) contacted(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contact = at
}

// Contact returns when the last call was made that the source answered.
func (d *Directory) Contact() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact
}
