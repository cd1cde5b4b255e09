// Package directory holds what a process knows of the settings and of the
// endpoints: read from the platform's store, told by other entries, and never
// going back within the life of the process.
package directory

import (
	"slices"
	"sync"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/logs"
)

var log = logs.For("directory")

// InForce is one version of the settings, ready for look-ups.
type InForce struct {
	Version  uint64
	Tree     settings.Tree
	Snapshot settings.Snapshot
}

// Directory is the state. Create it with New.
type Directory struct {
	onSettings  func(InForce)
	onEndpoints func([]placement.Endpoint)

	mu        sync.Mutex
	settings  *InForce
	confirmed time.Time // when the settings were last known to be the newest
	revision  uint64    // of the endpoints
	listed    bool
	endpoints map[string]placement.Endpoint
	recent    recent

	lapsed      map[string]lapse // endpoints that vanished and are still used
	leaveWithin time.Duration    // an endpoint that has left gets nothing new after so long
	regained    time.Time        // when the source was last heard again after an outage
	outage      bool             // the source has been lost since it first answered

	contact     time.Time // when the last call was made that the source answered
	following   bool      // the source answered the last call
	role        Role
	roleChanged chan struct{}
}

// New returns an empty directory. The functions are called, one at a time and
// with the directory locked, when something changes.
func New(onSettings func(InForce), onEndpoints func([]placement.Endpoint)) *Directory {
	return &Directory{
		onSettings:  onSettings,
		onEndpoints: onEndpoints,
		endpoints:   map[string]placement.Endpoint{},
		roleChanged: make(chan struct{}, 1),
	}
}

// Settings returns the version in force, nil before the first.
func (d *Directory) Settings() *InForce {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settings
}

// Versions returns the version of the settings and the revision of the list.
func (d *Directory) Versions() (version, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.settings != nil {
		version = d.settings.Version
	}
	return version, d.revision
}

// Known tells whether both settings and endpoints have been read.
func (d *Directory) Known() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settings != nil && d.listed
}

// Confirmed returns when the settings were last known to be the newest.
func (d *Directory) Confirmed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed
}

// Confirm notes that the version was the newest at the time.
func (d *Directory) Confirm(version uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.settings != nil && d.settings.Version == version && at.After(d.confirmed) {
		d.confirmed = at
	}
}

// TakeSettings puts a version in force unless it is older than the present one.
func (d *Directory) TakeSettings(version uint64, t settings.Tree, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := uint64(0)
	if d.settings != nil {
		before = d.settings.Version
	}
	if version <= before {
		return
	}
	snapshot, err := settings.Compile(t)
	if err != nil {
		log.With("version", version).With("from", source).Errorf("The settings can't be used: %v.", err)
		return
	}
	d.settings = &InForce{Version: version, Tree: t, Snapshot: snapshot}
	log.With("version", version).With("before", before).With("from", source).Info("New settings are in force.")
	d.onSettings(*d.settings)
}

// TakeEndpoints replaces the list unless it is older than the present one.
func (d *Directory) TakeEndpoints(list driver.Endpoints, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replace(list, source, d.holdFor)
}

// TakeFromPeer is TakeEndpoints for what another process read, with the
// endpoints that it still uses though they have vanished.
func (d *Directory) TakeFromPeer(list driver.Endpoints, lapsed map[string]time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replace(list, "peer", heldByPeer(lapsed))
}

// holding tells how long an endpoint that has just vanished stays in use.
type holding func(now time.Time, e placement.Endpoint) time.Duration

// heldByPeer holds what another process holds.
func heldByPeer(lapsed map[string]time.Duration) holding {
	return func(_ time.Time, e placement.Endpoint) time.Duration { return min(lapsed[e.ID], lapseEnd) }
}

// replace takes in a whole list. hold tells how long an endpoint that is not on
// it stays in use. The directory is locked.
func (d *Directory) replace(list driver.Endpoints, source string, hold holding) {
	if d.listed && list.Revision <= d.revision {
		return
	}
	d.revision = list.Revision
	d.listed = true
	listed := make(map[string]bool, len(list.List))
	for _, e := range list.List {
		listed[e.ID] = true
		d.set(e)
	}
	now := time.Now()
	for id, e := range d.endpoints {
		if !listed[id] {
			d.vanish(e, hold(now, e))
		}
	}
	d.recent.reset(list.Revision)
	log.With("revision", d.revision).With("endpoints", len(d.endpoints)).With("from", source).Info("The list of endpoints was read.")
	d.onEndpoints(d.usable())
}

// Apply takes in changes of the list since the revision that was waited from.
func (d *Directory) Apply(c driver.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(c, d.holdFor)
}

// ApplyFromPeer is Apply for what another process was told, with the endpoints
// that it still uses though they have vanished.
func (d *Directory) ApplyFromPeer(c driver.Change, lapsed map[string]time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(c, heldByPeer(lapsed))
}

// apply takes in changes. The directory is locked.
func (d *Directory) apply(c driver.Change, hold holding) {
	if !d.listed || c.Revision <= d.revision {
		return
	}
	d.revision = c.Revision
	if len(c.Changed) == 0 && len(c.Gone) == 0 {
		return
	}
	d.recent.add(c)
	for _, e := range c.Changed {
		d.set(e)
		log.With("endpoint", e.ID).With("service", e.Service).With("leaving", e.Leaving).With("revision", c.Revision).Info("An endpoint changed.")
	}
	now := time.Now()
	for _, id := range c.Gone {
		e, known := d.endpoints[id]
		if !known {
			continue
		}
		d.vanish(e, hold(now, e))
		log.With("endpoint", id).With("revision", c.Revision).Info("An endpoint is gone.")
	}
	d.onEndpoints(d.usable())
}

// Since returns what changed in the list after a revision, and the endpoints
// that vanished and are still used; false where that is not known any more.
func (d *Directory) Since(revision uint64) (driver.Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.listed {
		return driver.Change{}, false
	}
	return d.recent.since(revision, d.revision)
}

// Endpoints returns the list.
func (d *Directory) Endpoints() driver.Endpoints {
	d.mu.Lock()
	defer d.mu.Unlock()
	return driver.Endpoints{Revision: d.revision, List: d.list()}
}

// Listed tells whether the list has been read.
func (d *Directory) Listed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

func (d *Directory) list() []placement.Endpoint {
	list := make([]placement.Endpoint, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b placement.Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}
