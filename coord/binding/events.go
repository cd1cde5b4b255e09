package binding

import (
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
)

// stallBound is later than the agent's own, which normally comes first.
func (r *request) stallBound() time.Duration {
	if r.Terms.StallAfter <= 0 {
		return time.Hour
	}
	return r.Terms.StallAfter + stallGrace
}

// Ready answers an agent's ready with the start, or gives the slot back.
func (c *Core) Ready(now time.Time, name string, m message.Ready) []Action {
	r := c.requests[m.Request]
	if r == nil || r.attempt != m.Attempt || r.offers[name] != waiting || !r.fire(bind) {
		c.emit(Send{Agent: name, Message: message.Withdraw{Request: m.Request, Attempt: m.Attempt}})
		return c.take()
	}
	c.withdraw(r, name)
	r.startedAt = name
	r.ranBefore = r.mayHaveRun
	r.mayHaveRun = true
	r.lastToken = now
	if p := c.agents[name]; p != nil {
		p.started++
	}
	c.seen.Put(r.Prefix, name)
	c.rewake(r)
	c.emit(Start{Agent: name, Request: r.id, Attempt: r.attempt})
	return c.take()
}

// Declined notes that an agent won't run an offer.
func (c *Core) Declined(now time.Time, name string, m message.Declined) []Action {
	if m.Code == result.AgentLeaving {
		c.AgentLeaving(name)
	}
	r := c.requests[m.Request]
	if r == nil || r.attempt != m.Attempt || r.offers[name] != waiting {
		return c.take()
	}
	r.offers[name] = failed
	if m.Code == result.AgentFull || m.Code == result.Evicted {
		r.offers[name] = full
	}
	c.widen(now, r)
	return c.take()
}

// Progress tells whether a piece of an answer belongs to the current attempt
// and so may be passed to the caller. Stuck says that the answer can't be
// continued by another endpoint once this piece is out.
func (c *Core) Progress(now time.Time, id message.RequestID, a message.Attempt, stuck bool) bool {
	r := c.requests[id]
	if r == nil || r.state != started || r.attempt != a {
		return false
	}
	r.stuck = r.stuck || stuck
	r.lastToken = now
	return true
}

// End handles the end of an attempt.
func (c *Core) End(now time.Time, name string, m message.End) []Action {
	r := c.requests[m.Request]
	if r == nil || r.state != started || r.attempt != m.Attempt || r.startedAt != name {
		return c.take()
	}
	p := c.agents[name]
	switch {
	case m.Code == result.OK:
		if p != nil {
			p.circuit.Succeeded(now)
		}
		c.close(r, Finish{Request: r.id, Code: result.OK, Run: result.Ran, End: m})
	case m.Run == result.NotRun:
		r.mayHaveRun = r.ranBefore
		c.again(now, r)
	case m.Code == result.Preempted:
		r.preempted++
		c.retry(now, r, m, false)
	default:
		c.blame(now, p)
		c.retry(now, r, m, true)
	}
	return c.take()
}

// Hangup ends a request whose caller has gone.
func (c *Core) Hangup(id message.RequestID) []Action {
	r := c.requests[id]
	if r == nil {
		return nil
	}
	run := r.run()
	if r.state == started {
		run = result.Ran
		c.emit(Cancel{Agent: r.startedAt, Request: r.id, Attempt: r.attempt})
	}
	c.withdraw(r, "")
	c.close(r, Finish{Request: r.id, Code: result.Cancelled, Run: run})
	return c.take()
}

// Tick widens, gives up and ends what stands still.
func (c *Core) Tick(now time.Time) []Action {
	for c.wakes.Len() > 0 && !c.wakes.First().wake.After(now) {
		r := c.wakes.First()
		switch {
		case r.state == started:
			c.checkStall(now, r)
		case !r.giveUpAt().After(now):
			c.refuse(r, result.GaveUp)
		default:
			c.widen(now, r)
		}
	}
	return c.take()
}

func (c *Core) checkStall(now time.Time, r *request) {
	if now.Sub(r.lastToken) < r.stallBound() {
		c.rewake(r)
		return
	}
	c.emit(Cancel{Agent: r.startedAt, Request: r.id, Attempt: r.attempt})
	c.blame(now, c.agents[r.startedAt])
	m := message.End{Request: r.id, Attempt: r.attempt, Code: result.Stalled, Run: result.Unknown}
	c.retry(now, r, m, true)
}
