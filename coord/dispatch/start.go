package dispatch

import (
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/queue"
	"foxcross.dev/coord/result"
)

// Start runs an attempt in the slot held for it. Without such a slot the
// attempt ends as not run.
func (c *Core) Start(now time.Time, owner uint64, m message.Start) []Action {
	key := queue.Key{Owner: owner, Request: m.Request}
	w := c.work[key]
	if w != nil && w.item.Offer.Attempt == m.Attempt && w.state != held {
		return c.take() // a copy of a start that was obeyed
	}
	if w == nil || w.item.Offer.Attempt != m.Attempt {
		c.finish(key, m.Attempt, result.SlotGone, result.NotRun)
		return c.take()
	}
	if c.leaving {
		c.release(w)
		c.finish(key, m.Attempt, result.AgentLeaving, result.NotRun)
		return c.take()
	}
	if w.preempt && !c.makeRoom(now, w) {
		p := c.release(w)
		c.finish(key, m.Attempt, result.SlotGone, result.NotRun)
		c.fill(now, p)
		return c.take()
	}
	c.run(now, w, m)
	return c.take()
}

// makeRoom stops lower-tier work for a preempting start, unless a slot has
// fallen free meanwhile.
func (c *Core) makeRoom(now time.Time, w *work) bool {
	if w.endpoint.room(now, sampleTarget(w.item)) > 0 {
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

func (c *Core) finish(k queue.Key, a message.Attempt, code result.Code, run result.Run) {
	c.emit(Finish{Key: k, End: message.End{Request: k.Request, Attempt: a, Code: code, Run: run}})
}

func (c *Core) run(now time.Time, w *work, m message.Start) {
	w.state = running
	w.endpoint.active++
	w.endpoint.promote(w)
	w.started = now
	w.last = now
	o := w.item.Offer
	w.endpoint.cached.Put(o.Prefix, w.endpoint.Name)
	c.emit(Run{Key: w.item.Key, Endpoint: w.endpoint.Name, Terms: o.Terms, Target: o.Target, Start: m})
}
