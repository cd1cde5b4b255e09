// Package gateway accepts callers' requests and forwards each directly to the endpoint that
// placement chooses. A process that runs a gateway is called an entry. The gateway is the only
// owner of a request: it alone sends it, retries it where that is allowed, and answers it.
//
// The path of a request, file by file:
//
//	handler.go    serves the request
//	accept.go     reads it: settings, size, class, team, deadline
//	deny.go       denies what is missing from the settings, or answers "not ready"
//	capacity.go   limits open requests
//	bodies.go     limits the memory of bodies
//	upload.go     reads its body
//	forward.go    makes attempts until there is a response
//	attempts.go   chooses an endpoint and records the attempt
//	admission.go  sends it, holds it for a while, or refuses it
//	returns.go    places in line of refused callers
//	shares.go     the standing of its team under contention
//	signals.go    applies the signals of endpoints in responses
//	sharing.go    exchanges events with other entries
//	replicas.go   has runs copied to a second engine, and continues them there after a crash
//	header.go     makes the header for the endpoint
//	event.go      result of an attempt, from its response or error
//	runs.go       counts requests that an endpoint began to run, for the usage of teams
//	outcome.go    decides how to continue: retry, relay, resume, fail
//	content.go    refuses requests whose content has crashed endpoints
//	suspects.go   state of such contents
//	held.go       their records in the store
//	trial.go      runs trials of held contents
//	claim.go      frees claims of trials that the store did not confirm
//	response.go   relays a response
//	stream.go     relays a stream, and resumes it after a break
//	resumption.go finds where the streams go on that callers resume
//	pauses.go     counts foreseen and seen pauses of streams
//	report.go     writes the log line and the metrics of the request
//
// Others: server.go, idle.go and unread.go (callers' connections), stop.go (graceful shutdown),
// snapshot.go (state for entries that have just started), dump.go (state for operators).
//
// Locks: nothing blocks while capacity.mu, bodyMemory.mu or dispatcher.mu is held. Directory.mu may
// be held when dispatcher.mu or suspects.mu is locked, and dispatcher.mu when that of peers.Group
// is; capacity.mu and bodyMemory.mu are held together with none of these.
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

// Options configure a gateway.
type Options struct {
	Process driver.Process
	Driver  driver.Driver
	Owner   uint64 // incarnation of this process
	Seed    uint64 // of the random number generator
	Metrics tally.Scope
	// OnRunStart is called for each request of a team that an endpoint began to run, without any lock
	// held. It may be nil.
	OnRunStart func(team string)
	// Records store which contents are held, for entries without live peers and for a power loss of
	// all entries. They may be nil.
	Records driver.Records
}

// Gateway is the forwarding part of an entry. Create it with New. It is safe for concurrent use.
type Gateway struct {
	options        Options
	startedAt      time.Time
	fields         driver.HeaderFields
	droppedFields  map[string]bool // header fields of callers that are not forwarded
	responseFields upstream.HeaderNames
	pool           upstream.Pool
	directory      *directory.Directory
	lifecycle      *lifecycle.Lifecycle
	refusing       atomic.Bool               // set near the end of a graceful shutdown
	abortAt        atomic.Pointer[time.Time] // when it aborts open requests, nil before it
	stopping       context.Context           // done once open requests are aborted
	abortOpen      context.CancelCauseFunc
	capacity       capacity
	bodyMemory     bodyMemory
	headMemory     headMemory
	callerConns    callerConns
	dispatcher     dispatcher
	suspects       suspects
	foreseenPauses pauseCounter

	endpointsKeepIDs atomic.Bool // when they restart, at least one of the list
}

// New returns a gateway with its own directory.
func New(o Options) *Gateway {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	f := o.Driver.HeaderFields()
	g := &Gateway{
		options:        o,
		startedAt:      steady.Now(),
		fields:         f,
		droppedFields:  droppedFields(f),
		responseFields: upstream.HeaderNames{RequestID: f.RequestID, NotRun: f.NotRun},
		lifecycle:      lifecycle.New(),
	}
	g.stopping, g.abortOpen = context.WithCancelCause(context.Background())
	g.capacity.init(o.Process.Limits)
	g.bodyMemory.init(o.Process.Limits)
	g.headMemory.init(o.Process.Limits)
	g.callerConns.init(g.capacity.maxOpen)
	g.pool.Buffers.SetMemoryLimit(o.Process.Limits.MemoryBytes)
	g.dispatcher.init(o)
	g.directory = directory.New(g.dispatcher.setServices, g.setEndpoints, g.dispatcher.setEvacuated)
	g.directory.SetBounds(o.Process.Bounds)
	return g
}

// Directory returns the gateway's directory of settings and endpoints.
func (g *Gateway) Directory() *directory.Directory { return g.directory }

// EventReceiver returns the receiver of other entries' events.
func (g *Gateway) EventReceiver() peers.Listener { return listener{g} }

// listener receives the events of other entries.
type listener struct{ *Gateway }

// HandleEvents implements peers.Listener.
func (l listener) HandleEvents(owner uint64, events []peers.Event) {
	l.applyPartEvents(owner, events)
	l.dispatcher.applyEvents(owner, events)
	l.applyContentEvents(owner, events)
}

// HandleLateEvents implements peers.Listener. Where a stream began stays true however late that is
// known.
func (l listener) HandleLateEvents(owner uint64, events []peers.Event) {
	l.dispatcher.applyLateStreams(owner, events)
}

// MemberGone implements peers.Listener.
func (l listener) MemberGone(owner uint64) { l.dispatcher.dropMember(owner) }

// setEndpoints sets the list of endpoints and records the crashes of those that have restarted.
func (g *Gateway) setEndpoints(list []placement.Endpoint) {
	g.dispatcher.setEndpoints(list)
	g.noteIDs(list)
	g.detectRestarts(list)
}

// Join sets the group to which the gateway broadcasts the events of its attempts.
func (g *Gateway) Join(group *peers.Group) { g.dispatcher.join(group) }

// SetBounds applies changed bounds of the process.
func (g *Gateway) SetBounds(b driver.Bounds) {
	g.directory.SetBounds(b)
	g.dispatcher.setBounds(b)
}

// Owner returns the incarnation of this process.
func (g *Gateway) Owner() uint64 { return g.options.Owner }

// expireInterval is the time between two removals of other entries' attempts whose deadline has
// passed, and of expired state of contents.
const expireInterval = time.Second

// Run maintains the gateway's connections and its view of other entries' attempts until ctx is
// done.
func (g *Gateway) Run(ctx context.Context) {
	go workers.Every(ctx, expireInterval, func(now time.Time) {
		g.dispatcher.removeExpired(now, g.directory.EndpointsConfirmed())
		g.suspects.removeExpired(now)
	})
	withoutProcess := map[string]time.Time{}
	go workers.Every(ctx, processInterval, func(now time.Time) { g.learnProcesses(now, withoutProcess) })
	g.pool.Run(ctx)
}

// Ready reports whether the load balancer may send requests here.
func (g *Gateway) Ready() bool {
	if g.directory.Ready() {
		g.lifecycle.Ready()
	}
	return g.lifecycle.State() == lifecycle.Serving
}

// Draining reports whether the process is stopping.
func (g *Gateway) Draining() bool { return g.lifecycle.State() == lifecycle.Draining }

// State returns the process's lifecycle state.
func (g *Gateway) State() lifecycle.State { return g.lifecycle.State() }
