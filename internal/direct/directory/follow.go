// Follows the platform's store.
//
// Rule: a reader or standby reads the endpoints, and separately the settings with the
// evacuated data centres. It then watches each for changes after the last known revision. It
// reads the full state again if the store's history no longer covers that revision. It also
// reads the settings, instead of watching, while new versions arrive faster than they can be
// applied. Failed calls are retried with exponential backoff. While the calls for endpoints
// fail, none is made for settings.
// Inputs: the store, the role, the revisions received from peers.

package directory

import (
	"context"
	"errors"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"

	"github.com/cenkalti/backoff/v5"
)

const (
	// endpointsWatchTimeout is how long a watch waits for changes of endpoints. A lost watch is
	// noticed soon after.
	endpointsWatchTimeout = 700 * time.Millisecond
	// settingsWatchTimeout is the same for settings, which change less often. It is twice as
	// long, so that a reader makes one such call for every two watches of endpoints.
	settingsWatchTimeout = 1400 * time.Millisecond
	// watchPause is the pause between changes and the next watch, which batches further changes.
	watchPause = 100 * time.Millisecond
	// minRetryDelay, maxRetryDelay and retryFactor define the backoff of failed calls.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	retryFactor   = 1.6
	// maxStandbyRetryDelay is the longest retry delay of a standby. It is longer than a
	// reader's, since there may be many standbys.
	maxStandbyRetryDelay = 2 * time.Second
)

// Follow keeps the directory up to date from the store until ctx is done.
func (d *Directory) Follow(ctx context.Context, s driver.Store) {
	var wg sync.WaitGroup
	wg.Go(func() { d.run(ctx, &endpointsPoller{directory: d, store: s}) })
	wg.Go(func() { d.run(ctx, &settingsPoller{directory: d, store: s}) })
	wg.Wait()
}

// poller reads the endpoints or the settings from the store: the full state at first and
// after missed changes, then the changes.
type poller interface {
	// poll makes the next call. changed reports whether it returned anything new.
	poll(ctx context.Context) (changed bool, err error)
	// hasRead reports whether the full state has been read. The next calls return changes.
	hasRead() bool
	// reset makes the next poll read the full state.
	reset()
	// handleError handles an error of the store. The next call waits until the channel is
	// closed, or for the backoff delay if it is nil.
	handleError(err error) (until <-chan struct{})
}

// run makes the poller's calls while the role allows them, until ctx is done.
func (d *Directory) run(ctx context.Context, p poller) {
	var delays backoff.ExponentialBackOff
	delays.InitialInterval = minRetryDelay
	delays.Multiplier = retryFactor
	delays.RandomizationFactor = backoff.DefaultRandomizationFactor
	delays.MaxInterval = maxRetryDelay
	delays.Reset()
	for ctx.Err() == nil {
		if d.awaitRole(ctx, p.hasRead()) {
			continue
		}
		changed, err := p.poll(ctx)
		switch {
		case errors.Is(err, driver.ErrCompacted):
			log.Info("The store's history no longer covers the last known revision; reading the full state.")
			p.reset()
		case err != nil:
			until := p.handleError(err)
			role, roleChanged := d.watchRole()
			delays.MaxInterval = role.maxDelay()
			if until == nil {
				wait(ctx, delays.NextBackOff(), roleChanged)
				continue
			}
			awaitAny(ctx, until, roleChanged)
		default:
			delays.Reset()
			if changed {
				wait(ctx, watchPause, nil)
			}
		}
	}
}

// endpointsPoller polls the endpoint list. Its calls determine whether the store counts as
// responding.
type endpointsPoller struct {
	directory *Directory
	store     driver.Store
	fullyRead bool   // the full list has been read
	revision  uint64 // of the last response
}

func (p *endpointsPoller) poll(ctx context.Context) (bool, error) {
	if p.fullyRead {
		return p.readChanges(ctx)
	}
	return false, p.readAll(ctx)
}

func (p *endpointsPoller) readAll(ctx context.Context) error {
	sentAt := steady.Now()
	list, err := p.store.ReadEndpoints(ctx)
	if err != nil {
		return err
	}
	d := p.directory
	d.storeResponded()
	d.ReplaceEndpoints(list, "store")
	d.ConfirmEndpoints(list.Revision, sentAt)
	d.setLastContact(sentAt)
	p.fullyRead = true
	p.revision = list.Revision
	return nil
}

