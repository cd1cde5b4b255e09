package binding

import (
	"time"

	"foxcross.dev/coord/message"
)

// widen offers the request to more agents. If no agent is left and no offer is open,
// the request is refused or offered again after a pause.
func (c *Core) widen(now time.Time, r *request) {
	if r.state != offering {
		return
	}
	fanout := c.Fanout
	if fanout <= 0 {
		fanout = DefaultFanout
	}
	chosen := c.choose(now, r, fanout)
	r.nextWiden = now.Add(r.widenAfter(now))
	if len(r.offers) == 0 && len(chosen) > 0 && chosen[0].hasFreeSlot() {
		chosen = chosen[:1]
		r.nextWiden = now.Add(chosen[0].responseTime())
	}
	for _, o := range chosen {
		c.offer(now, r, o)
	}
	if r.waiting() == 0 {
		c.exhausted(now, r)
		return
	}
	c.resetTimer(r)
}

func (c *Core) offer(now time.Time, r *request, o *route) {
	r.offers[o.agent.name] = waiting
	o.sent++
	terms := r.Terms
	if r.preempted >= maxPreempted {
		terms.Preemptible = false
	}
	c.emit(Send{Agent: o.agent.name, Message: message.Offer{
		Request:      r.id,
		Attempt:      r.attempt,
		Target:       r.Target,
		Terms:        terms,
		Age:          now.Sub(r.accepted),
		PromptTokens: r.PromptTokens,
		Prefix:       r.Prefix,
	}})
}

// widenAfter returns the time until the next widen: a fraction of the time left to the target.
func (r *request) widenAfter(now time.Time) time.Duration {
	slack := r.accepted.Add(r.Terms.FirstToken).Sub(now)
	return min(maxWiden, max(minWiden, slack/slackDivisor))
}
