// Package directory holds the settings and the endpoint list of a process. They are read
// from the platform's store or received from peers. Neither returns to an older version
// while the process runs.
//
// settings.go activates versions of the settings. evacuations.go applies the evacuations of
// data centres. follow.go polls the store, and role.go decides whether this process does.
// contact.go records whether the store responds. retention.go retains endpoints whose leases
// expired in an outage. changes.go and versions.go keep recent changes for peers that lack
// only these. settingslag.go compares the version of the settings with that of the peers.
//
// Locks: Directory.applyMu may be held when Directory.mu is acquired, not the other way round.
package directory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/steady"
)

var log = logs.For("directory")

// Directory holds the settings and the endpoint list. Create it with New. It is safe for
// concurrent use.
type Directory struct {
	onSettings    func(ActiveSettings)
	onEndpoints   func([]placement.Endpoint)
	onEvacuations func([]string)

	applyMu         sync.Mutex                     // held while a version is activated
	settings        atomic.Pointer[ActiveSettings] // read by each request without a lock
	settingsHistory settingsHistory                // guarded by applyMu

	evacuations atomic.Pointer[driver.Evacuations] // stored with mu held

	mu                sync.Mutex
	confirmed         time.Time // when the active settings were last known to be the newest
	confirmedRevision uint64    // store revision at which they were the newest
	lag               lag
	revision          uint64    // of the endpoint list
	listConfirmed     time.Time // when the endpoint list was last known to be the newest
	listed            bool
	unversioned       bool // the version of an endpoint's software is not known
	endpoints         map[string]placement.Endpoint
	endpointHistory   endpointHistory

	retained    map[string]retainedEndpoint // by ID
	leaveWithin time.Duration               // time after which an endpoint that left gets no new requests
	store       storeStatus
	role        Role
	roleChanged chan struct{}
}

// New returns an empty directory. The functions are called on changes, each one at a time
// and with the directory locked, so they must not call it. onSettings is called before the
// version is active. onEvacuations is called with the evacuated data centres.
func New(onSettings func(ActiveSettings), onEndpoints func([]placement.Endpoint), onEvacuations func([]string)) *Directory {
	return &Directory{
		onSettings:    onSettings,
		onEndpoints:   onEndpoints,
		onEvacuations: onEvacuations,
		endpoints:     map[string]placement.Endpoint{},
		store:         storeStatus{recovery: make(chan struct{})},
		roleChanged:   make(chan struct{}),
	}
}

// ReplaceEndpoints replaces the endpoint list unless the current one is at least as new.
func (d *Directory) ReplaceEndpoints(list driver.Endpoints, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replaceEndpoints(list, source, d.retention)
}

// ReplaceEndpointsFromPeer is ReplaceEndpoints for a list that a peer read. retained holds the
// endpoints that the peer retains, by ID, with the remaining time.
func (d *Directory) ReplaceEndpointsFromPeer(list driver.Endpoints, retained map[string]time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replaceEndpoints(list, "peer", peerRetention(retained))
}

// replaceEndpoints replaces the endpoint list, also by one of the same revision that has the versions
// that it lacks. retention returns how long an endpoint that
// is not on the new list stays in use. d.mu is held.
func (d *Directory) replaceEndpoints(list driver.Endpoints, source string, retention retentionFunc) {
	completes := list.Revision == d.revision && d.unversioned && versioned(list.List)
	if d.listed && list.Revision <= d.revision && !completes {
		return
	}
	d.revision = list.Revision
	d.listed = true
	listed := make(map[string]bool, len(list.List))
	for _, e := range list.List {
		listed[e.ID] = true
		d.put(e)
	}
	now := steady.Now()
	for id, e := range d.endpoints {
		if !listed[id] {
			d.remove(e, retention(now, e))
		}
	}
	d.endpointHistory.reset(list.Revision)
	log.With("revision", d.revision).With("endpoints", len(d.endpoints)).With("from", source).Info("The list of endpoints was read.")
	d.unversioned = d.lacksVersions()
	d.onEndpoints(d.usable())
}

// Apply applies changes of the endpoint list that a watch returned.
func (d *Directory) Apply(c driver.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyChange(c, d.retention)
}

