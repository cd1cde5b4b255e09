package binding

import (
	"time"

	"foxcross.dev/coord/message"
)

// widen offers the request to more agents; when none is left and none has yet
// to answer, the request is refused or tried again after a pause.
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
	if len(r.offers) == 0 && len(chosen) > 0 && chosen[0].hasRoom() {
		chosen = chosen[:1]
		r.nextWiden = now.Add(chosen[0].answerTime())
	}
	for _, o := range chosen {
		c.offer(now, r, o)
	}
	if r.waiting() == 0 {
		c.exhausted(now, r)
		return
	}
	c.rewake(r)
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

// widenAfter is a share of the time left to meet the target.
func (r *request) widenAfter(now time.Time) time.Duration {
	slack := r.accepted.Add(r.Terms.FirstToken).Sub(now)
	return min(maxWiden, max(minWiden, slack/slackShare))
}
