// Selects the engine that holds the copy of a run's memory, and records the copies.
//
// Rule: among replicaSample engines drawn from the own data centre and as many from the whole
// service, the one with the fewest copies; an engine in another data centre than the run counts
// crossCentreCopies times as many, since the copy takes as much longer. They are drawn again while none
// may hold it, replicaRounds times in all. An engine holds no copy if it runs another version of its
// software than the run's, or an unknown one, may not take the request (eligible.go), drains, fails, is
// unreachable or overdue, has crashed, is the run's own, has no slot left for the runs that it has and would
// continue, or has no memory for it.
// Inputs: the table, the request, the engine that runs it, a source of randomness.
// Units: copies, slots, tokens.
// Never: an engine holds more than maxReplicaShare of its memory in copies, or more than
// maxReplicas copies; the time of the choice grows with the service.

package placement

import (
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
)

const (
	// replicaSample is the number of engines drawn from each of the two groups.
	replicaSample = 4
	// replicaRounds bounds how often they are drawn while none of them may hold the copy, as where
	// few engines run its version.
	replicaRounds = 3
	// maxReplicas bounds the copies at one engine.
	maxReplicas = 64
	// maxReplicaShare bounds the memory of the copies at one engine, as a share of its memory.
	// The rest serves its own runs and its cached prefixes.
	maxReplicaShare = 0.25
	// crossCentreCopies is the weight of a copy that is made between data centres.
	crossCentreCopies = 2
)

// replicas are the copies that an engine holds for runs of other engines.
type replicas struct {
	count  int
	tokens int
}

// ChooseReplica returns the engine that holds the copy of a run at another engine. It returns false
// if there is none.
func (t *Table) ChooseReplica(now time.Time, r Request, running string, random *rand.Rand) (Endpoint, bool) {
	runs := t.endpoints[running]
	if runs == nil || !runs.Engine {
		return Endpoint{}, false
	}
	q := query{table: t, service: t.service(r.Service), request: r, now: now}
	var best *endpoint
	lowest := 0
	consider := func(e *endpoint) {
		cost := 1 + e.replicas.count
		if e.DataCentre != runs.DataCentre {
			cost *= crossCentreCopies
		}
		fewer := best == nil || cost < lowest
		if e != runs && runs.Version != "" && e.Version == runs.Version && fewer && q.canHoldReplica(e) {
			best, lowest = e, cost
		}
	}
	for range replicaRounds {
		sample(random, q.service.local, replicaSample, consider)
		sample(random, q.service.endpoints, replicaSample, consider)
		if best != nil {
			break
		}
	}
	if best == nil {
		return Endpoint{}, false
	}
	return best.Endpoint, true
}

// canHoldReplica reports whether an engine may hold the copy of the request's run.
func (q *query) canHoldReplica(e *endpoint) bool {
	if !e.Engine || e.draining() || !q.available(e) {
		return false
	}
	if !e.holdsMemory(q.now) || e.overdueMS(q.now) > 0 {
		return false
	}
	return q.hasRoomForReplica(e)
}

// hasRoomForReplica reports whether an engine has a slot and memory for the request's run.
func (q *query) hasRoomForReplica(e *endpoint) bool {
	if e.replicas.count >= maxReplicas || e.Slots > 0 && len(e.attempts) >= e.Slots {
		return false
	}
	size := q.service.MemoryTokens
	if size <= 0 {
		return true
	}
	tokens := replicaTokens(q.request)
	copies := float64(e.replicas.tokens+tokens) <= maxReplicaShare*float64(size)
	return copies && e.openTokens+e.replicas.tokens+tokens <= size
}

// replicaTokens returns the memory of a run at its end.
func replicaTokens(r Request) int { return r.Prompt.Tokens + r.Prompt.ExpectedOutput() }

// PlaceReplica records that an engine holds the copy of an open attempt, until the attempt ends. It
// ignores unknown attempts and engines, and a second copy.
func (t *Table) PlaceReplica(id AttemptID, endpointID string) {
	runs, holds := t.byAttempt[id], t.endpoints[endpointID]
	if runs == nil || holds == nil {
		return
	}
	a := runs.attempts[id]
	if a.replica != "" {
		return
	}
	a.replica = endpointID
	holds.replicas.count++
	holds.replicas.tokens += replicaTokens(a.request)
}

// dropReplica records that the copy of an attempt that has ended is no longer needed.
func (t *Table) dropReplica(a *attempt) {
	holds := t.endpoints[a.replica]
	if a.replica == "" || holds == nil {
		return
	}
	holds.replicas.count = max(holds.replicas.count-1, 0) // the engine may have left the list and returned
	holds.replicas.tokens = max(holds.replicas.tokens-replicaTokens(a.request), 0)
}

// Continuation returns the choice of the engine that holds a copy, to continue the request's run
// there. It returns false if the engine is no longer listed, runs another version than the request
// resumes, or may not take it now.
func (t *Table) Continuation(now time.Time, r Request, endpointID string) (Choice, bool) {
	e, reason := t.continuationAt(now, r, endpointID)
	if e == nil || reason != eligibility.Eligible {
		return Choice{}, false
	}
	return Choice{Endpoint: e.Endpoint, Slowdown: e.slowdown}, true
}

// ContinuationReason returns whether the engine that holds a copy may take the request now, or why not.
// It returns false if the engine never may.
func (t *Table) ContinuationReason(now time.Time, r Request, endpointID string) (reason eligibility.Reason, listed bool) {
	e, reason := t.continuationAt(now, r, endpointID)
	return reason, e != nil
}

// continuationAt returns the engine that holds a copy, and whether it may take the request now. It
// returns nil if the engine never may.
func (t *Table) continuationAt(now time.Time, r Request, endpointID string) (*endpoint, eligibility.Reason) {
	e := t.endpoints[endpointID]
	if e == nil || e.Leaving || !r.accepts(e.Version) {
		return nil, eligibility.OtherVersion
	}
	q := query{table: t, service: t.service(r.Service), request: r, now: now}
	return e, q.eligibility(e)
}

// Continued returns what a run reads from the copy that it continues, for Place. It has no source,
// since nothing is moved.
func Continued(r Request) memory.Fetch { return memory.Fetch{Tokens: r.Prompt.Tokens} }
