// Package fleet starts whole deployments on loopback, with stand-ins, free
// ports and throw-away certificates. Examples and tests use it.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"foxcross.dev/coord/dispatch"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/agent"
	"foxcross.dev/foxcross/internal/claims"
	"foxcross.dev/foxcross/internal/endpoint"
	"foxcross.dev/foxcross/internal/entry"
	"foxcross.dev/foxcross/internal/environment"
	"foxcross.dev/foxcross/internal/keys"
	"foxcross.dev/foxcross/internal/link"
	"foxcross.dev/foxcross/internal/standin"
	"foxcross.dev/foxcross/internal/versions"
)

const (
	loopback   = "127.0.0.1:0"
	listEvery  = 100 * time.Millisecond
	readyPolls = 10 * time.Millisecond
	certLife   = 24 * time.Hour
)

// Fleet is a running deployment. Create it with New.
type Fleet struct {
	Store standin.Store

	ctx       context.Context
	cancel    context.CancelFunc
	authority *keys.Authority
	mu        sync.Mutex
	members   []environment.Member
	agents    map[string]*Agent
	entries   map[string]*Entry
	servers   []*http.Server
	changes   int
}

// Agent is a running agent and its connection.
type Agent struct {
	*agent.Agent
	Versions *versions.Holder

	name     string
	listener *link.QUICListener
	cancel   context.CancelFunc
}

// Entry is a running entry and its address.
type Entry struct {
	*entry.Entry
	URL   string
	Store *versions.Store

	name   string
	server *http.Server
	dialer *link.QUICDialer
	cancel context.CancelFunc
}

