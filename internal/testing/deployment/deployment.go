// Package deployment starts complete deployments on loopback, with stand-ins, free
// ports and temporary certificates, for examples and tests.
package deployment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"foxcross.dev/coord/dispatch"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/relay/agent"
	"foxcross.dev/foxcross/internal/relay/claims"
	"foxcross.dev/foxcross/internal/relay/endpoint"
	"foxcross.dev/foxcross/internal/relay/entry"
	"foxcross.dev/foxcross/internal/relay/keys"
	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/relay/versions"
	"foxcross.dev/foxcross/internal/testing/standin"
)

const (
	loopback           = "127.0.0.1:0"
	memberListInterval = 100 * time.Millisecond
	readyPollInterval  = 10 * time.Millisecond
	certLifetime       = 24 * time.Hour
)

// Deployment is a running deployment. Create it with New.
type Deployment struct {
	Store standin.Store

	ctx       context.Context
	cancel    context.CancelFunc
	authority *keys.Authority
	mu        sync.Mutex
	agents    map[string]*Agent
	entries   map[string]*Entry
	servers   []*http.Server
}

// Agent is a running agent and its listener.
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

// New returns an empty deployment.
func New() (*Deployment, error) {
	authority, err := keys.NewAuthority(time.Now(), certLifetime)
	if err != nil {
		return nil, err
	}
	d := &Deployment{authority: authority, agents: map[string]*Agent{}, entries: map[string]*Entry{}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d, nil
}

// Close stops all processes at once.
func (d *Deployment) Close() {
	d.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		_ = s.Close() // the server ends in any case
	}
	for _, e := range d.entries {
		e.kill()
	}
	for _, a := range d.agents {
		a.kill()
	}
}

// ServeHTTP serves a handler on a free port and returns its base URL.
func (d *Deployment) ServeHTTP(h http.Handler) (string, error) {
	s, url, err := serve(h)
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = append(d.servers, s)
	return url, nil
}

func serve(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, "", fmt.Errorf("deployment: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, MaxHeaderBytes: entry.MaxHeader}
	go func() { _ = s.Serve(l) }() // returns after Close
	return s, "http://" + l.Addr().String(), nil
}

// Backend describes an endpoint of an agent.
type Backend struct {
	Target        string
	Handler       http.Handler
	MaxConcurrent int
}

// AddAgent starts an agent with its endpoints.
func (d *Deployment) AddAgent(name, dataCentre string, backends ...Backend) (*Agent, error) {
	o := agent.Options{Name: name, DataCentre: dataCentre}
	for n, b := range backends {
		url, err := d.ServeHTTP(b.Handler)
		if err != nil {
			return nil, err
		}
		driver, err := newDriver(b.Target, url)
		if err != nil {
			return nil, err
		}
		o.Endpoints = append(o.Endpoints, agent.LocalEndpoint{
			Description: dispatch.Endpoint{Name: fmt.Sprintf("%s-%d", name, n), Target: b.Target, MaxWork: b.MaxConcurrent},
			Driver:      driver,
		})
	}
	return d.startAgent(o)
}

func newDriver(target, url string) (endpoint.Driver, error) {
	kind := "openai"
	if strings.HasPrefix(target, settings.ServiceTarget("")) {
		kind = "http"
	}
	factory, err := endpoint.Drivers.Get(kind)
	if err != nil {
		return nil, err
	}
	return factory(endpoint.Settings{Name: target, Address: url})
}

func (d *Deployment) startAgent(o agent.Options) (*Agent, error) {
	pair, err := d.authority.Issue(o.Name, time.Now(), certLifetime)
	if err != nil {
		return nil, err
	}
	tls, err := keys.Config(d.authority.Certificate(), pair)
	if err != nil {
		return nil, err
	}
	l, err := link.ListenQUIC(loopback, tls)
	if err != nil {
		return nil, err
	}
	holder := &versions.Holder{ForwardOnly: true}
	o.Versions = holder
	ctx, cancel := context.WithCancel(d.ctx)
	a := &Agent{Agent: agent.New(o), Versions: holder, name: o.Name, listener: l, cancel: cancel}
	go func() { _ = a.Serve(ctx, l) }() // returns after kill
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[o.Name] = a
	d.Store.SetMember(kv.Member{Name: o.Name, Role: kv.Agent, Address: l.Address(), DataCentre: o.DataCentre})
	return a, nil
}

func (a *Agent) kill() {
	a.cancel()
	_ = a.listener.Close() // the listener ends in any case
}

// KillAgent ends an agent at once. It stays on the member list.
func (d *Deployment) KillAgent(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[name].kill()
}

// StopAgent drains and stops an agent and removes it from the member list.
func (d *Deployment) StopAgent(ctx context.Context, name string) error {
	d.mu.Lock()
	a := d.agents[name]
	d.mu.Unlock()
	err := a.Stop(ctx)
	a.kill()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.agents, name)
	d.Store.RemoveMember(name)
	return err
}