// ApplyFromPeer is Apply for changes that a peer received. retained holds the endpoints that
// the peer retains, by ID, with the remaining time.
func (d *Directory) ApplyFromPeer(c driver.Change, retained map[string]time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyChange(c, peerRetention(retained))
}

// applyChange applies changes of the endpoint list. d.mu is held.
func (d *Directory) applyChange(c driver.Change, retention retentionFunc) {
	if !d.listed || c.Revision <= d.revision {
		return
	}
	d.revision = c.Revision
	if len(c.Changed) == 0 && len(c.Gone) == 0 {
		return
	}
	d.endpointHistory.add(c)
	for _, e := range c.Changed {
		d.put(e)
	}
	logChanged(c)
	now := steady.Now()
	for _, id := range c.Gone {
		e, listed := d.endpoints[id]
		if !listed {
			continue
		}
		d.remove(e, retention(now, e))
		log.With("endpoint", id).With("revision", c.Revision).Info("An endpoint left the list.")
	}
	d.unversioned = d.lacksVersions()
	d.onEndpoints(d.usable())
}

// maxLoggedEndpoints is how many added or changed endpoints of one change are logged one by one.
const maxLoggedEndpoints = 4

// logChanged logs the endpoints that were added or changed. Each leaving endpoint is logged.
// More than maxLoggedEndpoints others share one line, since every process logs them.
func logChanged(c driver.Change) {
	others := 0
	for _, e := range c.Changed {
		if !e.Leaving {
			others++
		}
	}
	for _, e := range c.Changed {
		if e.Leaving || others <= maxLoggedEndpoints {
			log.With("endpoint", e.ID).With("service", e.Service).With("version", e.Version).With("leaving", e.Leaving).With("revision", c.Revision).Info("An endpoint was added or changed.")
		}
	}
	if others > maxLoggedEndpoints {
		log.With("endpoints", others).With("revision", c.Revision).Info("Endpoints were added or changed.")
	}
}

// EndpointChangesSince returns the changes of the endpoint list after a revision. It returns false
// if they are no longer kept. Retained returns the endpoints that are retained outside the list.
func (d *Directory) EndpointChangesSince(revision uint64) (driver.Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.listed {
		return driver.Change{}, false
	}
	return d.endpointHistory.since(revision, d.revision)
}

// Endpoints returns the endpoint list without the retained endpoints.
func (d *Directory) Endpoints() driver.Endpoints {
	d.mu.Lock()
	defer d.mu.Unlock()
	return driver.Endpoints{Revision: d.revision, List: d.list()}
}

// Versioned reports whether the list has the versions of all endpoints' software. Lists from peers of
// older builds have none.
func (d *Directory) Versioned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.unversioned
}

// lacksVersions reports whether a listed endpoint has no version. d.mu is held.
func (d *Directory) lacksVersions() bool {
	for _, e := range d.endpoints {
		if e.Version == "" {
			return true
		}
	}
	return false
}

// versioned reports whether all endpoints have versions.
func versioned(list []placement.Endpoint) bool {
	return !slices.ContainsFunc(list, func(e placement.Endpoint) bool { return e.Version == "" })
}

// EndpointsConfirmed returns when the endpoint list was last known to be the newest.
func (d *Directory) EndpointsConfirmed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listConfirmed
}

// Claims holds the versions of a process and when each was last known to be the newest.
type Claims struct {
	Version            uint64 // of the settings
	Revision           uint64 // of the list of endpoints
	Confirmed          time.Time
	EndpointsConfirmed time.Time
}

// Claims returns the versions and when each was last known to be the newest, zero for never.
func (d *Directory) Claims() Claims {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Claims{Version: d.version(), Revision: d.revision, Confirmed: d.confirmed, EndpointsConfirmed: d.listConfirmed}
}

// ConfirmEndpoints records that the endpoint list of a revision was the newest at the given time.
func (d *Directory) ConfirmEndpoints(revision uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listed && d.revision >= revision && at.After(d.listConfirmed) {
		d.listConfirmed = at
	}
}

// HasEndpoints reports whether an endpoint list has been received.
func (d *Directory) HasEndpoints() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

func (d *Directory) list() []placement.Endpoint {
	list := make([]placement.Endpoint, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b placement.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
