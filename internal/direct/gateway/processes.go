// Learns which process runs behind each engine that keeps its ID when it restarts.
//
// Rule: coord/resumption decides what is certain. The entry that ranks first for an engine asks it when
// the list has a new start of it, and announces the answer. Others ask it themselves if they have not
// received that within processEventDelay.
// Inputs: the list of endpoints, answers of engines, events of other entries.
// Units: one request for each start of an engine, and one for each entry that missed the event.
// Never: an engine that has a new ID for each start is asked; a request waits for such an answer, except
// on a connection over which a stream is resumed.

package gateway

import (
	"context"
	"slices"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/steady"
)

const (
	// processInterval is the time between two looks for engines whose process is not known.
	processInterval = 500 * time.Millisecond
	// processEventDelay is how long an entry waits for the answer that another one got: two looks and the
	// repetitions of an event.
	processEventDelay = 3 * time.Second
	// maxProcessQueries limits the engines that are asked at each look.
	maxProcessQueries = 16
	// processTimeout limits one query to an engine.
	processTimeout = 500 * time.Millisecond
)

// learnProcesses asks engines for their process. since is when an engine of unknown process was first
// seen, by incarnation; it is updated.
func (g *Gateway) learnProcesses(now time.Time, since map[string]time.Time) {
	if !g.endpointsKeepIDs.Load() {
		return
	}
	unknown := g.dispatcher.endpointsWithoutProcess(g.directory.Endpoints().List)
	current := map[string]time.Time{}
	asked := 0
	for _, e := range unknown {
		seen, known := since[e.Incarnation()]
		if !known {
			seen = now
		}
		current[e.Incarnation()] = seen
		if asked < maxProcessQueries && (g.ranksFirst(e) || now.Sub(seen) >= processEventDelay) {
			asked++
			g.learnProcess(e)
		}
	}
	clear(since)
	for incarnation, seen := range current {
		since[incarnation] = seen
	}
}

// noteIDs records whether any endpoint keeps its ID when it restarts.
func (g *Gateway) noteIDs(list []placement.Endpoint) {
	g.endpointsKeepIDs.Store(slices.ContainsFunc(list, func(e placement.Endpoint) bool { return e.StartedMS != 0 }))
}

// ranksFirst reports whether this entry is the one that asks an engine first.
func (g *Gateway) ranksFirst(e placement.Endpoint) bool {
	group := g.dispatcher.peerGroup()
	return group == nil || group.RanksFirst(e.ID, e.DataCentre)
}

// learnProcess asks an engine for its process, and announces it.
func (g *Gateway) learnProcess(e placement.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	name, err := g.pool.Process(ctx, e.Incarnation(), e.Address, g.processQuery())
	if err != nil {
		log.With("endpoint", e.ID).With("reason", err.Error()).WarnLimited("process", "An engine did not name its process; no stream is resumed there.")
		return
	}
	at := steady.Now()
	g.dispatcher.recordProcess(e.Incarnation(), name, at)
	g.broadcastRepeatedly(peers.Event{Kind: peers.ProcessNamed, Endpoint: e.Incarnation(), Process: name})
}

// processQuery returns how engines are asked for their process.
func (g *Gateway) processQuery() upstream.ProcessQuery {
	return upstream.ProcessQuery{Target: g.options.Driver.ProcessTarget(), Parse: g.options.Driver.ParseProcess}
}

// requiredProcess returns the process that an attempt has to reach, nil for any. It returns false if that
// is not known, so that nothing may be sent.
func (f *forwarding) requiredProcess(a *attempt) (check *upstream.ProcessCheck, known bool) {
	endpoint := a.endpoint().Incarnation()
	if !f.request.spec.Resumes || !placement.KeepsID(endpoint) {
		return nil, true
	}
	name, certain := f.gateway.dispatcher.process(endpoint, f.gateway.directory.EndpointsConfirmed())
	if !certain {
		return nil, false
	}
	return &upstream.ProcessCheck{ProcessQuery: f.gateway.processQuery(), Process: name}, true
}

// endpointsWithoutProcess returns the engines that keep their IDs and of whose process nothing is known.
func (d *dispatcher) endpointsWithoutProcess(list []placement.Endpoint) []placement.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.versions.WithoutProcess(list)
}

// recordProcess records that a process answered at the address of an incarnation.
func (d *dispatcher) recordProcess(incarnation, name string, answeredAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions.RecordProcess(incarnation, name, answeredAt)
}

// process returns the process behind an incarnation, if it is certain. listed is when the list of
// endpoints was last known to be the newest.
func (d *dispatcher) process(incarnation string, listed time.Time) (name string, certain bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions.Confirm(listed)
	return d.versions.Process(incarnation)
}
