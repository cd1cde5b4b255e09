// Package agent implements the agent process, which runs beside the endpoints. It accepts
// offers from entries, leaves decisions to package dispatch, and runs the work.
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
	// DefaultHeartbeat is the default time between heartbeats to each entry.
	DefaultHeartbeat = time.Second

	// outboxSize bounds the control messages queued for an entry that does not read them.
	outboxSize = 4096
)

// LocalEndpoint is an endpoint of the agent with its driver.
type LocalEndpoint struct {
	Description dispatch.Endpoint
	Driver      endpoint.Driver
}

// Options configures an Agent.
type Options struct {
	Name       string
	DataCentre string
	Heartbeat  time.Duration // between heartbeats to each entry, 0 for DefaultHeartbeat
	Hold       time.Duration // how long a slot is held for its start, 0 for the default
	QueueBound int           // maximum queued offers per target, 0 for the default
	Endpoints  []LocalEndpoint
	Metrics    tally.Scope
	Versions   SettingsRelay
}

// SettingsRelay holds the settings that the agent relays between entries. The agent's own
// decisions never depend on them.
type SettingsRelay interface {
	Version() uint64
	// Announced records that a peer holds the version. fetch requests it from that peer.
	Announced(version uint64, fetch func(context.Context, message.SettingsRequest) (message.SettingsReply, error))
	Reply(message.SettingsRequest) message.SettingsReply
}

// Agent is an agent process. Create it with New.
type Agent struct {
	options   Options
	drivers   map[string]endpoint.Driver
	lifecycle *lifecycle.Lifecycle
	pool      workers.Pool
	metrics   tally.Scope

	mu          sync.Mutex
	runContext  context.Context   // parent context of all runs, cancelled when Serve returns
	core        dispatch.Core     // decides; Agent carries out its actions
	owners      map[uint64]*owner // connections from entries, by id
	runs        map[queue.Key]*run
	lastOwner   uint64        // id of the newest owner
	wakeup      chan struct{} // signals that the core's next deadline may have changed
	recent      recent.Ring[RecentEnd]
	workDone    chan struct{} // signalled each time a run or a stream ends
	openStreams int           // attempts whose stream is still open

	contents quarantine.Table // request contents under which endpoints have crashed, as observed or reported
	crashes  map[string]crash // last crash by endpoint
}

var log = logs.For("agent")

// New returns an agent that is not yet listening.
func New(o Options) *Agent {
	a := &Agent{
		options:   o,
		drivers:   map[string]endpoint.Driver{},
		lifecycle: lifecycle.New(),
		metrics:   o.Metrics,
		core:      dispatch.Core{Hold: o.Hold, Bound: o.QueueBound},
		owners:    map[uint64]*owner{},
		runs:      map[queue.Key]*run{},
		wakeup:    make(chan struct{}, 1),
		workDone:  make(chan struct{}, 1),
		crashes:   map[string]crash{},
		recent:    recent.New[RecentEnd](recentSize),
	}
	if a.options.Heartbeat <= 0 {
		a.options.Heartbeat = DefaultHeartbeat
	}
	if a.metrics == nil {
		a.metrics = tally.NoopScope
	}
	for _, l := range o.Endpoints {
		a.core.Add(l.Description)
		a.drivers[l.Description.Name] = l.Driver
	}
	return a
}

// Serve accepts connections until ctx is done or the listener is closed.
func (a *Agent) Serve(ctx context.Context, l link.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer a.pool.Close()
	a.mu.Lock()
	a.runContext = ctx
	a.mu.Unlock()
	a.lifecycle.Ready()
	log.Infof("Listening for entries on %s.", l.Address())
	go a.runTimers(ctx)
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

// minTickInterval is the shortest time between two timer calls to the core.
const minTickInterval = time.Millisecond

// runTimers calls the core when its next deadline is due or when wake was called, and
// sends heartbeats.
func (a *Agent) runTimers(ctx context.Context) {
	heartbeatTimer := time.NewTimer(a.options.Heartbeat)
	defer heartbeatTimer.Stop()
	timer := time.NewTimer(minTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeatTimer.C:
			a.heartbeat()
			heartbeatTimer.Reset(a.options.Heartbeat)
		case <-timer.C:
		case <-a.wakeup:
		}
		a.mu.Lock()
		now := steady.Now()
		a.perform(a.core.Tick(now))
		timer.Reset(max(minTickInterval, a.core.Next(now).Sub(now)))
		a.mu.Unlock()
	}
}

// heartbeat sends the load of each target to every owner and updates the load metrics.
func (a *Agent) heartbeat() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.contents.Expire(steady.Now())
	h := a.loadReport()
	for _, o := range a.owners {
		o.send(h)
	}
	for _, l := range h.Loads {
		s := a.metrics.Tagged(map[string]string{"target": l.Target})
		s.Gauge("slots").Update(float64(l.Slots))
		s.Gauge("free").Update(float64(l.Free))
	}
}

func (a *Agent) loadReport() message.Heartbeat {
	return message.Heartbeat{
		Settings: a.settingsVersion(),
		Loads:    a.core.Loads(steady.Now()),
		Leaving:  a.core.Leaving(),
	}
}

func (a *Agent) settingsVersion() uint64 {
	return a.options.Versions.Version()
}

// wake makes the timer loop call the core.
func (a *Agent) wake() { workers.Signal(a.wakeup) }

// State returns the agent's lifecycle state.
func (a *Agent) State() lifecycle.State { return a.lifecycle.State() }

// Stop refuses new work and waits until all running work has ended and its ends are sent
// to the owners, or ctx is done.
func (a *Agent) Stop(ctx context.Context) error {
	a.mu.Lock()
	a.lifecycle.Stop()
	actions := a.core.Leave(steady.Now())
	for _, o := range a.owners {
		o.send(message.Leaving{})
	}
	a.perform(actions)
	a.mu.Unlock()
	log.Info("Shutting down; no new work is accepted.")
	defer a.lifecycle.Done()
	if err := workers.WaitFor(ctx, a.workDone, a.isIdle); err != nil {
		return fmt.Errorf("agent: work still running at shutdown: %w", err)
	}
	log.Info("Drained: all work has ended.")
	return nil
}

func (a *Agent) isIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Idle() && a.openStreams == 0
}
