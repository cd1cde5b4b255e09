// What one table hands to another that has just started.
//
// Rule: a snapshot holds the open attempts, how fast and how reliable endpoints are, and
// which shared parts they keep of those used within ReuseLife. Restore takes it into a
// table that knows the endpoints; what that table has learned itself stays, and attempts
// whose end it was told meanwhile are left out.
// Inputs: two tables, the time.
// Units: ages in milliseconds, since clocks differ.
// Never: parts that one request alone has, or that were not used lately, are handed on,
// so that a snapshot is bounded by the traffic of ReuseLife and not by the engines'
// memory.

package placement

import (
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
)

const (
	// maxSnapshotParts bounds the distinct shared parts of a snapshot. 12 bytes each, 0.1 s
	// over 10 Mbit/s.
	maxSnapshotParts = 10_000
	// maxEnded bounds the ended attempts that are remembered for a snapshot to come. 2 s of
	// 4,000 attempts a second.
	maxEnded = 8192
)

// Snapshot is what a table knows. Its form is on the wire.
type Snapshot struct {
	Parts     []memory.Part      `cbor:"1,keyasint"` // shared ones that were used lately
	UsedMS    []int64            `cbor:"2,keyasint"` // since the last use of each of Parts
	Endpoints []EndpointSnapshot `cbor:"3,keyasint"`
	Services  []ServiceSnapshot  `cbor:"4,keyasint"`
	Warmups   []WarmupSnapshot   `cbor:"5,keyasint,omitempty"` // entries of former versions pass over it and what follows
	Limits    []LimitSnapshot    `cbor:"6,keyasint,omitempty"`
	Drains    []DrainSnapshot    `cbor:"7,keyasint,omitempty"`
}

// EndpointSnapshot is what is known of one endpoint.
type EndpointSnapshot struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Slowdown float64
	Failures float64
	Missing  float64 // share of fetches that did not bring what it was believed to keep
	Kept     []int   // of Parts, the most recently used first
	Backlog  []float64
	Attempts []AttemptSnapshot
}

// AttemptSnapshot is an attempt that has not ended.
type AttemptSnapshot struct {
	_             struct{} `cbor:",toarray"`
	ID            AttemptID
	Request       Request
	SentMS        int64 // since it was sent
	FirstMS       int64 // since its first event, -1 before it
	PrefillTokens int
	ExpectedMS    float64
}

// ServiceSnapshot is what the endpoints of a service have in common.
type ServiceSnapshot struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Prefill       [5]float64 // weight and sums of the fit
	Undisturbed   intervals
	BesidePrefill intervals
	LongMS        float64 // prefill time asked for by long prompts, decayed
	ShortMS       float64
}

// WarmupSnapshot is that an endpoint warms up.
type WarmupSnapshot struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	LeftMS int64
}

// LimitSnapshot is that an endpoint has named a limit.
type LimitSnapshot struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	PerSecond float64
	NamedMS   int64 // since the last answer that named it
}

// DrainSnapshot is that an endpoint drains.
type DrainSnapshot struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	SinceMS int64 // since the first sign
}

// noFirst stands for an attempt without a first event.
const noFirst = -1

// Snapshot returns what the table knows.
func (t *Table) Snapshot(now time.Time) Snapshot {
	var s Snapshot
	index := make(map[uint64]int, min(len(t.shared), maxSnapshotParts))
	for id, e := range t.endpoints {
		if e.Engine || len(e.attempts) > 0 {
			s.Endpoints = append(s.Endpoints, t.snapshotOf(now, id, e, &s, index))
		}
		if left := e.warmup.Left(now); left > 0 {
			s.Warmups = append(s.Warmups, WarmupSnapshot{ID: id, LeftMS: left.Milliseconds()})
		}
		if e.limit.Limited() {
			s.Limits = append(s.Limits, LimitSnapshot{
				ID: id, PerSecond: e.limit.PerSecond(), NamedMS: now.Sub(e.limit.AdvertisedAt()).Milliseconds(),
			})
		}
	}
	s.Drains = t.drainSnapshots(now)
	for name, v := range t.services {
		p := v.prefill
		s.Services = append(s.Services, ServiceSnapshot{
			Name: name, Prefill: [5]float64{p.weight, p.x, p.y, p.xx, p.xy},
			Undisturbed: v.undisturbed, BesidePrefill: v.besidePrefill, LongMS: v.pool.longMS, ShortMS: v.pool.shortMS,
		})
	}
	return s
}

