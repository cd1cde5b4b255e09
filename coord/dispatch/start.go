package dispatch

import (
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/queue"
	"foxcross.dev/coord/result"
)

// Start runs an attempt in the slot that is held for it. Without such a slot the
// attempt ends as not run.
func (c *Core) Start(now time.Time, owner uint64, m message.Start) []Action {
	key := queue.Key{Owner: owner, Request: m.Request}
	w := c.work[key]
	if w != nil && w.item.Offer.Attempt == m.Attempt && w.state != held {
		return c.takeActions() // a duplicate of a start that was executed
	}
	if w == nil || w.item.Offer.Attempt != m.Attempt {
		c.finish(key, m.Attempt, result.SlotGone, result.NotRun)
		return c.takeActions()
	}
	if c.leaving {
		c.release(w)
		c.finish(key, m.Attempt, result.AgentLeaving, result.NotRun)
		return c.takeActions()
	}
	if w.preempt && !c.preemptVictim(now, w) {
		p := c.release(w)
		c.finish(key, m.Attempt, result.SlotGone, result.NotRun)
		c.fill(now, p)
		return c.takeActions()
	}
	c.run(now, w, m)
	return c.takeActions()
}

// preemptVictim stops lower-tier work for a preempting start, unless a slot has
// become free. It reports whether the start may run.
func (c *Core) preemptVictim(now time.Time, w *work) bool {
	if w.endpoint.freeSlots(now, latencyTarget(w.item)) > 0 {
		return true
	}
	v := w.endpoint.victim(w.item.Offer.Terms.Tier)
	if v == nil {
		return false
	}
	c.stop(v, result.Preempted)
	return true
}

func (c *Core) stop(w *work, code result.Code) {
	w.state = stopping
	c.emit(Stop{Key: w.item.Key, Endpoint: w.endpoint.Name, Code: code})
	c.finish(w.item.Key, w.item.Offer.Attempt, code, result.Ran)
}

func (c *Core) finish(k queue.Key, a message.Attempt, code result.Code, run result.Execution) {
	c.emit(Finish{Key: k, End: message.End{Request: k.Request, Attempt: a, Code: code, Run: run}})
}

func (c *Core) run(now time.Time, w *work, m message.Start) {
	w.state = running
	w.endpoint.active++
	w.endpoint.promote(w)
	w.started = now
	w.lastToken = now
	o := w.item.Offer
	w.endpoint.prefixes.Put(o.Prefix, w.endpoint.Name)
	c.emit(Run{Key: w.item.Key, Endpoint: w.endpoint.Name, Terms: o.Terms, Target: o.Target, Start: m})
}
