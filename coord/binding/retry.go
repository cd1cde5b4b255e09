package binding

import (
	"math"
	"time"

	"foxcross.dev/coord/health"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
)

// blame counts a failure against an agent, within the bound on ejected ones.
func (c *Core) blame(now time.Time, p *agent) {
	if p == nil {
		return
	}
	ejected := 0
	for _, o := range c.agents {
		if o.circuit.State() == health.Ejected {
			ejected++
		}
	}
	p.circuit.Failed(now, health.MayEject(ejected, len(c.agents)))
}

// lost handles a start whose outcome can't be learned any more.
func (c *Core) lost(now time.Time, r *request) {
	m := message.End{Request: r.id, Attempt: r.attempt, Code: result.EndpointLost, Run: result.Unknown}
	c.retry(now, r, m, true)
}

// retry tries the request again if it may be repeated and its attempts, its
// class's budget and the answer so far allow it.
func (c *Core) retry(now time.Time, r *request, m message.End, spend bool) {
	code := m.Code
	if spend {
		r.failures++
	}
	switch {
	case !r.Terms.Repeatable:
	case r.stuck:
		code = result.Unresumable
	case spend && (r.failures >= maxFailures || !c.spendRetry(r)):
		code = result.RetriesUsed
	default:
		r.waits = now
		c.again(now, r)
		return
	}
	c.close(r, Finish{Request: r.id, Code: code, Run: m.Run, RetryAfter: c.retryAfter(r), End: m})
}

// Abandon is End for a request that is not to be tried again, whatever its class allows.
func (c *Core) Abandon(now time.Time, name string, m message.End) []Action {
	r := c.requests[m.Request]
	if r == nil || r.state != started || r.attempt != m.Attempt || r.startedAt != name {
		return c.take()
	}
	c.blame(now, c.agents[name])
	c.close(r, Finish{Request: r.id, Code: m.Code, Run: m.Run, RetryAfter: c.retryAfter(r), End: m})
	return c.take()
}

// again offers the request anew. The agent that had it is left out until the
// others have been asked.
func (c *Core) again(now time.Time, r *request) {
	if r.attempt == math.MaxUint8 {
		c.close(r, Finish{Request: r.id, Code: result.RetriesUsed, Run: r.run(), RetryAfter: c.retryAfter(r)})
		return
	}
	last := c.detach(r)
	r.fire(unbind)
	r.attempt++
	clear(r.offers)
	if c.agents[last] != nil {
		r.offers[last] = failed
	}
	c.widen(now, r)
}

// detach takes the request off the agent that has its start and returns the
// agent's name, empty if none has.
func (c *Core) detach(r *request) string {
	last := r.startedAt
	r.startedAt = ""
	if p := c.agents[last]; p != nil {
		p.started--
	}
	return last
}

// earnRetries adds the share of a fresh request to its class's budget.
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