// drainSnapshots returns which endpoints drain, listed or not.
func (t *Table) drainSnapshots(now time.Time) []DrainSnapshot {
	var all []DrainSnapshot
	add := func(id string, s *signals) {
		if s.drain.Draining() {
			all = append(all, DrainSnapshot{ID: id, SinceMS: now.Sub(s.drain.Since()).Milliseconds()})
		}
	}
	for id, e := range t.endpoints {
		add(id, &e.signals)
	}
	for id, u := range t.unlisted {
		add(id, &u.signals)
	}
	return all
}

// snapshotOf returns what is known of an endpoint. Parts that it keeps are added to the
// snapshot's, whose index is given.
func (t *Table) snapshotOf(now time.Time, id string, e *endpoint, s *Snapshot, index map[uint64]int) EndpointSnapshot {
	e.backlog.advance(now, e.slowdown)
	x := EndpointSnapshot{
		ID: id, Slowdown: e.slowdown, Failures: e.failures, Missing: e.trust.Missing(), Backlog: e.backlog.ms[:],
	}
	for part := range e.cache.Settled() {
		if !t.computedLately(now, part.ID) {
			continue
		}
		n, known := index[part.ID]
		if !known {
			if len(s.Parts) >= maxSnapshotParts {
				continue
			}
			n = len(s.Parts)
			index[part.ID] = n
			s.Parts = append(s.Parts, part)
			s.UsedMS = append(s.UsedMS, now.Sub(t.shared[part.ID].at).Milliseconds())
		}
		x.Kept = append(x.Kept, n)
	}
	for id, a := range e.attempts {
		first := int64(noFirst)
		if !a.waiting() {
			first = now.Sub(a.firstAt).Milliseconds()
		}
		x.Attempts = append(x.Attempts, AttemptSnapshot{
			ID: id, Request: a.request, SentMS: now.Sub(a.sentAt).Milliseconds(), FirstMS: first,
			PrefillTokens: a.prefillTokens, ExpectedMS: a.expectedMS,
		})
	}
	return x
}

// Restore takes in a snapshot of another table.
func (t *Table) Restore(now time.Time, s Snapshot) {
	for n, part := range s.Parts {
		if n < len(s.UsedMS) {
			t.rememberAt(part.ID, now.Add(-time.Duration(s.UsedMS[n])*time.Millisecond))
		}
	}
	for _, x := range s.Services {
		if known := t.services[x.Name]; known != nil {
			known.restore(now, x)
		}
	}
	for _, x := range s.Endpoints {
		if e := t.endpoints[x.ID]; e != nil {
			t.restoreEndpoint(now, e, x, s.Parts)
		}
	}
	for _, x := range s.Warmups {
		if e := t.endpoints[x.ID]; e != nil {
			e.warmup.Cold(now, time.Duration(x.LeftMS)*time.Millisecond)
		}
	}
	for _, x := range s.Limits {
		if e := t.endpoints[x.ID]; e != nil {
			named := now.Add(-time.Duration(x.NamedMS) * time.Millisecond)
			e.limit.Apply(eligibility.LimitUpdate{PerSecond: x.PerSecond, Sent: named, Received: named})
		}
	}
	for _, x := range s.Drains {
		t.ApplyDrain(now, x.ID, now.Add(-time.Duration(x.SinceMS)*time.Millisecond))
	}
	t.StopRestoring()
}

// StopRestoring forgets what was remembered for a snapshot.
func (t *Table) StopRestoring() {
	t.Restoring = false
	t.ended = nil
}

