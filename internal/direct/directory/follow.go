// How a process follows the platform's store.
//
// Rule: a reader or standby reads the list of endpoints and then the settings, and
// waits for changes after the revision of the list; it reads all anew when the store
// no longer knows the changes since. Calls that fail are retried with growing delays.
// Inputs: the store, the role, the revision that other entries have told.
// Never: settings that are held are not older than the revision of the list, from
// which changes are asked for and which other entries are told (docs/FINDINGS.md,
// "CONFIG 8"); nothing known is dropped because the store fails.
// Measured: docs/EXPERIMENTS.md 17 and 20.

package directory

import (
	"context"
	"errors"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/storeerr"

	"github.com/cenkalti/backoff/v5"
)

const (
	// watchWait is how long a watch waits for changes; a lost one is noticed soon
	// after. EXPERIMENTS 17 and 20.
	watchWait = 700 * time.Millisecond
	// watchPause is the time after changes before the next watch, so that it brings
	// more of them at once. EXPERIMENTS 17.
	watchPause = 100 * time.Millisecond
	// minRetryDelay, maxRetryDelay and retryFactor space calls that fail. Chosen, not
	// measured.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	retryFactor   = 1.6
	// maxStandbyRetryDelay is the longest delay of a standby, of which there may be
	// many. Chosen, not measured.
	maxStandbyRetryDelay = 2 * time.Second
)

// Follow keeps the directory up to date from the store until ctx is done.
func (d *Directory) Follow(ctx context.Context, s driver.Store) {
	f := &follower{directory: d, store: s}
	f.delays.InitialInterval = minRetryDelay
	f.delays.MaxInterval = maxRetryDelay
	f.delays.Multiplier = retryFactor
	f.delays.RandomizationFactor = backoff.DefaultRandomizationFactor
	f.delays.Reset()
	for ctx.Err() == nil {
		if d.awaitRole(ctx) {
			continue
		}
		if err := f.step(ctx); err != nil {
			f.retryLater(ctx, err)
			continue
		}
		f.delays.Reset()
	}
}

// follower reads the store: all of it at first and when changes were missed, then
// the changes.
type follower struct {
	directory *Directory
	store     driver.Store
	revision  uint64 // to ask for changes after, 0 to read all
	delays    backoff.ExponentialBackOff
}

func (f *follower) step(ctx context.Context) error {
	if f.revision == 0 {
		return f.readAll(ctx)
	}
	return f.readChanges(ctx)
}

// readAll reads the list of endpoints, then the settings.
func (f *follower) readAll(ctx context.Context) error {
	asked := time.Now()
	list, err := f.store.ReadEndpoints(ctx)
	if err != nil {
		return err
	}
	read, err := f.store.ReadSettings(ctx)
	if err != nil && !errors.Is(err, storeerr.ErrNotFound) {
		return err
	}
	d := f.directory
	d.storeAnswered()
	if err == nil {
		d.TakeSettings(read.Version, read.Tree, "store")
		d.Confirm(read.Version, asked)
	}
	d.TakeEndpoints(list, "store")
	d.setLastContact(asked)
	f.revision = list.Revision
	return nil
}

// readChanges waits for changes and takes them in.
func (f *follower) readChanges(ctx context.Context) error {
	asked := time.Now()
	d := f.directory
	c, err := f.store.Wait(ctx, d.newestRevision(f.revision), watchWait)
	switch {
	case errors.Is(err, driver.ErrHistoryGone):
		log.With("revision", f.revision).Info("The store no longer knows the changes since the revision; reading all anew.")
		f.revision = 0
		return nil
	case err != nil:
		return err
	}
	d.storeAnswered()
	if c.Settings != nil {
		d.TakeSettings(c.Settings.Version, c.Settings.Tree, "watch")
	}
	d.Apply(c)
	version, _ := d.Versions()
	d.Confirm(version, asked)
	d.setLastContact(asked)
	f.revision = c.Revision
	if c.Settings != nil || len(c.Changed) > 0 || len(c.Gone) > 0 {
		wait(ctx, watchPause, nil)
	}
	return nil
}

// retryLater waits after a failed call, or until the role changes, and logs the
// first failure of a row.
func (f *follower) retryLater(ctx context.Context, err error) {
	d := f.directory
	if d.storeFailed() {
		version, _ := d.Versions()
		log.With("reason", err.Error()).With("version", version).Warnf("The store does not answer; the settings and endpoints that are known stay in use.")
	}
	f.delays.MaxInterval = d.maxRetryDelay()
	wait(ctx, f.delays.NextBackOff(), d.roleChanged)
}

// wait returns after the time, when ctx is done, or when a value comes.
func wait(ctx context.Context, d time.Duration, until <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-until:
	case <-timer.C:
	}
}

// newestRevision returns the revision to ask for changes after, given the one that
// the store was last asked from: other entries may have told more.
func (d *Directory) newestRevision(asked uint64) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(asked, d.revision)
}