// New returns an empty fleet.
func New() (*Fleet, error) {
	authority, err := keys.NewAuthority(time.Now(), certLife)
	if err != nil {
		return nil, err
	}
	f := &Fleet{authority: authority, agents: map[string]*Agent{}, entries: map[string]*Entry{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f, nil
}

// Close ends everything at once.
func (f *Fleet) Close() {
	f.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, e := range f.entries {
		e.kill()
	}
	for _, a := range f.agents {
		a.kill()
	}
}

// ServeHTTP serves a handler on a free port and returns its base URL.
func (f *Fleet) ServeHTTP(h http.Handler) (string, error) {
	s, url, err := serve(h)
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = append(f.servers, s)
	return url, nil
}

func serve(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, "", fmt.Errorf("fleet: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, MaxHeaderBytes: entry.MostHeader}
	go func() { _ = s.Serve(l) }() // ends with Close
	return s, "http://" + l.Addr().String(), nil
}

// Local describes an endpoint beside an agent.
type Local struct {
	Target  string
	Handler http.Handler
	Most    int
}

// AddAgent starts an agent with its endpoints.
func (f *Fleet) AddAgent(name, dataCentre string, locals ...Local) (*Agent, error) {
	o := agent.Options{Name: name, DataCentre: dataCentre}
	for n, l := range locals {
		url, err := f.ServeHTTP(l.Handler)
		if err != nil {
			return nil, err
		}
		d, err := newDriver(l.Target, url)
		if err != nil {
			return nil, err
		}
		o.Locals = append(o.Locals, agent.Local{
			Description: dispatch.Endpoint{Name: fmt.Sprintf("%s-%d", name, n), Target: l.Target, Most: l.Most},
			Driver:      d,
		})
	}
	return f.startAgent(o)
}

func newDriver(target, url string) (endpoint.Driver, error) {
	kind := "openai"
	if settings.IsService(target) {
		kind = "http"
	}
	factory, err := endpoint.Drivers.Get(kind)
	if err != nil {
		return nil, err
	}
	return factory(endpoint.Settings{Name: target, Address: url})
}

func (f *Fleet) startAgent(o agent.Options) (*Agent, error) {
	pair, err := f.authority.Issue(o.Name, time.Now(), certLife)
	if err != nil {
		return nil, err
	}
	tls, err := keys.Config(f.authority.Certificate(), pair)
	if err != nil {
		return nil, err
	}
	l, err := link.ListenQUIC(loopback, tls)
	if err != nil {
		return nil, err
	}
	holder := &versions.Holder{Carry: true}
	o.Versions = holder
	ctx, cancel := context.WithCancel(f.ctx)
	a := &Agent{Agent: agent.New(o), Versions: holder, name: o.Name, listener: l, cancel: cancel}
	go func() { _ = a.Serve(ctx, l) }() // ends with kill
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[o.Name] = a
	f.setMember(environment.Member{Name: o.Name, Role: environment.Agent, Address: l.Address(), DataCentre: o.DataCentre})
	return a, nil
}

func (a *Agent) kill() {
	a.cancel()
	_ = a.listener.Close()
}

// KillAgent ends an agent at once. The list still names it.
func (f *Fleet) KillAgent(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[name].kill()
}

// StopAgent stops an agent cleanly and takes it off the list.
func (f *Fleet) StopAgent(ctx context.Context, name string) error {
	f.mu.Lock()
	a := f.agents[name]
	f.mu.Unlock()
	err := a.Stop(ctx)
	a.kill()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.agents, name)
	f.removeMember(name)
	return err
}

// setMember adds or replaces a member. The lock is held.
func (f *Fleet) setMember(m environment.Member) {
	f.dropMember(m.Name)
	f.members = append(f.members, m)
	f.Store.SetMembers(f.members)
}

func (f *Fleet) removeMember(name string) {
	f.dropMember(name)
	f.Store.SetMembers(f.members)
}

func (f *Fleet) dropMember(name string) {
	var kept []environment.Member
	for _, m := range f.members {
		if m.Name != name {
			kept = append(kept, m)
		}
	}
	f.members = kept
}

// AddEntry starts an entry.
func (f *Fleet) AddEntry(name, dataCentre string) (*Entry, error) {
	pair, err := f.authority.Issue(name, time.Now(), certLife)
	if err != nil {
		return nil, err
	}
	tls, err := keys.Config(f.authority.Certificate(), pair)
	if err != nil {
		return nil, err
	}
	dialer, err := link.NewQUICDialer(tls)
	if err != nil {
		return nil, err
	}
	holder := &versions.Holder{}
	e := &Entry{name: name, dialer: dialer, Store: f.newStore(name, holder)}
	ctx, cancel := context.WithCancel(f.ctx)
	e.cancel = cancel
	batcher := claims.New(claims.Options{KeyValue: &f.Store, Owner: name, Entries: func() int { return e.Entries() }})
	e.Entry = entry.New(entry.Options{
		Name:       name,
		DataCentre: dataCentre,
		Dialer:     dialer,
		Members:    &f.Store,
		Settings:   holder,
		Seed:       uint64(len(f.entries) + 1),
		ListEvery:  listEvery,
		Claims:     batcher,
	})
	e.Store.Watches = e.Watches
	e.server, e.URL, err = serve(e.Handler())
	if err != nil {
		cancel()
		return nil, err
	}
	go e.Store.Watch(ctx)
	go batcher.Run(ctx)
	go e.Run(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[name] = e
	f.setMember(environment.Member{Name: name, Role: environment.Entry, Address: e.URL, DataCentre: dataCentre})
	return e, nil
}

func (f *Fleet) newStore(name string, h *versions.Holder) *versions.Store {
	return &versions.Store{KeyValue: &f.Store, Holder: h, Now: time.Now, NewID: func() string {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.changes++
		return fmt.Sprintf("%s-%d", name, f.changes)
	}}
}

func (e *Entry) kill() {
	e.cancel()
	_ = e.server.Close()
	_ = e.dialer.Close()
}

// KillEntry ends an entry at once.
func (f *Fleet) KillEntry(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[name].kill()
	delete(f.entries, name)
	f.removeMember(name)
}

// StopEntry stops an entry cleanly and takes it off the list.
func (f *Fleet) StopEntry(ctx context.Context, name string) error {
	f.mu.Lock()
	e := f.entries[name]
	f.mu.Unlock()
	err := errors.Join(e.Drain(ctx), e.server.Shutdown(ctx))
	f.KillEntry(name)
	return err
}

// Put puts a whole tree in force.
func (f *Fleet) Put(ctx context.Context, data []byte) error {
	tree, err := settings.Parse(data)
	if err != nil {
		return err
	}
	holder := &versions.Holder{}
	s := f.newStore("setup", holder)
	if _, err := s.Load(ctx); err != nil {
		return err
	}
	_, err = s.Commit(ctx, versions.Change{Base: holder.Version(), Tree: tree, Author: "fleet"})
	return err
}

// WaitReady waits until every entry is ready and connected to every agent.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for !f.ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet: not ready: %w", ctx.Err())
		case <-time.After(readyPolls):
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.entries {
		if !e.Ready() || e.Connected() < len(f.agents) {
			return false
		}
	}
	return true
}
