package binding

import (
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
)

// stallBound returns the time without progress after which an attempt counts as lost. It is longer
// than the agent's own bound, which normally applies first.
func (r *request) stallBound() time.Duration {
	if r.Terms.StallAfter <= 0 {
		return time.Hour
	}
	return r.Terms.StallAfter + stallGrace
}

// Ready answers an agent's ready message with the start, or withdraws the offer.
func (c *Core) Ready(now time.Time, name string, m message.Ready) []Action {
	r := c.requests[m.Request]
	if r == nil || r.attempt != m.Attempt || r.offers[name] != waiting || !r.fire(bind) {
		c.emit(Send{Agent: name, Message: message.Withdraw{Request: m.Request, Attempt: m.Attempt}})
		return c.takeActions()
	}
	c.withdraw(r, name)
	r.startAgent = name
	r.ranBefore = r.mayHaveRun
	r.mayHaveRun = true
	r.lastProgress = now
	if a := c.agents[name]; a != nil {
		a.started++
	}
	c.prefixes.Put(r.Prefix, name)
	c.resetTimer(r)
	c.emit(Start{Agent: name, Request: r.id, Attempt: r.attempt})
	return c.takeActions()
}

// Declined records that an agent declined an offer.
func (c *Core) Declined(now time.Time, name string, m message.Declined) []Action {
	if m.Code == result.AgentLeaving {
		c.AgentLeaving(name)
	}
	r := c.requests[m.Request]
	if r == nil || r.attempt != m.Attempt || r.offers[name] != waiting {
		return c.takeActions()
	}
	r.offers[name] = failed
	if m.Code == result.AgentFull || m.Code == result.Evicted {
		r.offers[name] = full
	}
	c.widen(now, r)
	return c.takeActions()
}

// Progress reports whether a chunk of a response belongs to the current attempt
// and so may be forwarded to the caller. unresumable means that another endpoint
// can't continue the response once this chunk is sent.
func (c *Core) Progress(now time.Time, id message.RequestID, a message.Attempt, unresumable bool) bool {
	r := c.requests[id]
	if r == nil || r.state != started || r.attempt != a {
		return false
	}
	r.unresumable = r.unresumable || unresumable
	r.lastProgress = now
	return true
}

// End handles the end of an attempt.
func (c *Core) End(now time.Time, name string, m message.End) []Action {
	r := c.requests[m.Request]
	if r == nil || r.state != started || r.attempt != m.Attempt || r.startAgent != name {
		return c.takeActions()
	}
	a := c.agents[name]
	switch {
	case m.Code == result.OK:
		if a != nil {
			a.circuit.Succeeded(now)
		}
		c.close(r, Finish{Request: r.id, Code: result.OK, Run: result.Ran, End: m})
	case m.Run == result.NotRun:
		r.mayHaveRun = r.ranBefore
		c.reoffer(now, r)
	case m.Code == result.Preempted:
		r.preempted++
		c.retry(now, r, m, false)
	default:
		c.recordFailure(now, a)
		c.retry(now, r, m, true)
	}
	return c.takeActions()
}

// Hangup ends a request whose caller has closed its connection.
func (c *Core) Hangup(id message.RequestID) []Action {
	r := c.requests[id]
	if r == nil {
		return nil
	}
	run := r.run()
	if r.state == started {
		run = result.Ran
		c.emit(Cancel{Agent: r.startAgent, Request: r.id, Attempt: r.attempt})
	}
	c.withdraw(r, "")
	c.close(r, Finish{Request: r.id, Code: result.Cancelled, Run: run})
	return c.takeActions()
}

// Tick offers due requests to more agents, refuses those past their GiveUp, and handles stalled
// attempts.
func (c *Core) Tick(now time.Time) []Action {
	for c.timers.Len() > 0 && !c.timers.First().dueAt.After(now) {
		r := c.timers.First()
		switch {
		case r.state == started:
			c.checkStall(now, r)
		case !r.giveUpAt().After(now):
			c.refuse(r, result.GaveUp)
		default:
			c.widen(now, r)
		}
	}
	return c.takeActions()
}

func (c *Core) checkStall(now time.Time, r *request) {
	if now.Sub(r.lastProgress) < r.stallBound() {
		c.resetTimer(r)
		return
	}
	c.emit(Cancel{Agent: r.startAgent, Request: r.id, Attempt: r.attempt})
	c.recordFailure(now, c.agents[r.startAgent])
	m := message.End{Request: r.id, Attempt: r.attempt, Code: result.Stalled, Run: result.Unknown}
	c.retry(now, r, m, true)
}
