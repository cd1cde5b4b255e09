// Package gateway takes callers' requests and forwards each straight to the
// endpoint that placement chooses. It is the only owner of a request: it alone
// sends it, retries it where that is allowed, and answers.
//
// The path of a request, file by file:
//
//	handler.go    the request comes and gets its answer
//	accept.go     it is read: settings, size, class, team, deadline
//	deny.go       what the settings lack is denied, or not yet
//	capacity.go   this entry has room for it, or not
//	bodies.go     what bodies may take up
//	upload.go     its body is read
//	forward.go    attempt after attempt, until there is an answer
//	attempts.go   an endpoint is chosen
//	signals.go    what responses say of endpoints
//	sharing.go    other entries are told, and tell
//	header.go     the header that the endpoint gets
//	event.go      what happened to an attempt, from its answer or error
//	runs.go       whether an endpoint began to run it, for the usage of teams
//	outcome.go    what follows from it: retry, pass on, resume, fail
//	content.go    what is asked may have to be kept from endpoints
//	suspects.go   what is known of such contents
//	held.go       which contents are, in the store's records
//	whole.go      an answer is passed on
//	stream.go     a stream is passed on, and resumed where it broke
//	report.go     the log line and the figures of the request
//
// Beside it: server.go and idle.go (callers' connections), stop.go (the clean stop),
// dump.go (the state for operators).
//
// Locks: nothing blocks while capacity.mu, bodies.mu or attempts.mu is held. Directory.mu may be
// held when attempts.mu or suspects.mu is taken, and attempts.mu when that of peers.Group is;
// capacity.mu and bodies.mu stand alone.
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/lifecycle"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"

	"github.com/uber-go/tally/v4"
)

var log = logs.For("gateway")

// Options are what a gateway is made of.
type Options struct {
	Process driver.Process
	Driver  driver.Driver
	Owner   uint64 // incarnation of this process
	Seed    uint64 // of random choices
	Metrics tally.Scope
	// Began is told of each request of a team that an endpoint began to run; nil for not. No
	// lock is held.
	Began func(team string)
	// Records keep which contents are held, for entries that hear of no other one and for a
	// loss of power of all; nil for not.
	Records driver.Records
}

// Gateway is the forwarding part of an entry. Create it with New. It is safe for
// concurrent use.
type Gateway struct {
	options   Options
	startedAt time.Time
	fields    driver.Fields
	dropped   map[string]bool // header fields of callers that are not passed on
	answers   upstream.Names
	pool      upstream.Pool
	directory *directory.Directory
	life      *lifecycle.Life
	refusing  atomic.Bool // near the end of a clean stop
	capacity  capacity
	bodies    bodies
	attempts  attempts
	suspects  suspects
}

// New returns a gateway and the directory that it follows.
func New(o Options) *Gateway {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	f := o.Driver.Fields()
	g := &Gateway{
		options:   o,
		startedAt: steady.Now(),
		fields:    f,
		dropped:   droppedFields(f),
		answers:   upstream.Names{RequestID: f.RequestID, NotRun: f.NotRun},
		life:      lifecycle.New(),
	}
	g.capacity.init(o.Process.Limits)
	g.bodies.init(o.Process.Limits)
	g.attempts.init(o)
	g.directory = directory.New(g.attempts.takeSettings, g.takeEndpoints, g.attempts.takeEvacuated)
	g.directory.SetBounds(o.Process.Bounds)
	return g
}

// Directory returns what the gateway knows of settings and endpoints.
func (g *Gateway) Directory() *directory.Directory { return g.directory }

// Listener returns what takes in the messages of other entries.
func (g *Gateway) Listener() peers.Listener { return listener{g} }

// listener takes in the messages of other entries.
type listener struct{ *Gateway }

// TakeEvents implements peers.Listener.
func (l listener) TakeEvents(owner uint64, events []peers.Event) {
	l.attempts.takeEvents(owner, events)
	l.takeContentEvents(owner, events)
}

// MemberGone implements peers.Listener.
func (l listener) MemberGone(owner uint64) { l.attempts.memberGone(owner) }

// takeEndpoints takes in the list of endpoints.
func (g *Gateway) takeEndpoints(list []placement.Endpoint) {
	g.attempts.takeEndpoints(list)
	g.takeRestarts(list)
}

// Join lets the gateway tell other entries of its attempts.
func (g *Gateway) Join(group *peers.Group) { g.attempts.join(group) }

// SetBounds takes in changed bounds of the process.
func (g *Gateway) SetBounds(b driver.Bounds) {
	g.directory.SetBounds(b)
	g.attempts.setBounds(b)
}

// Owner returns the incarnation of this process.
func (g *Gateway) Owner() uint64 { return g.options.Owner }

// expireInterval is how often attempts of other entries are searched for those whose deadline
// has passed.
const expireInterval = time.Second

// Run keeps the gateway's connections and its view of other entries' attempts
// until ctx is done.
func (g *Gateway) Run(ctx context.Context) {
	go workers.Every(ctx, expireInterval, func(now time.Time) {
		g.attempts.expire(now)
		g.suspects.expire(now)
	})
	g.pool.Run(ctx)
}

// Ready tells whether the balancer may send requests here.
func (g *Gateway) Ready() bool {
	if g.directory.Known() {
		g.life.Ready()
	}
	return g.life.State() == lifecycle.Serving
}

// Draining tells whether the process is stopping.
func (g *Gateway) Draining() bool { return g.life.State() == lifecycle.Draining }

// State returns where the process is in its life.
func (g *Gateway) State() lifecycle.State { return g.life.State() }
