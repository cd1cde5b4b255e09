package dispatch

import (
	"slices"
	"time"

	"foxcross.dev/coord/result"
)

// OwnerLost removes the offers of a lost connection and stops its
// repeatable work. Work that is not repeatable runs to its end.
func (c *Core) OwnerLost(now time.Time, owner uint64) []Action {
	for _, n := range c.targets {
		p := c.pools[n]
		for _, i := range p.queue.Items() {
			if i.Key.Owner == owner {
				p.queue.Remove(i.Key)
			}
		}
	}
	for _, w := range c.filter(func(w *work) bool { return w.item.Key.Owner == owner }) {
		switch {
		case w.state == held:
			c.release(w)
		case w.state == running && w.item.Offer.Terms.Repeatable:
			c.stop(w, result.EndpointLost)
		}
	}
	c.fillAll(now)
	return c.takeActions()
}

func (c *Core) fillAll(now time.Time) {
	for _, n := range c.targets {
		c.fill(now, c.pools[n])
	}
}

// filter returns the work for which match returns true, in a deterministic order.
func (c *Core) filter(match func(*work) bool) []*work {
	var matched []*work
	for _, w := range c.work {
		if match(w) {
			matched = append(matched, w)
		}
	}
	slices.SortFunc(matched, func(a, b *work) int {
		if a.lowerPriorityThan(b) {
			return -1
		}
		return 1
	})
	return matched
}

// Leave makes the agent decline new work, queued offers and held slots. Running work
// continues.
func (c *Core) Leave(time.Time) []Action {
	c.leaving = true
	for _, n := range c.targets {
		p := c.pools[n]
		for _, i := range p.queue.Items() {
			p.queue.Remove(i.Key)
			c.decline(i.Key, i.Offer.Attempt, result.AgentLeaving)
		}
	}
	for _, w := range c.filter(func(w *work) bool { return w.state == held }) {
		c.release(w)
		c.decline(w.item.Key, w.item.Offer.Attempt, result.AgentLeaving)
	}
	return c.takeActions()
}
