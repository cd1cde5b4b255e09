// Package simulation runs real entries and agents over in-memory links, with stand-in
// engines, so that tests can use virtual time.
package simulation

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/relay/agent"
	"foxcross.dev/foxcross/internal/relay/claims"
	"foxcross.dev/foxcross/internal/relay/endpoint"
	"foxcross.dev/foxcross/internal/relay/entry"
	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/relay/versions"
	"foxcross.dev/foxcross/internal/testing/caller"
	"foxcross.dev/foxcross/internal/testing/history"
	"foxcross.dev/foxcross/internal/testing/memlink"
	"foxcross.dev/foxcross/internal/testing/standin"

	"foxcross.dev/coord/dispatch"
	"foxcross.dev/coord/settings"
)

// requestIDMark delimits the id of a request in its text.
const requestIDMark = "~"

// Simulation is a deployment under test. Create it with New.
type Simulation struct {
	Network           memlink.Network
	Store             standin.Store
	Recorder          history.Recorder
	Snapshot          settings.Snapshot
	MaxAgentsPerEntry int // most agents that an entry connects to, 0 for the default

	mu          sync.Mutex // guards the fields below
	ctx         context.Context
	cancel      context.CancelFunc
	agents      map[string]*Agent
	entries     []*Entry
	agentStarts int // number of agents started, restarts included
}

// Agent is an agent under test.
type Agent struct {
	*agent.Agent
	Name     string
	Engines  []*standin.Engine
	Versions *versions.Holder
	cancel   context.CancelFunc
	listener link.Listener
	options  agent.Options
}

// Entry is an entry under test.
type Entry struct {
	*entry.Entry
	Name   string
	Caller caller.Caller // without key and class
	Store  *versions.Store
	ctx    context.Context // ends when the entry is killed
	cancel context.CancelFunc
}

// New returns a simulation whose active settings are the tree. Messages take the delay.
func New(tree []byte, delay time.Duration) (*Simulation, error) {
	t := &Simulation{agents: map[string]*Agent{}}
	t.Network.Delay = delay
	t.Store.ListLag = memberListLag
	t.ctx, t.cancel = context.WithCancel(context.Background())
	parsed, err := settings.Parse(tree)
	if err != nil {
		return nil, err
	}
	if t.Snapshot, err = settings.Compile(parsed); err != nil {
		return nil, err
	}
	_, err = t.Store.Settings("setup", &versions.Holder{}).Commit(t.ctx, versions.Change{Tree: parsed})
	return t, err
}

// Close stops all agents and entries.
func (t *Simulation) Close() {
	t.cancel()
	for _, a := range t.Agents() {
		_ = a.listener.Close() // always nil
		t.Network.Cut(a.Name)
	}
}

// AddAgent starts an agent whose engines serve a model.
func (t *Simulation) AddAgent(name, model string, engines ...*standin.Engine) *Agent {
	o := agent.Options{Name: name}
	for n, e := range engines {
		e.OnStart = func(prompt string) { t.recordExecution(prompt, name) }
		o.Endpoints = append(o.Endpoints, agent.LocalEndpoint{
			Description: dispatch.Endpoint{Name: fmt.Sprintf("%s-%d", name, n), Target: model},
			Driver:      e,
		})
	}
	return t.startAgent(o, engines)
}

// AddService starts an agent that serves a plain service.
func (t *Simulation) AddService(name, service string, s *standin.Service) *Agent {
	s.OnStart = func(call string) { t.recordExecution(call, name) }
	return t.startAgent(agent.Options{Name: name, Endpoints: []agent.LocalEndpoint{{
		Description: dispatch.Endpoint{Name: name + "-0", Target: settings.ServiceTarget(service)},
		Driver:      endpoint.Driver(s),
	}}}, nil)
}

