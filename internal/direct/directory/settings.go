package directory

import (
	"errors"
	"fmt"
	"time"

	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/steady"
)

// Errors of ApplySettingsChanges.
var (
	// ErrBaseMismatch means that the changes are based on another version than the active one.
	ErrBaseMismatch = errors.New("directory: the changes are based on another version")
	// ErrDigestMismatch means that the changed tree does not have the sender's digest.
	ErrDigestMismatch = errors.New("directory: digest mismatch of the changed tree")
)

// ActiveSettings is the active version of the settings, compiled for lookups.
type ActiveSettings struct {
	Version  uint64
	Tree     settings.Tree
	Snapshot settings.Snapshot
	Digest   uint64 // of Tree
}

// Settings returns the active version, nil before the first. It acquires no lock, since each
// request calls it and the activation of a large version takes about 0.3 s on a tenth of a
// core (10,000 routes, BenchmarkRecompile).
func (d *Directory) Settings() *ActiveSettings { return d.settings.Load() }

// Versions returns the version of the settings and the revision of the endpoint list.
func (d *Directory) Versions() (version, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version(), d.revision
}

// version returns the active version, 0 before the first.
func (d *Directory) version() uint64 {
	if f := d.settings.Load(); f != nil {
		return f.Version
	}
	return 0
}

// Ready reports whether both settings and endpoints have been received.
func (d *Directory) Ready() bool { return d.Settings() != nil && d.HasEndpoints() }

// Confirmed returns when the active settings were last known to be the newest.
func (d *Directory) Confirmed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed
}

// Confirm records that the version was the newest at the given time.
func (d *Directory) Confirm(version uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v := d.version(); v != 0 && v == version && at.After(d.confirmed) {
		d.confirmed = at
	}
}

// ConfirmRevision records that the version was the newest at a store revision. A process that has
// this version or a newer one watches the settings only after that revision.
func (d *Directory) ConfirmRevision(version, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.version() >= version {
		d.confirmedRevision = max(d.confirmedRevision, revision)
	}
}

// ConfirmedRevision returns the active version and the store revision at which it was known to be the
// newest.
func (d *Directory) ConfirmedRevision() (version, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version(), d.confirmedRevision
}

// ApplySettings activates a version unless the active one is at least as new.
func (d *Directory) ApplySettings(version uint64, t settings.Tree, source string) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	before := d.active()
	if version <= before.Version {
		return
	}
	changes := settings.Diff(before.Tree, t)
	digest := settings.DigestAfter(before.Digest, changes)
	if err := d.activate(before, version, changes, digest, source); err != nil {
		log.With("version", version).With("from", source).Errorf("The settings are invalid; the active version stays in use: %v.", err)
	}
}

// ApplySettingsChanges applies changes to the active version and activates the result. It returns
// ErrBaseMismatch if they are based on another version, and ErrDigestMismatch if the digest of the
// changed tree differs. Changes to a version no newer than the active one are ignored.
func (d *Directory) ApplySettingsChanges(base, version uint64, changes []settings.Difference, digest uint64, source string) error {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	before := d.active()
	if version <= before.Version {
		return nil
	}
	if base != before.Version {
		return fmt.Errorf("%w: %d, not %d", ErrBaseMismatch, base, before.Version)
	}
	changes = withBefore(changes, before.Tree)
	if settings.DigestAfter(before.Digest, changes) != digest {
		return fmt.Errorf("%w: from %d to %d", ErrDigestMismatch, base, version)
	}
	return d.activate(before, version, changes, digest, source)
}

// withBefore returns the changes with the nodes that they replace.
func withBefore(changes []settings.Difference, before settings.Tree) []settings.Difference {
	all := make([]settings.Difference, 0, len(changes))
	for _, c := range changes {
		c.Before = nil
		if n, ok := before.Node(c.Path); ok {
			c.Before = &n
		}
		all = append(all, c)
	}
	return all
}

// active returns the active version, the zero value before the first.
func (d *Directory) active() ActiveSettings {
	if f := d.settings.Load(); f != nil {
		return *f
	}
	return ActiveSettings{}
}

// activate compiles a version and activates it. Requests use the previous version in the
// meantime. d.applyMu is held.
func (d *Directory) activate(before ActiveSettings, version uint64, changes []settings.Difference, digest uint64, source string) error {
	began := steady.Now()
	tree := before.Tree.Apply(changes)
	snapshot, err := before.Snapshot.Recompile(tree)
	if err != nil {
		return err
	}
	now := ActiveSettings{Version: version, Tree: tree, Snapshot: snapshot, Digest: digest}
	d.settingsHistory.add(before.Version, version, changes)
	d.onSettings(now)
	d.mu.Lock()
	d.settings.Store(&now)
	d.mu.Unlock()
	log.With("version", version).With("before", before.Version).With("from", source).
		With("changed", len(changes)).With("nodes", tree.Len()).With("keys_required", snapshot.KeysRequired()).With("ms", steady.Since(began).Milliseconds()).
		Info("Settings are active.")
	return nil
}

// SettingsSince returns the active version and the changes of the settings since an older
// one. It returns false if these changes are no longer kept.
func (d *Directory) SettingsSince(version uint64) (now ActiveSettings, changes []settings.Difference, ok bool) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	now = d.active()
	changes, ok = d.settingsHistory.since(version, now.Version)
	return now, changes, ok
}
