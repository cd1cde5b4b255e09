package dispatch

import (
	"slices"
	"time"

	"foxcross.dev/coord/result"
)

// OwnerLost drops the offers of a connection that is gone, and stops its
// repeatable work. Work that may not be repeated runs to its end.
func (c *Core) OwnerLost(now time.Time, owner uint64) []Action {
	for _, n := range c.names {
		p := c.pools[n]
		for _, i := range p.queue.Items() {
			if i.Key.Owner == owner {
				p.queue.Remove(i.Key)
			}
		}
	}
	for _, w := range c.pick(func(w *work) bool { return w.item.Key.Owner == owner }) {
		switch {
		case w.state == held:
			c.release(w)
		case w.state == running && w.item.Offer.Terms.Repeatable:
			c.stop(w, result.EndpointLost)
		}
	}
	c.fillAll(now)
	return c.take()
}

func (c *Core) fillAll(now time.Time) {
	for _, n := range c.names {
		c.fill(now, c.pools[n])
	}
}

// pick returns the work that matches, in an order that is the same each run.
func (c *Core) pick(match func(*work) bool) []*work {
	var all []*work
	for _, w := range c.work {
		if match(w) {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b *work) int {
		if a.worseThan(b) {
			return -1
		}
		return 1
	})
	return all
}

// Leave makes the agent take no new work. Queued offers and held slots are
// declined; running work goes on.
func (c *Core) Leave(time.Time) []Action {
	c.leaving = true
	for _, n := range c.names {
		p := c.pools[n]
		for _, i := range p.queue.Items() {
			p.queue.Remove(i.Key)
			c.decline(i.Key, i.Offer.Attempt, result.AgentLeaving)
		}
	}
	for _, w := range c.pick(func(w *work) bool { return w.state == held }) {
		c.release(w)
		c.decline(w.item.Key, w.item.Offer.Attempt, result.AgentLeaving)
	}
	return c.take()
}