func (t *Simulation) startAgent(o agent.Options, engines []*standin.Engine) *Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &versions.Holder{ForwardOnly: true}
	t.agentStarts++
	t.recordVersions(fmt.Sprintf("%s.%d", o.Name, t.agentStarts), h)
	o.Versions = h
	ctx, cancel := context.WithCancel(t.ctx)
	a := &Agent{Agent: agent.New(o), Name: o.Name, Engines: engines, Versions: h, cancel: cancel, options: o}
	a.listener = t.Network.Listen(o.Name)
	t.Recorder.Add(history.Joined{Endpoint: o.Name, At: time.Now()})
	go func() { _ = a.Serve(ctx, a.listener) }() // ends with the simulation
	t.agents[o.Name] = a
	t.Store.SetMember(kv.Member{Name: o.Name, Role: kv.Agent, Address: o.Name})
	return a
}

// recordVersions records the settings versions that a process uses.
func (t *Simulation) recordVersions(process string, h *versions.Holder) {
	h.OnChange(func(s versions.State) {
		t.Recorder.Add(history.Activated{Process: process, Version: s.Root.Version, At: time.Now()})
	})
}

func (t *Simulation) recordExecution(text, endpoint string) {
	t.Recorder.Add(history.Executed{ID: requestIDIn(text), Endpoint: endpoint, At: time.Now()})
}

func requestIDIn(text string) string {
	_, after, _ := strings.Cut(text, requestIDMark)
	id, _, _ := strings.Cut(after, requestIDMark)
	return id
}

// KillEntry ends an entry at once. The connections of its callers break, and the member
// list shows it with a delay.
func (t *Simulation) KillEntry(e *Entry) {
	t.mu.Lock()
	t.entries = slices.DeleteFunc(t.entries, func(o *Entry) bool { return o == e })
	t.mu.Unlock()
	e.cancel()
	t.Store.RemoveMember(e.Name)
}

// memberListLag is the delay after which the member list shows a change.
const memberListLag = time.Second

// withKill returns a copy of ctx that also ends when the entry is killed.
func (e *Entry) withKill(ctx context.Context) (context.Context, context.CancelFunc) {
	joined, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(e.ctx, cancel)
	return joined, func() {
		stop()
		cancel()
	}
}

// StopEntry removes an entry from the member list and from Entries, drains it and stops it.
func (t *Simulation) StopEntry(ctx context.Context, e *Entry) error {
	t.mu.Lock()
	t.entries = slices.DeleteFunc(t.entries, func(o *Entry) bool { return o == e })
	t.Store.RemoveMember(e.Name)
	t.mu.Unlock()
	err := e.Drain(ctx)
	e.cancel()
	return err
}

// Entries returns the running entries in the order in which they were added.
func (t *Simulation) Entries() []*Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.entries)
}

// Agents returns the agents, sorted by name.
func (t *Simulation) Agents() []*Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*Agent
	for _, name := range slices.Sorted(maps.Keys(t.agents)) {
		all = append(all, t.agents[name])
	}
	return all
}

// AddEntry starts an entry.
func (t *Simulation) AddEntry(name string) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &versions.Holder{}
	t.recordVersions(name, h)
	ctx, cancel := context.WithCancel(t.ctx)
	e := &Entry{Name: name, Store: t.Store.Settings(name, h), ctx: ctx, cancel: cancel}
	batcher := claims.New(claims.Options{KeyValue: &t.Store, Owner: name, Entries: func() int { return e.LiveEntries() }})
	o := entry.Options{
		Name:      name,
		Dialer:    t.Network.From(name),
		Members:   &t.Store,
		Settings:  h,
		Seed:      uint64(len(t.entries) + 1),
		Claims:    batcher,
		MaxAgents: t.MaxAgentsPerEntry,
	}
	e.Entry = entry.New(o)
	e.Store.IsWatcher = e.IsWatcher
	e.Caller = caller.Caller{URL: "http://" + name, Client: caller.Direct(e.Handler())}
	go e.Store.Watch(ctx)
	go batcher.Run(ctx)
	go e.Run(ctx)
	t.entries = append(t.entries, e)
	t.Store.SetMember(kv.Member{Name: name, Role: kv.Entry, Address: name})
	return e
}

