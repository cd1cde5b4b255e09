package binding

import (
	"math"
	"time"

	"foxcross.dev/coord/health"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
)

// recordFailure records a failure of an agent, which may eject it within the bound on ejected
// agents.
func (c *Core) recordFailure(now time.Time, a *agent) {
	if a == nil {
		return
	}
	ejected := 0
	for _, o := range c.agents {
		if o.circuit.State() == health.Ejected {
			ejected++
		}
	}
	a.circuit.Failed(now, health.MayEject(ejected, len(c.agents)))
}

// handleLostStart handles a started attempt whose result is lost.
func (c *Core) handleLostStart(now time.Time, r *request) {
	m := message.End{Request: r.id, Attempt: r.attempt, Code: result.EndpointLost, Run: result.Unknown}
	c.retry(now, r, m, true)
}

// retry offers the request again if it is repeatable and its failed attempts, its
// class's budget and the response sent so far allow it. If spend is set, the retry counts as a
// failure and against the budget.
func (c *Core) retry(now time.Time, r *request, m message.End, spend bool) {
	code := m.Code
	if spend {
		r.failures++
	}
	switch {
	case !r.Terms.Repeatable:
	case r.unresumable:
		code = result.Unresumable
	case spend && (r.failures >= maxFailures || !c.spendRetry(r)):
		code = result.RetriesUsed
	default:
		r.waitingSince = now
		c.reoffer(now, r)
		return
	}
	c.close(r, Finish{Request: r.id, Code: code, Run: m.Run, RetryAfter: c.retryAfter(r), End: m})
}

// Abandon handles the end of an attempt like End, but never retries the request.
func (c *Core) Abandon(now time.Time, name string, m message.End) []Action {
	r := c.requests[m.Request]
	if r == nil || r.state != started || r.attempt != m.Attempt || r.startAgent != name {
		return c.takeActions()
	}
	c.recordFailure(now, c.agents[name])
	c.close(r, Finish{Request: r.id, Code: m.Code, Run: m.Run, RetryAfter: c.retryAfter(r), End: m})
	return c.takeActions()
}

// reoffer starts a new attempt and offers it. The agent of the last attempt gets no offer before
// the others have been tried.
func (c *Core) reoffer(now time.Time, r *request) {
	if r.attempt == math.MaxUint8 {
		c.close(r, Finish{Request: r.id, Code: result.RetriesUsed, Run: r.run(), RetryAfter: c.retryAfter(r)})
		return
	}
	last := c.unassign(r)
	r.fire(unbind)
	r.attempt++
	clear(r.offers)
	if c.agents[last] != nil {
		r.offers[last] = failed
	}
	c.widen(now, r)
}

// unassign removes the request from the agent to which its start was sent, and returns the
// agent's name, empty for none.
func (c *Core) unassign(r *request) string {
	last := r.startAgent
	r.startAgent = ""
	if a := c.agents[last]; a != nil {
		a.started--
	}
	return last
}

// earnRetries adds RetryPermille thousandths of a retry to the class's budget for a new request.
func (c *Core) earnRetries(q Request) {
	b, ok := c.budgets[q.Terms.Class]
	if !ok {
		b = retryBurst
	}
	c.budgets[q.Terms.Class] = min(retryBurst, b+float64(q.RetryPermille)/1000)
}

func (c *Core) spendRetry(r *request) bool {
	if c.budgets[r.Terms.Class] < 1 {
		return false
	}
	c.budgets[r.Terms.Class]--
	return true
}
