package binding

import (
	"slices"
	"time"

	"foxcross.dev/coord/health"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/rendezvous"
)

// agent is an agent with a connection.
type agent struct {
	name         string
	hash         uint64
	leaving      bool
	roundTrip    time.Duration // round-trip time of the connection
	circuit      health.Circuit
	routes       map[string]*route
	started      int // attempts that run at the agent
	cachedBlocks int // leading blocks that it has received of the prompt being placed, else 0
}

// route is one target at one agent.
type route struct {
	agent      *agent
	load       message.Load
	reportedAt int64 // time of the last report, in ns since 1970
	sent       int   // offers sent since the last report
}

// mayOffer reports whether an offer may be sent to the agent now.
func (a *agent) mayOffer(now time.Time) bool {
	return !a.leaving && a.circuit.Allows(now, a.started)
}

// AgentUp adds an agent whose connection has opened.
func (c *Core) AgentUp(now time.Time, name string, roundTrip time.Duration) []Action {
	c.init()
	if c.agents[name] != nil {
		c.removeAgent(now, name)
	}
	c.agents[name] = &agent{name: name, hash: rendezvous.Hash(name), roundTrip: roundTrip, routes: map[string]*route{}}
	return c.takeActions()
}

// AgentDown handles the loss of an agent's connection. Offers to the agent have not run,
// started attempts may have run.
func (c *Core) AgentDown(now time.Time, name string) []Action {
	if c.agents[name] != nil {
		c.removeAgent(now, name)
	}
	return c.takeActions()
}

func (c *Core) removeAgent(now time.Time, name string) {
	a := c.agents[name]
	delete(c.agents, name)
	for target, r := range a.routes {
		c.removeRoute(target, r)
	}
	for _, r := range c.sorted() {
		switch {
		case r.startAgent == name:
			c.handleLostStart(now, r)
		case r.offers[name] == waiting:
			r.offers[name] = failed
			c.widen(now, r)
		}
	}
}

func (c *Core) removeRoute(target string, r *route) {
	c.routes[target] = slices.DeleteFunc(c.routes[target], func(o *route) bool { return o == r })
	if len(c.routes[target]) == 0 {
		delete(c.routes, target)
	}
}

// AgentLeaving records that an agent accepts no new work, whatever the source of the information.
func (c *Core) AgentLeaving(name string) {
	if a := c.agents[name]; a != nil {
		a.leaving = true
	}
}

// Uses reports whether the agent has open offers or running attempts of this entry.
func (c *Core) Uses(name string) bool {
	for _, r := range c.requests {
		if r.startAgent == name || r.offers[name] == waiting {
			return true
		}
	}
	return false
}

// Heartbeat records an agent's report of its loads.
func (c *Core) Heartbeat(now time.Time, name string, h message.Heartbeat) []Action {
	a := c.agents[name]
	if a == nil {
		return nil
	}
	a.leaving = a.leaving || h.Leaving
	for _, l := range h.Loads {
		r := a.routes[l.Target]
		if r == nil {
			r = &route{agent: a}
			a.routes[l.Target] = r
			c.routes[l.Target] = append(c.routes[l.Target], r)
			c.offerWaiting(now, l.Target)
		}
		r.load = l
		r.reportedAt = now.UnixNano()
		r.sent = 0
	}
	return c.takeActions()
}

// offerWaiting offers requests without an open offer over a new route.
func (c *Core) offerWaiting(now time.Time, target string) {
	for _, r := range c.sorted() {
		if r.Target == target && r.waiting() == 0 && r.state == offering {
			c.widen(now, r)
		}
	}
}
