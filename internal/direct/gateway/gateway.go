// Package gateway takes callers' requests and forwards each straight to the
// endpoint that placement chooses. It is the only owner of a request: it alone
// sends it, repeats it where that is allowed, and answers.
//
// Lock order: Gateway.mu stands alone; nothing blocks while it is held.
package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"foxcross.dev/coord/budget"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/lifecycle"
	"foxcross.dev/foxcross/internal/logs"

	"github.com/uber-go/tally/v4"
)

var log = logs.For("gateway")

// connectionShare of the connections that an endpoint takes may carry requests;
// the rest is for those that are idle or being closed.
const connectionShare = 0.8

// Options are what a gateway is made of.
type Options struct {
	Process driver.Process
	Driver  driver.Driver
	Owner   uint64 // of this life of the process
	Seed    uint64 // of the choices among equals
	Metrics tally.Scope
}

// Gateway is the forwarding part of an entry. Create it with New.
type Gateway struct {
	options   Options
	fields    driver.Fields
	own       map[string]bool // header fields of callers that are not passed on
	names     upstream.Names
	pool      upstream.Pool
	directory *directory.Directory
	life      *lifecycle.Life
	refuse    atomic.Bool // near the end of a clean stop

	mu      sync.Mutex
	bounds  driver.Bounds
	group   *peers.Group
	table   placement.Table
	budgets map[string]*budget.Budget // by service
	random  *rand.Rand
	number  uint64
	open    int
	room    room
	onIdle  chan struct{}
}

// New returns a gateway and the directory that it follows.
func New(o Options) *Gateway {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	f := o.Driver.Fields()
	g := &Gateway{
		options: o,
		fields:  f,
		own:     ownFields(f),
		names:   upstream.Names{RequestID: f.RequestID, NotRun: f.NotRun},
		life:    lifecycle.New(),
		bounds:  o.Process.Bounds,
		budgets: map[string]*budget.Budget{},
		random:  rand.New(rand.NewPCG(o.Seed, o.Owner)),
		onIdle:  make(chan struct{}, 1),
		room:    roomOf(o.Process.Limits),
		table: placement.Table{
			DataCentre: o.Process.DataCentre,
			Self:       o.Owner,
			ReuseLife:  o.Process.Bounds.ReuseWithin,
		},
	}
	g.directory = directory.New(g.takeSettings, g.takeEndpoints)
	g.directory.SetBounds(g.bounds)
	return g
}

// Directory returns what the gateway knows of settings and endpoints.
func (g *Gateway) Directory() *directory.Directory { return g.directory }

// Join lets the gateway tell other entries of its work.
func (g *Gateway) Join(group *peers.Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group = group
}

// SetBounds takes in changed bounds of the process.
func (g *Gateway) SetBounds(b driver.Bounds) {
	g.directory.SetBounds(b)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bounds = b
	g.table.ReuseLife = b.ReuseWithin
	for _, x := range g.budgets {
		x.Rules = rulesOf(b)
	}
}

func rulesOf(b driver.Bounds) budget.Rules {
	return budget.Rules{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack}
}

func (g *Gateway) takeSettings(f directory.InForce) {
	services := servicesOf(f.Snapshot)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetServices(services)
}

// servicesOf returns what placement is to know of each service: the strictest
// pause among the classes that go there.
func servicesOf(s settings.Snapshot) []placement.Service {
	pauses := map[string]time.Duration{}
	for _, name := range s.Classes() {
		c, _ := s.Class(name)
		for _, share := range c.Route.Split {
			pause := c.Terms.BetweenTokens
			if !c.Route.Streaming || pause <= 0 {
				pauses[share.Service] += 0
				continue
			}
			if old := pauses[share.Service]; old <= 0 || pause < old {
				pauses[share.Service] = pause
			}
		}
	}
	var all []placement.Service
	for name, pause := range pauses {
		i, _ := s.ServiceNamed(name)
		all = append(all, placement.Service{
			Name:          name,
			MemoryTokens:  i.MemoryTokens,
			MaxRequests:   int(connectionShare * float64(i.MaxConnections)),
			EventTokens:   i.EventTokens,
			BetweenTokens: pause,
		})
	}
	return all
}

func (g *Gateway) takeEndpoints(list []placement.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetEndpoints(list)
}

// Heard implements peers.Listener.
func (g *Gateway) Heard(owner uint64, notes []peers.Note) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range notes {
		id := placement.AttemptID{Owner: owner, Number: n.Number}
		at := now.Add(-time.Duration(n.AgeMS) * time.Millisecond)
		switch n.Kind {
		case peers.Placed:
			if n.Job != nil {
				g.table.Place(at, id, n.Endpoint, *n.Job)
			}
		case peers.Begun:
			g.table.FirstEvent(at, id)
		case peers.Ended:
			g.table.End(at, id, n.Outcome)
		}
	}
}

// Lost implements peers.Listener.
func (g *Gateway) Lost(owner uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.DropOwner(time.Now(), owner)
}

// tell passes a note on to the other entries. Gateway.mu is held.
func (g *Gateway) tell(n peers.Note) {
	if g.group != nil {
		g.group.Tell(n)
	}
}

// entries returns the number of live entries. Gateway.mu is held.
func (g *Gateway) entries() int {
	if g.group == nil {
		return 1
	}
	return g.group.Live()
}

// budget returns the budget of a service. Gateway.mu is held.
func (g *Gateway) budget(service string) *budget.Budget {
	b := g.budgets[service]
	if b == nil {
		b = &budget.Budget{Rules: rulesOf(g.bounds)}
		g.budgets[service] = b
	}
	return b
}

// Owner returns the number of this life of the process.
func (g *Gateway) Owner() uint64 { return g.options.Owner }

// Grace returns the time from the signal to stop to the end by force.
func (g *Gateway) Grace() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bounds.StopGrace
}