// TakeKept takes in what an engine says that it keeps. When the parts were last used is not
// known; they count as used now, so that they are not computed elsewhere.
func (t *Table) TakeKept(now time.Time, endpointID string, parts []memory.Part) {
	e := t.endpoints[endpointID]
	if e == nil || !e.Engine {
		return
	}
	room := memory.Room(t.service(e.Service).MemoryTokens, e.tokens)
	for _, part := range parts {
		e.cache.Add(part, room)
		t.rememberAt(part.ID, now)
		if u := t.shared[part.ID]; u != nil {
			u.keep(e)
		}
	}
}

// rememberAt records the use of a shared part unless a later one is known.
func (t *Table) rememberAt(part uint64, at time.Time) {
	if len(t.shared) >= maxShared {
		return
	}
	if u := t.use(part); at.After(u.at) {
		u.at = at
	}
}

// restore takes in what another table has observed, unless this one has observed more.
func (s *service) restore(now time.Time, x ServiceSnapshot) {
	if x.Prefill[0] > s.prefill.weight {
		s.prefill = prefillModel{weight: x.Prefill[0], x: x.Prefill[1], y: x.Prefill[2], xx: x.Prefill[3], xy: x.Prefill[4]}
	}
	if x.Undisturbed.Count > s.undisturbed.Count {
		s.undisturbed = x.Undisturbed
	}
	if x.BesidePrefill.Count > s.besidePrefill.Count {
		s.besidePrefill = x.BesidePrefill
	}
	if x.LongMS+x.ShortMS > s.pool.longMS+s.pool.shortMS {
		s.pool.longMS, s.pool.shortMS, s.pool.at = x.LongMS, x.ShortMS, now
	}
}

// restoreEndpoint takes in what another table knows of an endpoint.
func (t *Table) restoreEndpoint(now time.Time, e *endpoint, x EndpointSnapshot, parts []memory.Part) {
	if e.slowdown == 1 && x.Slowdown > 0 {
		e.setSlowdown(x.Slowdown)
	}
	e.failures = max(e.failures, min(x.Failures, 1))
	e.trust.Restore(x.Missing)
	service := t.service(e.Service)
	room := memory.Room(service.MemoryTokens, e.tokens)
	for n := len(x.Kept) - 1; n >= 0; n-- { // the most recent one last
		if k := x.Kept[n]; k >= 0 && k < len(parts) {
			e.cache.Add(parts[k], room)
			t.use(parts[k].ID).keep(e)
		}
	}
	for _, a := range x.Attempts {
		t.restoreAttempt(now, e, a)
	}
	e.backlog.advance(now, e.slowdown)
	for n, ms := range x.Backlog[:min(len(x.Backlog), priorities)] {
		e.backlog.ms[n] = max(e.backlog.ms[n], ms)
	}
	t.boundBacklog(now, e)
}

// restoreAttempt takes in an open attempt of another entry.
func (t *Table) restoreAttempt(now time.Time, e *endpoint, a AttemptSnapshot) {
	if e.attempts[a.ID] != nil || t.ended[a.ID] || a.ID.Owner == t.Self || len(t.byAttempt) >= maxAttempts {
		return
	}
	if t.byAttempt == nil {
		t.byAttempt = map[AttemptID]*endpoint{}
	}
	t.byAttempt[a.ID] = e
	x := &attempt{
		request: a.Request, prefillTokens: a.PrefillTokens, expectedMS: a.ExpectedMS,
		sentAt: now.Add(-time.Duration(a.SentMS) * time.Millisecond),
	}
	e.attempts[a.ID] = x
	e.tokens += a.Request.Prompt.Tokens + a.Request.Prompt.Out()
	if a.FirstMS != noFirst {
		x.firstAt = now.Add(-time.Duration(a.FirstMS) * time.Millisecond)
		x.lastAt = x.firstAt
		return
	}
	if e.Engine {
		x.brought = e.cache.Use(a.Request.Prompt, memory.Room(t.service(e.Service).MemoryTokens, e.tokens))
	}
}

// noteEnded remembers the end of an attempt that is not known, until Restore.
func (t *Table) noteEnded(id AttemptID) {
	if !t.Restoring || len(t.ended) >= maxEnded {
		return
	}
	if t.ended == nil {
		t.ended = map[AttemptID]bool{}
	}
	t.ended[id] = true
}
