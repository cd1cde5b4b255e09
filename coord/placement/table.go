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
	// maxShared bounds the shared parts that are remembered.
	maxShared = 65536
	// maxAttempts bounds the open attempts of all entries.
	maxAttempts      = 65536
	minSweepInterval = time.Second
)

// Table is what one entry knows of all endpoints. The zero value is empty; it is
// not safe for concurrent use.
type Table struct {
	DataCentre string            // of this entry
	Self       uint64            // owner of this entry's attempts
	ReuseLife  time.Duration     // computing a shared part again costs for so long after its last use
	Restoring  bool              // a snapshot of another table is still to come
	Regions    map[string]string // of data centres, by name
	Group      eligibility.Group // of entries that send to the same endpoints
	DrainGrace time.Duration     // a draining endpoint gets nothing that comes later

	endpoints map[string]*endpoint
	services  map[string]*service
	byAttempt map[AttemptID]*endpoint
	ended     map[AttemptID]bool   // attempts that ended without being known, while Restoring
	shared    map[uint64]*use      // of shared parts
	swept     time.Time            // when shared was last walked over
	evacuated map[string]bool      // data centres
	unlisted  map[string]*unlisted // by incarnation
}

// service is what the endpoints of one service have in common.
type service struct {
	Service
	endpoints     []*endpoint  // in an order that all entries have in common
	near          []*endpoint  // those of the own data centre, in that order
	undisturbed   intervals    // between events while no prefill runs
	besidePrefill intervals    // between events while prefills run
	prefill       prefillModel // time to the first event
	pool          pool
	overruns      overruns
	arrivals      arrivals
}

// SetServices takes in what the settings say.
func (t *Table) SetServices(all []Service) {
	for _, s := range all {
		t.service(s.Name).Service = s
	}
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

// SetEndpoints takes in the list of endpoints. What is known of those that stay is
// kept; attempts at those that are gone are forgotten.
func (t *Table) SetEndpoints(now time.Time, list []Endpoint) {
	next := make(map[string]*endpoint, len(list))
	for _, listed := range list {
		e := t.endpoints[listed.Incarnation()]
		if e == nil {
			e = &endpoint{
				slowdown: 1, attempts: map[AttemptID]*attempt{}, hash: rendezvous.Hash(listed.ID),
				signals: t.relist(listed.Incarnation()),
			}
		}
		if listed.Leaving {
			e.drain.Apply(now)
		}
		e.takeWarmup(now, listed)
		e.Endpoint = listed
		e.location = t.locationOf(listed)
		next[listed.Incarnation()] = e
	}
	for id, e := range t.endpoints {
		if next[id] != nil {
			continue
		}
		t.forgetAttempts(e)
		if e.matter(now) {
			t.setAside(now, id, e.signals)
		}
	}
	t.forgetUnlisted(now)
	t.endpoints = next
	t.group()
}

func (t *Table) forgetAttempts(e *endpoint) {
	for id := range e.attempts {
		delete(t.byAttempt, id)
	}
}

// group sorts the endpoints by service, in the common order.
func (t *Table) group() {
	for _, s := range t.services {
		s.endpoints = s.endpoints[:0]
		s.near = s.near[:0]
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
				s.near = append(s.near, e)
			}
		}
	}
}

// Open returns the number of attempts that have not ended.
func (t *Table) Open() int { return len(t.byAttempt) }

// computedLately tells whether any endpoint has used a shared part within ReuseLife.
func (t *Table) computedLately(now time.Time, part uint64) bool {
	u := t.shared[part]
	return u != nil && now.Sub(u.at) < t.ReuseLife
}

// remember records the use of a prompt's shared parts at an engine.
func (t *Table) remember(now time.Time, p memory.Prompt, e *endpoint) {
	for _, part := range p.Shared() {
		u := t.use(part.ID)
		u.at = now
		u.keep(e)
	}
	if len(t.shared) <= maxShared {
		return
	}
	if now.Sub(t.swept) >= minSweepInterval {
		t.swept = now
		t.sweepShared(now)
	}
	for id := range t.shared { // any, if forgetting the unused ones was not enough
		if len(t.shared) <= maxShared {
			return
		}
		delete(t.shared, id)
	}
}

// use returns what is known of a shared part.
func (t *Table) use(part uint64) *use {
	if t.shared == nil {
		t.shared = map[uint64]*use{}
	}
	u := t.shared[part]
	if u == nil {
		u = &use{}
		t.shared[part] = u
	}
	return u
}

// sweepShared forgets the shared parts that were not used within ReuseLife.
func (t *Table) sweepShared(now time.Time) {
	for id, u := range t.shared {
		if now.Sub(u.at) > t.ReuseLife {
			delete(t.shared, id)
		}
	}
}
