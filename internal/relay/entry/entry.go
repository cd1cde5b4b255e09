// Package entry implements the entry process, which accepts requests from callers. It owns
// each accepted request until the response is written, leaves decisions to package binding,
// and exchanges messages with agents.
//
// Lock order: Entry.mu, then call.mu. Nothing blocks while Entry.mu is held.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"foxcross.dev/coord/binding"
	"foxcross.dev/coord/limit"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/result"
	"foxcross.dev/coord/subset"
	"foxcross.dev/foxcross/internal/lifecycle"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/relay/recent"
	"foxcross.dev/foxcross/internal/relay/versions"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"

	"github.com/uber-go/tally/v4"
)

const (
	// DefaultMaxBody is the default size limit of a request body, in bytes.
	DefaultMaxBody = 8 << 20
	// DefaultListInterval is the default time between reads of the member list.
	DefaultListInterval = time.Second
	// outboxSize bounds the control messages queued for an agent that does not read them.
	outboxSize = 16384
)

var log = logs.For("entry")

// Options configures an Entry.
type Options struct {
	Name               string
	DataCentre         string
	Dialer             link.Dialer
	Members            kv.Members
	Settings           *versions.Holder
	Metrics            tally.Scope
	Seed               uint64        // seeds the random choice among equally good agents
	MaxBody            int           // bytes, 0 for DefaultMaxBody
	MaxRequests        int           // maximum open requests, 0 for binding.DefaultRequests
	MaxAgents          int           // maximum agents to connect to, 0 for subset.Default
	Fanout             int           // agents that a request is offered to at once, 0 for the default
	MemberListInterval time.Duration // interval between reads of the member list, 0 for DefaultListInterval
	Claims             Claims        // if nil, idempotency keys are refused
}

// Claims claims idempotency keys for requests that must not be repeated.
type Claims interface {
	// Claim blocks until the key belongs to this request alone. The returned function
	// releases the key, for a request that was not run.
	Claim(ctx context.Context, key string) (release func(), err error)
}

// Entry is an entry process. Create it with New.
type Entry struct {
	options   Options
	lifecycle *lifecycle.Lifecycle
	pool      workers.Pool
	metrics   tally.Scope

	mu          sync.Mutex
	core        binding.Core // decides; Entry carries out its actions
	calls       map[message.RequestID]*call
	attempts    map[attemptKey]*attempt
	agents      map[string]*agentConn // by name; being dialled or connected
	teams       limit.Teams
	contents    quarantine.Table // request contents under which endpoints have crashed, as agents report
	liveEntries int              // live entries in the member list
	watcher     bool             // whether this entry is one of its data centre's watchers
	wakeup      chan struct{}    // signals that the core's next deadline may have changed
	requestDone chan struct{}    // signalled each time a request ends
	recent      recent.Ring[RecentResult]
}

// New returns an entry that is not yet running.
func New(o Options) *Entry {
	if o.MaxBody <= 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.MaxAgents <= 0 {
		o.MaxAgents = subset.Default
	}
	if o.MaxRequests <= 0 {
		o.MaxRequests = binding.DefaultRequests
	}
	if o.MemberListInterval <= 0 {
		o.MemberListInterval = DefaultListInterval
	}
	e := &Entry{
		options:     o,
		lifecycle:   lifecycle.New(),
		metrics:     o.Metrics,
		calls:       map[message.RequestID]*call{},
		attempts:    map[attemptKey]*attempt{},
		agents:      map[string]*agentConn{},
		liveEntries: 1,
		recent:      recent.New[RecentResult](recentSize),
		watcher:     true,
		wakeup:      make(chan struct{}, 1),
		requestDone: make(chan struct{}, 1),
	}
	e.core = binding.Core{
		Rand:     rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
		Fanout:   o.Fanout,
		Requests: o.MaxRequests,
	}
	e.pool.MaxWorkers = o.MaxRequests // one worker per request: an attempt never waits for one
	if e.metrics == nil {
		e.metrics = tally.NoopScope
	}
	return e
}

// Run maintains the connections to agents and runs the core's timers until ctx is done.
func (e *Entry) Run(ctx context.Context) {
	defer e.pool.Close()
	e.options.Settings.OnChange(e.broadcastVersion)
	go e.runTimers(ctx)
	e.followMembers(ctx)
}

