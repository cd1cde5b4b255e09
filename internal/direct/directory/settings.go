package directory

import (
	"errors"
	"fmt"
	"time"

	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/steady"
)

// Errors of settings that are handed over as changes.
var (
	// ErrOtherBase means that the changes are not to the version in force.
	ErrOtherBase = errors.New("directory: the changes are to another version")
	// ErrDigest means that the changes do not give the tree that they were made from.
	ErrDigest = errors.New("directory: the changes give another tree")
)

// InForce is one version of the settings, ready for look-ups.
type InForce struct {
	Version  uint64
	Tree     settings.Tree
	Snapshot settings.Snapshot
	Digest   uint64 // of Tree
}

// Settings returns the version in force, nil before the first. It waits for no lock:
// each request asks for it, and a large version takes some 0.3 s to be put in force on a
// tenth of a core (10,000 routes, BenchmarkRecompile).
func (d *Directory) Settings() *InForce { return d.settings.Load() }

// Versions returns the version of the settings and the revision of the list.
func (d *Directory) Versions() (version, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version(), d.revision
}

// version returns the version in force, 0 before the first.
func (d *Directory) version() uint64 {
	if f := d.settings.Load(); f != nil {
		return f.Version
	}
	return 0
}

// Known tells whether both settings and endpoints have been read.
func (d *Directory) Known() bool { return d.Settings() != nil && d.Listed() }

// Confirmed returns when the settings were last known to be the newest.
func (d *Directory) Confirmed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed
}

// Confirm records that the version was the newest at the time.
func (d *Directory) Confirm(version uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v := d.version(); v != 0 && v == version && at.After(d.confirmed) {
		d.confirmed = at
	}
}

// Settle records that the version was the newest at a revision of the store. Whoever
// has it, or a newer one, asks for changes of the settings only after that revision.
func (d *Directory) Settle(version, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.version() >= version {
		d.settled = max(d.settled, revision)
	}
}

// Settled returns the version in force and the store's revision at which it was known
// to be the newest.
func (d *Directory) Settled() (version, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version(), d.settled
}

// TakeSettings puts a version in force unless it is older than the present one.
func (d *Directory) TakeSettings(version uint64, t settings.Tree, source string) {
	d.taking.Lock()
	defer d.taking.Unlock()
	before := d.inForce()
	if version <= before.Version {
		return
	}
	changes := settings.Diff(before.Tree, t)
	digest := settings.DigestAfter(before.Digest, changes)
	if err := d.putInForce(before, version, changes, digest, source); err != nil {
		log.With("version", version).With("from", source).Errorf("Settings can't be used; those in force stay: %v.", err)
	}
}

// TakeChanges puts in force what changes make of the version in force. It fails if they
// are to another one, or give a tree of another digest.
func (d *Directory) TakeChanges(base, version uint64, changes []settings.Difference, digest uint64, source string) error {
	d.taking.Lock()
	defer d.taking.Unlock()
	before := d.inForce()
	if version <= before.Version {
		return nil
	}
	if base != before.Version {
		return fmt.Errorf("%w: %d, not %d", ErrOtherBase, base, before.Version)
	}
	changes = completed(changes, before.Tree)
	if settings.DigestAfter(before.Digest, changes) != digest {
		return fmt.Errorf("%w: from %d to %d", ErrDigest, base, version)
	}
	return d.putInForce(before, version, changes, digest, source)
}

// completed adds to changes what they replace.
func completed(changes []settings.Difference, before settings.Tree) []settings.Difference {
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

// inForce returns the version in force, the empty one before the first.
func (d *Directory) inForce() InForce {
	if f := d.settings.Load(); f != nil {
		return *f
	}
	return InForce{}
}

// putInForce compiles a version and puts it in force; requests go on by the former one
// meanwhile. The directory is locked for taking.
func (d *Directory) putInForce(before InForce, version uint64, changes []settings.Difference, digest uint64, source string) error {
	began := steady.Now()
	tree := before.Tree.Apply(changes)
	snapshot, err := before.Snapshot.Recompile(tree)
	if err != nil {
		return err
	}
	now := InForce{Version: version, Tree: tree, Snapshot: snapshot, Digest: digest}
	d.versions.add(before.Version, version, changes)
	d.onSettings(now)
	d.mu.Lock()
	d.settings.Store(&now)
	d.mu.Unlock()
	log.With("version", version).With("before", before.Version).With("from", source).
		With("changed", len(changes)).With("nodes", tree.Len()).With("ms", steady.Since(began).Milliseconds()).
		Info("Settings are in force.")
	return nil
}

// SettingsSince returns what changed in the settings after a version, with the version
// in force; false if that is not known any more.
func (d *Directory) SettingsSince(version uint64) (now InForce, changes []settings.Difference, ok bool) {
	d.taking.Lock()
	defer d.taking.Unlock()
	now = d.inForce()
	changes, ok = d.versions.since(version, now.Version)
	return now, changes, ok
}
