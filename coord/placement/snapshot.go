// Transfers the state of a table to a table that has just started.
//
// Rule: a snapshot holds the open attempts, the speed and reliability of endpoints, and the
// shared parts that they cache of those used within ReuseWindow. Restore merges it into a table
// that has the list of endpoints. The table's own observations take precedence, and attempts
// whose end it has received in the meantime are left out.
// Inputs: two tables, the time.
// Units: ages in milliseconds, since clocks differ.
// Never: parts of a single request, or parts not used recently, are transferred, so that a
// snapshot is bounded by the traffic of ReuseWindow and not by the engines' memory.

package placement

import (
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
)

const (
	// maxSnapshotParts bounds the distinct shared parts of a snapshot. They have 12 bytes each
	// and take 0.1 s over 10 Mbit/s.
	maxSnapshotParts = 10_000
	// maxEnded bounds the ended attempts recorded before a snapshot arrives. It corresponds to
	// 2 s of 4,000 attempts per second.
	maxEnded = 8192
)

// Snapshot is the state of a table. Its encoding is part of the protocol between entries.
type Snapshot struct {
	Parts     []memory.Part      `cbor:"1,keyasint"` // shared ones that were used recently
	UsedMS    []int64            `cbor:"2,keyasint"` // ms since the last use of each of Parts
	Endpoints []EndpointSnapshot `cbor:"3,keyasint"`
	Services  []ServiceSnapshot  `cbor:"4,keyasint"`
	Warmups   []WarmupSnapshot   `cbor:"5,keyasint,omitempty"` // entries of earlier versions ignore this and the following fields
	Limits    []LimitSnapshot    `cbor:"6,keyasint,omitempty"`
	Drains    []DrainSnapshot    `cbor:"7,keyasint,omitempty"`
	Speeds    []SpeedSnapshot    `cbor:"11,keyasint,omitempty"`
	Steps     []StepSnapshot     `cbor:"12,keyasint,omitempty"`
}

// EndpointSnapshot is the state of one endpoint.
type EndpointSnapshot struct {
	_              struct{} `cbor:",toarray"`
	ID             string
	Slowdown       float64
	Failures       float64
	FetchMissShare float64 // share of fetches that did not deliver the parts expected in its cache
	CachedParts    []int   // indexes into Parts, the most recently used first
	Backlog        []float64
	Attempts       []AttemptSnapshot
}

// AttemptSnapshot is an open attempt.
type AttemptSnapshot struct {
	_             struct{} `cbor:",toarray"`
	ID            AttemptID
	Request       Request
	SentMS        int64 // since it was sent
	FirstMS       int64 // since its first event, -1 before it
	PrefillTokens int
	ExpectedMS    float64
}

// ServiceSnapshot is the state shared by the endpoints of a service.
type ServiceSnapshot struct {
	_                       struct{} `cbor:",toarray"`
	Name                    string
	Prefill                 [5]float64 // weight and sums of the fit
	IntervalsWithoutPrefill intervalStats
	IntervalsWithPrefill    intervalStats
	LongMS                  float64 // prefill time demanded by long prompts, decayed
	ShortMS                 float64
}

// WarmupSnapshot is the remaining warm-up time of an endpoint.
type WarmupSnapshot struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	LeftMS int64
}

// LimitSnapshot is the rate limit that an endpoint has advertised.
type LimitSnapshot struct {
	_            struct{} `cbor:",toarray"`
	ID           string
	PerSecond    float64
	AdvertisedMS int64 // since the last response with the limit
}

// DrainSnapshot is the time for which an endpoint has been draining.
type DrainSnapshot struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	SinceMS int64 // since the first signal
}

// noFirstEvent is the FirstMS of an attempt without a first event.
const noFirstEvent = -1