// minTickInterval is the shortest time between two timer calls to the core.
const minTickInterval = time.Millisecond

// runTimers calls the core when its next deadline is due or when wake was called.
func (e *Entry) runTimers(ctx context.Context) {
	timer := time.NewTimer(minTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wakeup:
		}
		e.mu.Lock()
		e.perform(e.core.Tick(steady.Now()))
		if at, ok := e.core.Next(); ok {
			timer.Reset(max(minTickInterval, steady.Until(at)))
		}
		e.mu.Unlock()
	}
}

// wake makes the timer loop call the core.
func (e *Entry) wake() { workers.Signal(e.wakeup) }

// Ready reports whether the load balancer may send requests to this entry.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Settings.Version() > 0 && e.core.Targets() > 0 {
		e.lifecycle.Ready()
	}
	return e.lifecycle.State() == lifecycle.Serving
}

// LiveEntries returns the number of live entries in the member list, at least 1.
func (e *Entry) LiveEntries() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.liveEntries
}

// IsWatcher reports whether this entry is one of the few in its data centre that
// watch the settings in the platform's key-value service.
func (e *Entry) IsWatcher() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.watcher
}

// State returns the entry's lifecycle state.
func (e *Entry) State() lifecycle.State { return e.lifecycle.State() }

// FailReadiness makes the readiness check fail. Requests are still accepted, because the
// balancer needs a moment to notice.
func (e *Entry) FailReadiness() { e.lifecycle.Stop() }

// Drain refuses new requests and waits until all open requests are answered or ctx is
// done.
func (e *Entry) Drain(ctx context.Context) error {
	e.lifecycle.Stop()
	e.mu.Lock()
	e.core.Drain()
	e.mu.Unlock()
	defer e.lifecycle.Done()
	if err := workers.WaitFor(ctx, e.requestDone, func() bool { return e.openRequests() == 0 }); err != nil {
		return fmt.Errorf("entry: requests still open at shutdown: %w", err)
	}
	log.Info("Drained: all requests are answered.")
	return nil
}

// openRequests returns the number of requests whose answer is not yet written.
func (e *Entry) openRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

// accept checks quarantine and the team's limit and passes the request to the core.
func (e *Entry) accept(q binding.Request, s message.Start, a limit.Allowance) (*call, *result.Error) {
	now := steady.Now()
	c := newCall(q, s)
	if e.hasCrashes() {
		if refusal := e.checkQuarantine(now, c.content()); refusal != nil {
			return nil, refusal
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	team := q.Terms.Team
	ok, retry := e.teams.Acquire(now, team, a.Share(e.liveEntries))
	if !ok {
		return nil, &result.Error{Code: result.TeamLimit, Run: result.NotRun, RetryAfter: retry, Reason: "team " + team}
	}
	id, actions := e.core.Accept(now, q)
	c.id = id
	e.calls[id] = c
	e.perform(actions)
	e.wake()
	return c, nil
}

// release removes a call after its response is written or its caller has disconnected.
func (e *Entry) release(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.perform(e.core.Hangup(c.id))
	delete(e.calls, c.id)
	e.teams.Release(c.request.Terms.Team)
	workers.Signal(e.requestDone)
}

// perform carries out the core's actions. Entry.mu must be held.
func (e *Entry) perform(actions []binding.Action) {
	for _, x := range actions {
		switch x := x.(type) {
		case binding.Send:
			if c := e.agents[x.Agent]; c != nil {
				c.send(x.Message)
			}
		case binding.Start:
			e.startAttempt(x)
		case binding.Cancel:
			e.cancelAttempt(x)
		case binding.Finish:
			e.finish(x)
		}
	}
}

// finish passes the final result to the caller's handler and records it.
func (e *Entry) finish(x binding.Finish) {
	c := e.calls[x.Request]
	if c == nil {
		return
	}
	c.put(finished{x})
	e.recent.Add(recentResult(c, x))
	e.metrics.Tagged(map[string]string{
		"class": c.request.Terms.Class,
		"code":  x.Code.Entry().Name,
	}).Counter("requests").Inc(1)
}
