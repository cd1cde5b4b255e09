package directory

import (
	"context"
	"errors"
	"time"

	"foxcross.dev/foxcross/internal/site"

	"github.com/cenkalti/backoff/v5"
)

// Times of following the source.
const (
	waitFor     = 1500 * time.Millisecond // of one watch; a lost one is noticed soon after
	firstRetry  = 60 * time.Millisecond
	longRetry   = 500 * time.Millisecond
	retryFactor = 1.6
)

// Follow keeps the directory up to date from the source until ctx is done.
func (d *Directory) Follow(ctx context.Context, s site.Source) {
	go d.followEndpoints(ctx, s)
	d.followSettings(ctx, s)
}

// pause is the wait between failed calls.
type pause struct {
	wait   backoff.ExponentialBackOff
	failed bool
}

func newPause() *pause {
	p := &pause{}
	p.wait = *backoff.NewExponentialBackOff()
	p.wait.InitialInterval = firstRetry
	p.wait.MaxInterval = longRetry
	p.wait.Multiplier = retryFactor
	return p
}

// after waits after a failed call and logs the first of a row.
func (p *pause) after(ctx context.Context, what string, err error) {
	if !p.failed {
		p.failed = true
		log.With("reason", err.Error()).Warnf("The source of the %s is lost.", what)
	}
	timer := time.NewTimer(p.wait.NextBackOff())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (p *pause) succeeded(what string) {
	if p.failed {
		log.Infof("The source of the %s answers again.", what)
	}
	p.failed = false
	p.wait.Reset()
}

func (d *Directory) followSettings(ctx context.Context, s site.Source) {
	p := newPause()
	revision := uint64(0)
	for ctx.Err() == nil {
		asked := time.Now()
		var err error
		if revision == 0 {
			revision, err = d.readSettings(ctx, s, asked)
		} else {
			revision, err = d.waitSettings(ctx, s, revision, asked)
		}
		if err != nil {
			p.after(ctx, "settings", err)
			continue
		}
		p.succeeded("settings")
	}
}

// readSettings returns the revision to wait from.
func (d *Directory) readSettings(ctx context.Context, s site.Source, asked time.Time) (uint64, error) {
	read, err := s.ReadSettings(ctx)
	if err != nil {
		return 0, err
	}
	d.TakeSettings(read.Version, read.Tree, "store")
	d.Confirm(read.Version, asked)
	return read.Revision, nil
}

// waitSettings returns the revision to wait from next, 0 to read anew.
func (d *Directory) waitSettings(ctx context.Context, s site.Source, revision uint64, asked time.Time) (uint64, error) {
	c, err := s.Wait(ctx, site.SettingsTopic, revision, waitFor)
	if errors.Is(err, site.ErrHistoryGone) {
		log.With("revision", revision).Info("The history of the settings is gone.")
		return 0, nil
	}
	if err != nil {
		// A watch that failed says nothing of what was missed.
		return 0, err
	}
	if c.Settings != nil {
		d.TakeSettings(c.Settings.Version, c.Settings.Tree, "watch")
	}
	version, _ := d.Versions()
	d.Confirm(version, asked)
	return c.Revision, nil
}

func (d *Directory) followEndpoints(ctx context.Context, s site.Source) {
	p := newPause()
	fresh := false
	for ctx.Err() == nil {
		var err error
		if !fresh {
			err = d.readEndpoints(ctx, s)
			fresh = err == nil
		} else {
			fresh, err = d.waitEndpoints(ctx, s)
		}
		if err != nil {
			p.after(ctx, "endpoints", err)
			continue
		}
		p.succeeded("endpoints")
	}
}

func (d *Directory) readEndpoints(ctx context.Context, s site.Source) error {
	list, err := s.ReadEndpoints(ctx)
	if err != nil {
		return err
	}
	d.TakeEndpoints(list, "store")
	return nil
}

// waitEndpoints returns false to read the list anew.
func (d *Directory) waitEndpoints(ctx context.Context, s site.Source) (bool, error) {
	_, revision := d.Versions()
	c, err := s.Wait(ctx, site.EndpointsTopic, revision, waitFor)
	if errors.Is(err, site.ErrHistoryGone) {
		log.With("revision", revision).Info("The history of the endpoints is gone.")
		return false, nil
	}
	if err != nil {
		return false, err
	}
	d.Apply(c)
	return true, nil
}
