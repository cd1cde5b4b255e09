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
	Name   string
	Target string // model or service it serves
	Most   int    // most work at once, 0 for none but the learned limit
}

// endpoint is the state of one local engine or service.
type endpoint struct {
	Endpoint
	learned limit.Learned
	circuit health.Circuit
	cached  affinity.Table
	work    map[queue.Key]*work // held, running and stopping
	targets map[time.Duration]int
	pending int // held work whose start is to stop other work; it takes no slot yet
	active  int // work on the endpoint, not held
}

// state of a piece of work.
type state uint8

const (
	held     state = iota // ready was sent, the start has not come
	running               // on the endpoint
	stopping              // cancelled, the endpoint has not confirmed
)

// work is an offer that has left the queue.
type work struct {
	item     *queue.Item
	endpoint *endpoint
	state    state
	preempt  bool // its start stops lower-tier work
	guarded  bool // started by the starvation guard: never preempted
	until    time.Time
	started  time.Time
	last     time.Time // last token
	tokens   int
}

// sampleTarget is the time that the limit is learned against: between tokens
// for a model, the whole answer for a plain service.
func sampleTarget(i *queue.Item) time.Duration {
	if i.Offer.Terms.BetweenTokens > 0 {
		return i.Offer.Terms.BetweenTokens
	}
	return i.Offer.Terms.FirstToken
}

// occupied counts the slots in use. Work that is being stopped still counts.
func (e *endpoint) occupied() int { return len(e.work) - e.pending }

// promote gives a slot to held work that was to stop other work.
func (e *endpoint) promote(w *work) {
	if w.preempt {
		w.preempt = false
		e.pending--
	}
}

// limit returns how much work may run once work with the target is added.
func (e *endpoint) limit(target time.Duration) int {
	most := e.learned.For(target)
	for d := range e.targets {
		most = min(most, e.learned.For(d))
	}
	if e.Most > 0 {
		most = min(most, e.Most)
	}
	return most
}

// strictest returns the strictest target that runs, or zero.
func (e *endpoint) strictest() time.Duration {
	var least time.Duration
	for d := range e.targets {
		if least == 0 || d < least {
			least = d
		}
	}
	return least
}

// room returns how many more pieces of work with the target fit.
func (e *endpoint) room(now time.Time, target time.Duration) int {
	occupied := e.occupied()
	if !e.circuit.Allows(now, occupied) {
		return 0
	}
	return e.limit(target) - occupied
}

func (e *endpoint) add(w *work) {
	target := sampleTarget(w.item)
	e.work[w.item.Key] = w
	e.targets[target]++
	if w.preempt {
		e.pending++
	}
}

func (e *endpoint) remove(w *work) {
	target := sampleTarget(w.item)
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

// victim returns the running work of the lowest tier below the given one that
// has produced least, or nil. Work that may not be repeated is never chosen.
func (e *endpoint) victim(tier int) *work {
	var best *work
	for _, w := range e.work {
		if w.state != running || !w.mayStop(tier) {
			continue
		}
		if best == nil || w.worseThan(best) {
			best = w
		}
	}
	return best
}

func (w *work) mayStop(tier int) bool {
	t := w.item.Offer.Terms
	return t.Tier > tier && t.Preemptible && t.Repeatable && !w.guarded
}

// worseThan orders victims; the key makes the order the same in every run.
func (w *work) worseThan(o *work) bool {
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

// firstPreempting returns the held work of the highest tier whose start would
// stop other work, or nil.
func (e *endpoint) firstPreempting() *work {
	if e.pending == 0 {
		return nil
	}
	var first *work
	for _, w := range e.work {
		if w.state != held || !w.preempt {
			continue
		}
		if first == nil || first.worseThan(w) {
			first = w
		}
	}
	return first
}

// stoppable counts running work that a start of the tier may stop, less what
// held preempting slots already count on.
func (e *endpoint) stoppable(tier int) int {
	count := 0
	for _, w := range e.work {
		if w.state == running && w.mayStop(tier) {
			count++
		}
	}
	return count - e.pending
}