// AddEntry starts an entry.
func (d *Deployment) AddEntry(name, dataCentre string) (*Entry, error) {
	pair, err := d.authority.Issue(name, time.Now(), certLifetime)
	if err != nil {
		return nil, err
	}
	tls, err := keys.Config(d.authority.Certificate(), pair)
	if err != nil {
		return nil, err
	}
	dialer, err := link.NewQUICDialer(tls)
	if err != nil {
		return nil, err
	}
	holder := &versions.Holder{}
	e := &Entry{name: name, dialer: dialer, Store: d.Store.Settings(name, holder)}
	ctx, cancel := context.WithCancel(d.ctx)
	e.cancel = cancel
	batcher := claims.New(claims.Options{KeyValue: &d.Store, Owner: name, Entries: func() int { return e.LiveEntries() }})
	e.Entry = entry.New(entry.Options{
		Name:               name,
		DataCentre:         dataCentre,
		Dialer:             dialer,
		Members:            &d.Store,
		Settings:           holder,
		Seed:               uint64(len(d.entries) + 1),
		MemberListInterval: memberListInterval,
		Claims:             batcher,
	})
	e.Store.IsWatcher = e.IsWatcher
	e.server, e.URL, err = serve(e.Handler())
	if err != nil {
		cancel()
		return nil, err
	}
	go e.Store.Watch(ctx)
	go batcher.Run(ctx)
	go e.Run(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[name] = e
	d.Store.SetMember(kv.Member{Name: name, Role: kv.Entry, Address: e.URL, DataCentre: dataCentre})
	return e, nil
}

func (e *Entry) kill() {
	e.cancel()
	_ = e.server.Close() // the server ends in any case
	_ = e.dialer.Close() // the dialer ends in any case
}

// KillEntry ends an entry at once and removes it from the member list.
func (d *Deployment) KillEntry(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[name].kill()
	delete(d.entries, name)
	d.Store.RemoveMember(name)
}

// StopEntry drains and stops an entry and removes it from the member list.
func (d *Deployment) StopEntry(ctx context.Context, name string) error {
	d.mu.Lock()
	e := d.entries[name]
	d.mu.Unlock()
	err := errors.Join(e.Drain(ctx), e.server.Shutdown(ctx))
	d.KillEntry(name)
	return err
}

// ReplaceSettings replaces the settings tree.
func (d *Deployment) ReplaceSettings(ctx context.Context, data []byte) error {
	tree, err := settings.Parse(data)
	if err != nil {
		return err
	}
	holder := &versions.Holder{}
	s := d.Store.Settings("setup", holder)
	if _, err := s.Load(ctx); err != nil {
		return err
	}
	_, err = s.Commit(ctx, versions.Change{Base: holder.Version(), Tree: tree, Author: "deployment"})
	return err
}

// WaitReady waits until every entry is ready and connected to every agent.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for !d.allReady() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("deployment: not ready: %w", ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// reportingAgents returns the number of agents that have reported their loads to the entry.
func (e *Entry) reportingAgents() int {
	n := 0
	for _, p := range e.Dump().Binding.Agents {
		if len(p.Loads) > 0 {
			n++
		}
	}
	return n
}

func (d *Deployment) allReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		if !e.Ready() || e.reportingAgents() < len(d.agents) {
			return false
		}
	}
	return true
}
