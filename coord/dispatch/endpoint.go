package dispatch

import (
	"time"

	"foxcross.dev/coord/affinity"
	"foxcross.dev/coord/health"
	"foxcross.dev/coord/limit"
	"foxcross.dev/coord/queue"
)

// Endpoint describes one local engine or service.
type Endpoint struct {
	Name    string
	Target  string // model or service that it serves
	MaxWork int    // most concurrent work, 0 for the learned limit only
}

// endpoint is the state of one local engine or service.
type endpoint struct {
	Endpoint
	learned            limit.Estimator
	circuit            health.Circuit
	prefixes           affinity.Table
	work               map[queue.Key]*work // held, running and stopping
	targets            map[time.Duration]int
	pendingPreemptions int // held work whose start will stop other work; it occupies no slot yet
	active             int // work on the endpoint: running or stopping
}

// state is the state of work.
type state uint8

const (
	held     state = iota // the ready message was sent, the start has not arrived
	running               // running on the endpoint
	stopping              // cancelled, not confirmed by the endpoint
)

// work is an offer that has left the queue.
type work struct {
	item      *queue.Item
	endpoint  *endpoint
	state     state
	preempt   bool // its start stops work of a lower tier
	guarded   bool // past its class's starvation bound when it was held: never preempted
	heldUntil time.Time
	started   time.Time
	lastToken time.Time // time of the last token
	tokens    int
}

// latencyTarget returns the target of the learned limit: the time between tokens
// for a model, the time of the whole response for a plain service.
func latencyTarget(i *queue.Item) time.Duration {
	if i.Offer.Terms.BetweenTokens > 0 {
		return i.Offer.Terms.BetweenTokens
	}
	return i.Offer.Terms.FirstToken
}

// occupied returns the number of slots in use, including those of stopping work.
func (e *endpoint) occupied() int { return len(e.work) - e.pendingPreemptions }

// promote assigns a slot to held work whose start would have stopped other work.
func (e *endpoint) promote(w *work) {
	if w.preempt {
		w.preempt = false
		e.pendingPreemptions--
	}
}

// limit returns the most concurrent work if work with the given target is added.
func (e *endpoint) limit(target time.Duration) int {
	most := e.learned.Limit(target)
	for d := range e.targets {
		most = min(most, e.learned.Limit(d))
	}
	if e.MaxWork > 0 {
		most = min(most, e.MaxWork)
	}
	return most
}

// strictestTarget returns the shortest target of the endpoint's work, 0 for none.
func (e *endpoint) strictestTarget() time.Duration {
	var shortest time.Duration
	for d := range e.targets {
		if shortest == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}

// freeSlots returns how many more requests with the target the endpoint may run. It may be
// negative.
func (e *endpoint) freeSlots(now time.Time, target time.Duration) int {
	occupied := e.occupied()
	if !e.circuit.Allows(now, occupied) {
		return 0
	}
	return e.limit(target) - occupied
}

func (e *endpoint) add(w *work) {
	target := latencyTarget(w.item)
	e.work[w.item.Key] = w
	e.targets[target]++
	if w.preempt {
		e.pendingPreemptions++
	}
}

func (e *endpoint) remove(w *work) {
	target := latencyTarget(w.item)
	delete(e.work, w.item.Key)
	e.promote(w)
	if w.state != held {
		e.active--
	}
	e.targets[target]--
	if e.targets[target] == 0 {
		delete(e.targets, target)
	}
}

// victim returns the running work to preempt for the given tier: of the lowest tier below it
// the work with the fewest tokens, nil for none. Work that is not repeatable is never chosen.
func (e *endpoint) victim(tier int) *work {
	var best *work
	for _, w := range e.work {
		if w.state != running || !w.mayBePreempted(tier) {
			continue
		}
		if best == nil || w.lowerPriorityThan(best) {
			best = w
		}
	}
	return best
}

func (w *work) mayBePreempted(tier int) bool {
	t := w.item.Offer.Terms
	return t.Tier > tier && t.Preemptible && t.Repeatable && !w.guarded
}

// lowerPriorityThan reports whether w is preempted before o. The key makes the order deterministic.
func (w *work) lowerPriorityThan(o *work) bool {
	a, b := w.item.Offer.Terms.Tier, o.item.Offer.Terms.Tier
	if a != b {
		return a > b
	}
	if w.tokens != o.tokens {
		return w.tokens < o.tokens
	}
	if !w.started.Equal(o.started) {
		return w.started.After(o.started)
	}
	if w.item.Key.Owner != o.item.Key.Owner {
		return w.item.Key.Owner > o.item.Key.Owner
	}
	return w.item.Key.Request > o.item.Key.Request
}

// firstPreempting returns the held work with the highest priority whose start would
// stop other work, or nil.
func (e *endpoint) firstPreempting() *work {
	if e.pendingPreemptions == 0 {
		return nil
	}
	var first *work
	for _, w := range e.work {
		if w.state != held || !w.preempt {
			continue
		}
		if first == nil || first.lowerPriorityThan(w) {
			first = w
		}
	}
	return first
}

// preemptible returns how much running work a start of the tier may stop, less the work that
// is claimed by held preempting slots.
func (e *endpoint) preemptible(tier int) int {
	count := 0
	for _, w := range e.work {
		if w.state == running && w.mayBePreempted(tier) {
			count++
		}
	}
	return count - e.pendingPreemptions
}