// Kill ends an agent at once.
func (t *Simulation) Kill(a *Agent) {
	a.cancel()
	_ = a.listener.Close() // always nil
	t.Network.Cut(a.Name)
}

// Restart starts a killed or stopped agent with the same options.
func (t *Simulation) Restart(a *Agent) *Agent {
	o := a.options
	return t.startAgent(o, a.Engines)
}

// Stop drains and stops an agent and removes it from the member list.
func (t *Simulation) Stop(ctx context.Context, a *Agent) error {
	t.Recorder.Add(history.Left{Endpoint: a.Name, At: time.Now()})
	err := a.Agent.Stop(ctx)
	t.Kill(a)
	t.Store.RemoveMember(a.Name)
	return err
}

// MarkLeaving marks an agent as leaving in the member list only.
func (t *Simulation) MarkLeaving(a *Agent) {
	t.Recorder.Add(history.Left{Endpoint: a.Name, At: time.Now()})
	t.Store.SetMember(kv.Member{Name: a.Name, Role: kv.Agent, Address: a.Name, Leaving: true})
}

// MarkRequestID returns the text by which executions of a request are attributed to it.
func MarkRequestID(id string) string { return requestIDMark + id + requestIDMark }

// Chat sends a chat request and records it and its response.
func (t *Simulation) Chat(ctx context.Context, e *Entry, q Request) caller.Answer {
	class, found := t.Snapshot.Class(q.Class)
	if !found {
		panic("simulation: no class " + q.Class)
	}
	prompt := q.text()
	t.Recorder.Add(history.Submitted{
		ID: q.ID, Class: q.Class, Tier: class.Terms.Tier, Repeatable: class.Terms.Repeatable,
		WantBody: standin.AnswerText([]string{prompt}, q.Tokens), At: time.Now(),
	})
	c := e.Caller
	c.Key = q.Team + keySuffix
	c.Class = q.Class
	c.MaxTokens = q.Tokens
	ctx, release := e.withKill(ctx)
	defer release()
	a := c.Chat(ctx, class.Model, prompt)
	t.recordAnswer(q.ID, a)
	return a
}

// Call calls a plain service and records the call and its response.
func (t *Simulation) Call(ctx context.Context, e *Entry, q Request, method, path string) caller.Answer {
	class, found := t.Snapshot.Class(q.Class)
	if !found {
		panic("simulation: no class " + q.Class)
	}
	path += "/" + MarkRequestID(q.ID)
	t.Recorder.Add(history.Submitted{
		ID: q.ID, Class: q.Class, Tier: class.Terms.Tier, Repeatable: class.Terms.Repeatable,
		WantBody: fmt.Sprintf("done: %s %s ", method, path), Copies: q.Copies, At: time.Now(),
	})
	c := e.Caller
	c.Key = q.Team + keySuffix
	c.Class = q.Class
	c.IdempotencyKey = q.Key
	ctx, release := e.withKill(ctx)
	defer release()
	a := c.Service(ctx, class.Service, method, path)
	t.recordAnswer(q.ID, a)
	return a
}

func (t *Simulation) recordAnswer(id string, a caller.Answer) {
	t.Recorder.Add(history.Answered{ID: id, Code: a.Code, Run: a.Run, Body: a.Body, At: time.Now()})
}

// keySuffix is the suffix of the bearer keys of the example teams.
const keySuffix = "-key"

// Request is a request of a simulation.
type Request struct {
	ID          string
	Class       string
	Team        string
	Key         string // idempotency key
	Copies      int    // number of requests with the same key, 0 for one
	PromptBytes int
	Tokens      int // of the response
}

// text returns the prompt.
func (q Request) text() string { return standin.Prompt(MarkRequestID(q.ID), q.PromptBytes) }
