// Package agent is the process beside the endpoints: it takes offers over
// connections from entries, lets package dispatch decide, and runs the work.
//
// Lock order: Agent.mu, then run.mu. Nothing blocks while Agent.mu is held.
package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"foxcross.dev/coord/dispatch"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/queue"
	"foxcross.dev/foxcross/internal/lifecycle"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/relay/endpoint"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/relay/recent"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"

	"github.com/uber-go/tally/v4"
)

const (
	// DefaultHeartbeat is the time between reports to each entry.
	DefaultHeartbeat = time.Second

	// outboxSize bounds the control messages that wait for an entry that does not read.
	outboxSize = 4096
)

// Local is an endpoint beside the agent and its driver.
type Local struct {
	Description dispatch.Endpoint
	Driver      endpoint.Driver
}

// Options are what an agent is made of.
type Options struct {
	Name       string
	DataCentre string
	Heartbeat  time.Duration // between reports to each entry, 0 for DefaultHeartbeat
	Hold       time.Duration // how long a slot waits for its start, 0 for the default
	QueueBound int           // offers per target, 0 for the default
	Locals     []Local
	Metrics    tally.Scope
	Versions   Versions
}

// Versions is the settings that the agent passes between entries. It never
// needs them for its own decisions.
type Versions interface {
	Version() uint64
	// Announced notes that a peer holds the version; fetch asks it for that.
	Announced(version uint64, fetch func(context.Context, message.SettingsRequest) (message.SettingsReply, error))
	Reply(message.SettingsRequest) message.SettingsReply
}

// Agent is one agent process. Create it with New.
type Agent struct {
	options Options
	drivers map[string]endpoint.Driver
	life    *lifecycle.Life
	pool    workers.Pool
	metrics tally.Scope

	mu      sync.Mutex
	base    context.Context // of all runs, ends with Serve
	core    dispatch.Core
	owners  map[uint64]*owner
	runs    map[queue.Key]*run
	last    uint64
	kick    chan struct{}
	recent  recent.Ring[RecentEnd]
	onIdle  chan struct{}
	streams int // attempts whose stream is not over

	contents quarantine.Table // under which endpoints have crashed, as far as it was seen or told
	crashes  map[string]crash // the last one of each endpoint
}

var log = logs.For("agent")

// New returns an agent that is not yet listening.
func New(o Options) *Agent {
	a := &Agent{
		options: o,
		drivers: map[string]endpoint.Driver{},
		life:    lifecycle.New(),
		metrics: o.Metrics,
		core:    dispatch.Core{Hold: o.Hold, Bound: o.QueueBound},
		owners:  map[uint64]*owner{},
		runs:    map[queue.Key]*run{},
		kick:    make(chan struct{}, 1),
		onIdle:  make(chan struct{}, 1),
		crashes: map[string]crash{},
		recent:  recent.Of[RecentEnd](recentSize),
	}
	if a.options.Heartbeat <= 0 {
		a.options.Heartbeat = DefaultHeartbeat
	}
	if a.metrics == nil {
		a.metrics = tally.NoopScope
	}
	for _, l := range o.Locals {
		a.core.Add(l.Description)
		a.drivers[l.Description.Name] = l.Driver
	}
	return a
}

// Serve takes connections until ctx is done or the listener is closed.
func (a *Agent) Serve(ctx context.Context, l link.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer a.pool.Close()
	a.mu.Lock()
	a.base = ctx
	a.mu.Unlock()
	a.life.Ready()
	log.Infof("Serving on %s.", l.Address())
	go a.tick(ctx)
	for {
		s, err := l.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("agent: %w", err)
		}
		go a.serveOwner(ctx, s)
	}
}

// leastTick is the least time until the core is looked at again.
const leastTick = time.Millisecond

// tick calls the core when it has something to do, and sends heartbeats.
func (a *Agent) tick(ctx context.Context) {
	beat := time.NewTimer(a.options.Heartbeat)
	defer beat.Stop()
	timer := time.NewTimer(leastTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			a.heartbeat()
			beat.Reset(a.options.Heartbeat)
		case <-timer.C:
		case <-a.kick:
		}
		a.mu.Lock()
		now := steady.Now()
		a.perform(a.core.Tick(now))
		timer.Reset(max(leastTick, a.core.Next(now).Sub(now)))
		a.mu.Unlock()
	}
}

// heartbeat sends the loads to every owner.
func (a *Agent) heartbeat() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.contents.Expire(steady.Now())
	h := a.report()
	for _, o := range a.owners {
		o.send(h)
	}
	for _, l := range h.Loads {
		s := a.metrics.Tagged(map[string]string{"target": l.Target})
		s.Gauge("slots").Update(float64(l.Slots))
		s.Gauge("free").Update(float64(l.Free))
	}
}

func (a *Agent) report() message.Heartbeat {
	return message.Heartbeat{
		Settings: a.version(),
		Loads:    a.core.Loads(steady.Now()),
		Leaving:  a.core.Leaving(),
	}
}

func (a *Agent) version() uint64 {
	return a.options.Versions.Version()
}

// wake lets the tick loop look at the core again.
func (a *Agent) wake() { workers.Signal(a.kick) }

// State returns where the agent is in its life.
func (a *Agent) State() lifecycle.State { return a.life.State() }

// Stop takes no new work and waits until the running work has ended and the
// owners have its ends, or ctx is done.
func (a *Agent) Stop(ctx context.Context) error {
	a.mu.Lock()
	a.life.Stop()
	actions := a.core.Leave(steady.Now())
	for _, o := range a.owners {
		o.send(message.Leaving{})
	}
	a.perform(actions)
	a.mu.Unlock()
	log.Info("Leaving, taking no new work.")
	defer a.life.Done()
	if err := workers.Await(ctx, a.onIdle, a.idle); err != nil {
		return fmt.Errorf("agent: stopped with work left: %w", err)
	}
	log.Info("All work has ended.")
	return nil
}

func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Idle() && a.streams == 0
}