// Snapshot returns the state of the table.
func (t *Table) Snapshot(now time.Time) Snapshot {
	var s Snapshot
	index := make(map[uint64]int, min(len(t.sharedParts), maxSnapshotParts))
	for id, e := range t.endpoints {
		if e.Engine || len(e.attempts) > 0 {
			s.Endpoints = append(s.Endpoints, t.endpointSnapshot(now, id, e, &s, index))
		}
		if left := e.warmup.Remaining(now); left > 0 {
			s.Warmups = append(s.Warmups, WarmupSnapshot{ID: id, LeftMS: left.Milliseconds()})
		}
		if e.limit.Limited() {
			s.Limits = append(s.Limits, LimitSnapshot{
				ID: id, PerSecond: e.limit.PerSecond(), AdvertisedMS: now.Sub(e.limit.AdvertisedAt()).Milliseconds(),
			})
		}
	}
	s.Drains = t.drainSnapshots(now)
	s.Speeds, s.Steps = t.speedSnapshots()
	for name, v := range t.services {
		p := v.prefill
		s.Services = append(s.Services, ServiceSnapshot{
			Name: name, Prefill: [5]float64{p.weight, p.sumX, p.sumY, p.sumXX, p.sumXY},
			IntervalsWithoutPrefill: v.intervalsWithoutPrefill, IntervalsWithPrefill: v.intervalsWithPrefill, LongMS: v.pool.longMS, ShortMS: v.pool.shortMS,
		})
	}
	return s
}

// drainSnapshots returns the draining endpoints, listed or not.
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

