// The assignment of slots to queued offers, and the preemption of lower-tier work.
//
// Rule: while an endpoint has a free slot, the first offer of the queue holds a
// slot at the endpoint that suits it best. Without a free slot, an offer that would miss
// its target by waiting for a slot, and meets it by starting now, holds the slot of
// work of a lower tier. That work is stopped when the start arrives, not before
// (start.go). A slot that becomes free before the start is used instead.
// Inputs: the queue, the endpoints' learned limits, health and work, the time.
// Units: slots; times since the entry accepted the request.
// Never: work is stopped for an offer of its own or a lower tier, if its class
// is not preemptible and repeatable, or if it exceeded its class's starvation bound before it got
// its slot.

package dispatch

import (
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/queue"
)

// preemptLead is how long before its deadline a request may preempt, as a multiple of the mean
// time between two slots becoming free.
const preemptLead = 1.5

// fill assigns free slots to the next offers of the queue, and then preempting slots.
func (c *Core) fill(now time.Time, p *pool) {
	p.promotePreempting(now)
	for p.queue.Len() > 0 {
		item := p.queue.Peek(now, p.capacity())
		e := p.bestEndpoint(now, item)
		if e == nil {
			c.preempt(now, p)
			return
		}
		c.hold(now, p, e, item, false)
	}
}

// promotePreempting assigns free slots to held work whose start would have stopped other work.
func (p *pool) promotePreempting(now time.Time) {
	for _, e := range p.endpoints {
		for w := e.firstPreempting(); w != nil; w = e.firstPreempting() {
			if e.freeSlots(now, latencyTarget(w.item)) <= 0 {
				break
			}
			e.promote(w)
		}
	}
}

// preempt holds the slots of lower-tier work for offers that would otherwise miss their
// target. The work is not stopped before the start arrives.
func (c *Core) preempt(now time.Time, p *pool) {
	for tier := range message.Tiers - 1 {
		for {
			item := p.queue.PeekTier(tier, now)
			if item == nil || !p.urgent(now, item) {
				break
			}
			e := p.mostPreemptible(now, tier)
			if e == nil {
				break
			}
			c.hold(now, p, e, item, true)
		}
	}
}

// urgent reports whether the item would miss its target by waiting for a slot, and
// would meet it by starting now.
func (p *pool) urgent(now time.Time, i *queue.Item) bool {
	return !now.Before(p.preemptAt(i)) && !i.Deadline.Before(now)
}

func (p *pool) preemptAt(i *queue.Item) time.Time {
	return i.Deadline.Add(-time.Duration(preemptLead * float64(p.slotInterval())))
}

func (p *pool) mostPreemptible(now time.Time, tier int) *endpoint {
	var best *endpoint
	most := 0
	for _, e := range p.endpoints {
		if !e.circuit.Allows(now, e.occupied()) {
			continue
		}
		if s := e.preemptible(tier); s > most {
			most = s
			best = e
		}
	}
	return best
}

func (c *Core) hold(now time.Time, p *pool, e *endpoint, i *queue.Item, preempt bool) {
	at, bounded := i.StarveAt()
	w := &work{item: i, endpoint: e, preempt: preempt, heldUntil: now.Add(c.holdTime())}
	w.guarded = bounded && !at.After(now)
	p.queue.Take(i)
	p.classes[i.Offer.Terms.Class]++
	c.work[i.Key] = w
	e.add(w)
	c.emit(Reply{Owner: i.Key.Owner, Message: message.Ready{
		Request: i.Key.Request,
		Attempt: i.Offer.Attempt,
		Hold:    c.holdTime(),
		Preempt: preempt,
	}})
}

func (c *Core) holdTime() time.Duration {
	if c.Hold > 0 {
		return c.Hold
	}
	return DefaultHold
}

// nextUrgent returns the earlier of next and the time at which a queued offer becomes urgent.
func (p *pool) nextUrgent(now, next time.Time) time.Time {
	for tier := range message.Tiers - 1 {
		i := p.queue.PeekTier(tier, now)
		if i == nil {
			continue
		}
		if at := p.preemptAt(i); at.After(now) && at.Before(next) {
			next = at
		}
	}
	return next
}