func (p *endpointsPoller) readChanges(ctx context.Context) (changed bool, err error) {
	sentAt := steady.Now()
	d := p.directory
	_, current := d.Versions()
	c, err := p.store.WatchEndpoints(ctx, max(p.revision, current), endpointsWatchTimeout)
	if err != nil {
		return false, err
	}
	d.storeResponded()
	d.Apply(c)
	d.ConfirmEndpoints(c.Revision, sentAt)
	d.setLastContact(sentAt)
	p.revision = c.Revision
	return len(c.Changed) > 0 || len(c.Gone) > 0, nil
}

func (p *endpointsPoller) hasRead() bool { return p.fullyRead }

func (p *endpointsPoller) reset() { p.fullyRead = false }

// handleError logs the first of consecutive failures.
func (p *endpointsPoller) handleError(err error) <-chan struct{} {
	if p.directory.storeFailed() {
		log.With("reason", err.Error()).With("version", p.directory.version()).
			Warnf("The store does not respond; the last known settings and endpoints stay in use.")
	}
	return nil
}

// settingsPoller polls the settings and the evacuations.
type settingsPoller struct {
	directory  *Directory
	store      driver.Store
	fullyRead  bool   // the settings have been read, and a watch starts after revision
	lagging    bool   // new versions arrive faster than they are applied
	revision   uint64 // of the last response
	newestSeen uint64 // newest version received, valid or not
	failing    bool   // the last call failed
}

func (p *settingsPoller) poll(ctx context.Context) (bool, error) {
	if p.fullyRead {
		return p.readChanges(ctx)
	}
	return p.read(ctx)
}

// read reads the settings. While new versions arrive faster than they are applied, it is
// repeated until it returns no newer version. A watch would transfer every version in
// between in full, and only the last one is needed.
func (p *settingsPoller) read(ctx context.Context) (newer bool, err error) {
	sentAt := steady.Now()
	s, err := p.store.ReadSettings(ctx)
	if err != nil {
		return false, err
	}
	newer = p.apply(s, s.Revision, sentAt, "store")
	p.directory.ApplyEvacuations(driver.Evacuations{Revision: s.Revision, DataCentres: s.EvacuatedDataCentres}, "store")
	p.lagging = p.lagging && newer
	p.fullyRead = !p.lagging
	p.revision = s.Revision
	return newer, nil
}

func (p *settingsPoller) readChanges(ctx context.Context) (changed bool, err error) {
	sentAt := steady.Now()
	c, err := p.store.WatchSettings(ctx, max(p.revision, p.peerRevision()), settingsWatchTimeout)
	if err != nil {
		return false, err
	}
	p.revision = c.Revision
	p.directory.applyEvacuationChanges(c.Evacuations, c.Revision)
	if c.Settings == nil {
		p.failing = false
		p.directory.Confirm(p.directory.version(), sentAt)
		p.directory.ConfirmRevision(p.directory.version(), c.Revision)
		return len(c.Evacuations) > 0, nil
	}
	p.apply(*c.Settings, c.Revision, sentAt, "watch")
	p.lagging = c.Superseded > 0
	p.fullyRead = !p.lagging
	return true, nil
}

// peerRevision returns the revision up to which peers have sent everything that the watch
// returns.
func (p *settingsPoller) peerRevision() uint64 {
	_, confirmed := p.directory.ConfirmedRevision()
	return min(confirmed, p.directory.Evacuations().Revision)
}

// apply activates settings that were the newest at a store revision. It reports whether they
// are newer than the active ones and than any received before.
func (p *settingsPoller) apply(s driver.Settings, revision uint64, sentAt time.Time, source string) (newer bool) {
	p.failing = false
	d := p.directory
	newer = s.Version > max(p.newestSeen, d.version())
	p.newestSeen = max(p.newestSeen, s.Version)
	if newer {
		d.ApplySettings(s.Version, s.Tree, source)
	}
	d.Confirm(s.Version, sentAt)
	d.ConfirmRevision(s.Version, revision)
	return newer
}

func (p *settingsPoller) hasRead() bool { return p.fullyRead }

func (p *settingsPoller) reset() { p.fullyRead = false }

// handleError logs the first of consecutive failures. While the store does not respond, only
// the calls for endpoints are retried, since each call has a price.
func (p *settingsPoller) handleError(err error) <-chan struct{} {
	if !p.failing {
		p.failing = true
		log.With("reason", err.Error()).With("version", p.directory.version()).
			Warnf("Reading the settings from the store failed; the active version stays in use.")
	}
	if p.directory.StoreResponds() {
		return nil
	}
	return p.directory.storeRecovery()
}

// awaitAny returns when one of the channels is closed or ctx is done.
func awaitAny(ctx context.Context, a, b <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-a:
	case <-b:
	}
}

// wait returns after d, when ctx is done, or when until is closed.
func wait(ctx context.Context, d time.Duration, until <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-until:
	case <-timer.C:
	}
}