// endpointSnapshot returns the state of an endpoint. It adds the cached parts to the snapshot
// and their positions to index.
func (t *Table) endpointSnapshot(now time.Time, id string, e *endpoint, s *Snapshot, index map[uint64]int) EndpointSnapshot {
	e.backlog.advance(now, e.slowdown)
	x := EndpointSnapshot{
		ID: id, Slowdown: e.slowdown, Failures: e.failures, FetchMissShare: e.missRate.Probability(), Backlog: e.backlog.prefillMS[:],
	}
	for part := range e.cache.Cached() {
		if !t.computedRecently(now, part.ID) {
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
			s.UsedMS = append(s.UsedMS, now.Sub(t.sharedParts[part.ID].lastUsed).Milliseconds())
		}
		x.CachedParts = append(x.CachedParts, n)
	}
	for id, a := range e.attempts {
		first := int64(noFirstEvent)
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

// Restore merges a snapshot of another table.
func (t *Table) Restore(now time.Time, s Snapshot) {
	for n, part := range s.Parts {
		if n < len(s.UsedMS) {
			t.recordUseAt(part.ID, now.Add(-time.Duration(s.UsedMS[n])*time.Millisecond))
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
	t.restoreSpeeds(now, s)
	for _, x := range s.Warmups {
		if e := t.endpoints[x.ID]; e != nil {
			e.warmup.Start(now, time.Duration(x.LeftMS)*time.Millisecond)
		}
	}
	for _, x := range s.Limits {
		if e := t.endpoints[x.ID]; e != nil {
			advertised := now.Add(-time.Duration(x.AdvertisedMS) * time.Millisecond)
			e.limit.Apply(eligibility.LimitUpdate{PerSecond: x.PerSecond, Sent: advertised, Received: advertised})
		}
	}
	for _, x := range s.Drains {
		t.ApplyDrain(now, x.ID, now.Add(-time.Duration(x.SinceMS)*time.Millisecond))
	}
	t.StopRestoring()
}

// StopRestoring deletes the state kept for a pending snapshot.
func (t *Table) StopRestoring() {
	t.Restoring = false
	t.ended = nil
}

// AddCached records the parts that an engine reports as cached. The time of their last use is
// unknown. They count as used now, so that other engines don't recompute them.
func (t *Table) AddCached(now time.Time, endpointID string, parts []memory.Part) {
	e := t.endpoints[endpointID]
	if e == nil || !e.Engine {
		return
	}
	capacity := memory.CacheSize(t.service(e.Service).MemoryTokens, e.openTokens)
	for _, part := range parts {
		e.cache.Add(part, capacity)
		t.recordUseAt(part.ID, now)
		if u := t.sharedParts[part.ID]; u != nil {
			u.addEngine(e)
		}
	}
}

// recordUseAt records a use of a shared part unless a later one is known.
func (t *Table) recordUseAt(part uint64, at time.Time) {
	if len(t.sharedParts) >= maxSharedParts {
		return
	}
	if u := t.partUse(part); at.After(u.lastUsed) {
		u.lastUsed = at
	}
}

// restore replaces the service's observations by those of another table, each kind only if the
// other table has more of it.
func (s *service) restore(now time.Time, x ServiceSnapshot) {
	if x.Prefill[0] > s.prefill.weight {
		s.prefill = prefillModel{weight: x.Prefill[0], sumX: x.Prefill[1], sumY: x.Prefill[2], sumXX: x.Prefill[3], sumXY: x.Prefill[4]}
	}
	if x.IntervalsWithoutPrefill.Count > s.intervalsWithoutPrefill.Count {
		s.intervalsWithoutPrefill = x.IntervalsWithoutPrefill
	}
	if x.IntervalsWithPrefill.Count > s.intervalsWithPrefill.Count {
		s.intervalsWithPrefill = x.IntervalsWithPrefill
	}
	if x.LongMS+x.ShortMS > s.pool.longMS+s.pool.shortMS {
		s.pool.longMS, s.pool.shortMS, s.pool.updatedAt = x.LongMS, x.ShortMS, now
	}
}

// restoreEndpoint merges another table's state of an endpoint.
func (t *Table) restoreEndpoint(now time.Time, e *endpoint, x EndpointSnapshot, parts []memory.Part) {
	if e.slowdown == 1 && x.Slowdown > 0 {
		e.setSlowdown(x.Slowdown)
	}
	e.failures = max(e.failures, min(x.Failures, 1))
	e.missRate.Restore(x.FetchMissShare)
	service := t.service(e.Service)
	capacity := memory.CacheSize(service.MemoryTokens, e.openTokens)
	for n := len(x.CachedParts) - 1; n >= 0; n-- { // the most recent one last
		if k := x.CachedParts[n]; k >= 0 && k < len(parts) {
			e.cache.Add(parts[k], capacity)
			t.partUse(parts[k].ID).addEngine(e)
		}
	}
	for _, a := range x.Attempts {
		t.restoreAttempt(now, e, a)
	}
	e.backlog.advance(now, e.slowdown)
	for n, ms := range x.Backlog[:min(len(x.Backlog), numPriorities)] {
		e.backlog.prefillMS[n] = max(e.backlog.prefillMS[n], ms)
	}
	t.trimBacklog(now, e)
}

// restoreAttempt adds an open attempt of another entry.
func (t *Table) restoreAttempt(now time.Time, e *endpoint, a AttemptSnapshot) {
	if e.attempts[a.ID] != nil || t.ended[a.ID] || a.ID.Owner == t.Self || len(t.byAttempt) >= maxAttempts {
		return
	}
	if t.byAttempt == nil {
		t.byAttempt = map[AttemptID]*endpoint{}
	}
	t.byAttempt[a.ID] = e
	restored := &attempt{
		request: a.Request, prefillTokens: a.PrefillTokens, expectedMS: a.ExpectedMS,
		sentAt: now.Add(-time.Duration(a.SentMS) * time.Millisecond),
	}
	e.attempts[a.ID] = restored
	e.countStream(a.Request.InterEventTarget, 1)
	e.openTokens += a.Request.Prompt.Tokens + a.Request.Prompt.ExpectedOutput()
	if a.FirstMS != noFirstEvent {
		restored.firstAt = now.Add(-time.Duration(a.FirstMS) * time.Millisecond)
		restored.lastAt = restored.firstAt
		e.running++
		return
	}
	if e.Engine {
		restored.addedParts = e.cache.Use(a.Request.Prompt, memory.CacheSize(t.service(e.Service).MemoryTokens, e.openTokens))
	}
}

// recordEnded records the end of an unknown attempt until Restore.
func (t *Table) recordEnded(id AttemptID) {
	if !t.Restoring || len(t.ended) >= maxEnded {
		return
	}
	if t.ended == nil {
		t.ended = map[AttemptID]bool{}
	}
	t.ended[id] = true
}
