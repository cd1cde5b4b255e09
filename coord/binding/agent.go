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
	name    string
	hash    uint64
	leaving bool
	trip    time.Duration // round trip of the connection
	circuit health.Circuit
	routes  map[string]*route
	started int // attempts running there
	seen    int // blocks of the prompt that is being placed, else 0
}

// route is what is known of one target at one agent.
type route struct {
	agent    *agent
	load     message.Load
	reported int64 // time of the report in ns
	sent     int   // offers sent since the last report
}

// mayOffer tells whether the agent may get an offer now.
func (p *agent) mayOffer(now time.Time) bool {
	return !p.leaving && p.circuit.Allows(now, p.started)
}

// AgentUp makes an agent known whose connection has opened.
func (c *Core) AgentUp(now time.Time, name string, trip time.Duration) []Action {
	c.init()
	if c.agents[name] != nil {
		c.dropAgent(now, name)
	}
	c.agents[name] = &agent{name: name, hash: rendezvous.Hash(name), trip: trip, routes: map[string]*route{}}
	return c.take()
}

// AgentDown handles the loss of an agent's connection: its offers were not run,
// its starts may have been.
func (c *Core) AgentDown(now time.Time, name string) []Action {
	if c.agents[name] != nil {
		c.dropAgent(now, name)
	}
	return c.take()
}

func (c *Core) dropAgent(now time.Time, name string) {
	p := c.agents[name]
	delete(c.agents, name)
	for target, r := range p.routes {
		c.unroute(target, r)
	}
	for _, r := range c.sorted() {
		switch {
		case r.startedAt == name:
			c.lost(now, r)
		case r.offers[name] == waiting:
			r.offers[name] = failed
			c.widen(now, r)
		}
	}
}

func (c *Core) unroute(target string, r *route) {
	c.routes[target] = slices.DeleteFunc(c.routes[target], func(o *route) bool { return o == r })
	if len(c.routes[target]) == 0 {
		delete(c.routes, target)
	}
}

// AgentLeaving notes that an agent takes no new work, whoever says so.
func (c *Core) AgentLeaving(name string) {
	if p := c.agents[name]; p != nil {
		p.leaving = true
	}
}

// Uses tells whether the agent has offers or work of this entry.
func (c *Core) Uses(name string) bool {
	for _, r := range c.requests {
		if r.startedAt == name || r.offers[name] == waiting {
			return true
		}
	}
	return false
}

// Heartbeat takes an agent's report.
func (c *Core) Heartbeat(now time.Time, name string, h message.Heartbeat) []Action {
	p := c.agents[name]
	if p == nil {
		return nil
	}
	p.leaving = p.leaving || h.Leaving
	for _, l := range h.Loads {
		r := p.routes[l.Target]
		if r == nil {
			r = &route{agent: p}
			p.routes[l.Target] = r
			c.routes[l.Target] = append(c.routes[l.Target], r)
			c.wakeWaiting(now, l.Target)
		}
		r.load = l
		r.reported = now.UnixNano()
		r.sent = 0
	}
	return c.take()
}

// wakeWaiting lets requests that have no offer out look at a new route.
func (c *Core) wakeWaiting(now time.Time, target string) {
	for _, r := range c.sorted() {
		if r.Target == target && r.waiting() == 0 && r.state == offering {
			c.widen(now, r)
		}
	}
}
