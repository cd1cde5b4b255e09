package placement

import (
	"cmp"
	"slices"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/rendezvous"
)

const (
	// maxSharedParts bounds the shared parts whose use is recorded.
	maxSharedParts = 65536
	// maxAttempts bounds the open attempts of all entries.
	maxAttempts = 65536
	// minSweepInterval is the shortest time between two sweeps of the shared parts.
	minSweepInterval = time.Second
)

// Table holds the state of all endpoints at one entry. The zero value is empty. A Table is not
// safe for concurrent use.
type Table struct {
	DataCentre  string            // of this entry
	Self        uint64            // owner of this entry's attempts
	ReuseWindow time.Duration     // how long after its last use recomputing a shared part has a cost
	Restoring   bool              // a snapshot of another table is pending
	Regions     map[string]string // of data centres, by name
	Group       eligibility.Group // of entries that send to the same endpoints
	DrainGrace  time.Duration     // time from the drain signal of an endpoint until it gets no more requests

	endpoints   map[string]*endpoint
	services    map[string]*service
	byAttempt   map[AttemptID]*endpoint
	ended       map[AttemptID]bool   // unknown attempts that ended while Restoring
	sharedParts map[uint64]*partUse  // by part id
	lastSweep   time.Time            // of sharedParts
	evacuated   map[string]bool      // data centres
	unlisted    map[string]*unlisted // by incarnation
}

// service is the state shared by the endpoints of one service.
type service struct {
	Service
	endpoints               []*endpoint   // in an order common to all entries
	local                   []*endpoint   // those of the own data centre, in that order
	intervalsWithoutPrefill intervalStats // between events while no prefill runs
	intervalsWithPrefill    intervalStats // between events while prefills run
	prefill                 prefillModel  // time to the first event
	pool                    pool
	overruns                overruns
	arrivalRate             arrivalRate
	steps                   stepTimes
	asked                   askedPrefill // by the requests of all entries, refused ones included
}

// SetServices applies the settings of services.
func (t *Table) SetServices(all []Service) {
	for _, s := range all {
		t.service(s.Name).Service = s
	}
}

// ServiceSettings returns the settings of a service.
func (t *Table) ServiceSettings(name string) Service { return t.service(name).Service }

// ServiceOf returns the service of a listed endpoint.
func (t *Table) ServiceOf(incarnation string) (string, bool) {
	e := t.endpoints[incarnation]
	if e == nil {
		return "", false
	}
	return e.Service, true
}

func (t *Table) service(name string) *service {
	if t.services == nil {
		t.services = map[string]*service{}
	}
	s := t.services[name]
	if s == nil {
		s = &service{Service: Service{Name: name}}
		t.services[name] = s
	}
	return s
}

// SetEndpoints replaces the list of endpoints. The state of endpoints that remain is kept;
// attempts at removed endpoints are dropped.
func (t *Table) SetEndpoints(now time.Time, list []Endpoint) {
	next := make(map[string]*endpoint, len(list))
	for _, listed := range list {
		e := t.endpoints[listed.Incarnation()]
		if e == nil {
			e = &endpoint{
				slowdown: 1, attempts: map[AttemptID]*attempt{}, hash: rendezvous.Hash(listed.ID),
				signals: t.takeUnlisted(listed.Incarnation()),
			}
		}
		if listed.Leaving {
			e.drain.Apply(now)
		}
		e.applyWarmup(now, listed)
		e.Endpoint = listed
		e.location = t.locationOf(listed)
		next[listed.Incarnation()] = e
	}
	for id, e := range t.endpoints {
		if next[id] != nil {
			continue
		}
		t.removeAttempts(e)
		if e.active(now) {
			t.addUnlisted(now, id, e.signals)
		}
	}
	t.expireUnlisted(now)
	t.endpoints = next
	t.groupByService()
}

func (t *Table) removeAttempts(e *endpoint) {
	for id, a := range e.attempts {
		t.dropReplica(a)
		delete(t.byAttempt, id)
	}
}

// groupByService sorts the endpoints by service, in the common order.
func (t *Table) groupByService() {
	for _, s := range t.services {
		s.endpoints = s.endpoints[:0]
		s.local = s.local[:0]
	}
	for _, e := range t.endpoints {
		s := t.service(e.Service)
		s.endpoints = append(s.endpoints, e)
	}
	for _, s := range t.services {
		key := rendezvous.Hash(s.Name)
		slices.SortFunc(s.endpoints, func(a, b *endpoint) int {
			return cmp.Compare(rendezvous.Rank(key, a.hash), rendezvous.Rank(key, b.hash))
		})
		for n, e := range s.endpoints {
			e.rank = n
			if e.DataCentre == t.DataCentre {
				s.local = append(s.local, e)
			}
		}
	}
}

// Open returns the number of open attempts.
func (t *Table) Open() int { return len(t.byAttempt) }

// computedRecently reports whether any endpoint has used a shared part within ReuseWindow.
func (t *Table) computedRecently(now time.Time, part uint64) bool {
	u := t.sharedParts[part]
	return u != nil && now.Sub(u.lastUsed) < t.ReuseWindow
}

// recordUse records the use of a prompt's shared parts at an engine.
func (t *Table) recordUse(now time.Time, p memory.Prompt, e *endpoint) {
	for _, part := range p.Shared() {
		u := t.partUse(part.ID)
		u.lastUsed = now
		u.addEngine(e)
	}
	if len(t.sharedParts) <= maxSharedParts {
		return
	}
	if now.Sub(t.lastSweep) >= minSweepInterval {
		t.lastSweep = now
		t.sweepShared(now)
	}
	for id := range t.sharedParts { // removes arbitrary parts if removing the unused ones was not enough
		if len(t.sharedParts) <= maxSharedParts {
			return
		}
		delete(t.sharedParts, id)
	}
}

// partUse returns the use of a shared part, which it adds if there is none.
func (t *Table) partUse(part uint64) *partUse {
	if t.sharedParts == nil {
		t.sharedParts = map[uint64]*partUse{}
	}
	u := t.sharedParts[part]
	if u == nil {
		u = &partUse{}
		t.sharedParts[part] = u
	}
	return u
}

// sweepShared removes the shared parts that were not used within ReuseWindow.
func (t *Table) sweepShared(now time.Time) {
	for id, u := range t.sharedParts {
		if now.Sub(u.lastUsed) > t.ReuseWindow {
			delete(t.sharedParts, id)
		}
	}
}
