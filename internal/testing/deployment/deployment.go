// Package deployment starts whole deployments on loopback, with stand-ins, free
// ports and throw-away certificates. Examples and tests use it.
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
	loopback   = "127.0.0.1:0"
	listEvery  = 100 * time.Millisecond
	readyPolls = 10 * time.Millisecond
	certLife   = 24 * time.Hour
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

// New returns an empty deployment.
func New() (*Deployment, error) {
	authority, err := keys.NewAuthority(time.Now(), certLife)
	if err != nil {
		return nil, err
	}
	d := &Deployment{authority: authority, agents: map[string]*Agent{}, entries: map[string]*Entry{}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d, nil
}

// Close ends everything at once.
func (d *Deployment) Close() {
	d.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		_ = s.Close() // it is ended, however it is
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
func (d *Deployment) AddAgent(name, dataCentre string, locals ...Local) (*Agent, error) {
	o := agent.Options{Name: name, DataCentre: dataCentre}
	for n, l := range locals {
		url, err := d.ServeHTTP(l.Handler)
		if err != nil {
			return nil, err
		}
		driver, err := newDriver(l.Target, url)
		if err != nil {
			return nil, err
		}
		o.Locals = append(o.Locals, agent.Local{
			Description: dispatch.Endpoint{Name: fmt.Sprintf("%s-%d", name, n), Target: l.Target, Most: l.Most},
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
	pair, err := d.authority.Issue(o.Name, time.Now(), certLife)
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
	holder := &versions.Holder{Carry: true}
	o.Versions = holder
	ctx, cancel := context.WithCancel(d.ctx)
	a := &Agent{Agent: agent.New(o), Versions: holder, name: o.Name, listener: l, cancel: cancel}
	go func() { _ = a.Serve(ctx, l) }() // ends with kill
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[o.Name] = a
	d.Store.SetMember(kv.Member{Name: o.Name, Role: kv.Agent, Address: l.Address(), DataCentre: o.DataCentre})
	return a, nil
}

func (a *Agent) kill() {
	a.cancel()
	_ = a.listener.Close() // it is ended, however it is
}

// KillAgent ends an agent at once. The list still names it.
func (d *Deployment) KillAgent(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[name].kill()
}

// StopAgent stops an agent cleanly and takes it off the list.
func (d *Deployment) StopAgent(ctx context.Context, name string) error {
	d.mu.Lock()
	a := d.agents[name]
	d.mu.Unlock()
	err := a.Stop(ctx)
	a.kill()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.agents, name)
	d.Store.DropMember(name)
	return err
}

// AddEntry starts an entry.
func (d *Deployment) AddEntry(name, dataCentre string) (*Entry, error) {
	pair, err := d.authority.Issue(name, time.Now(), certLife)
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
	batcher := claims.New(claims.Options{KeyValue: &d.Store, Owner: name, Entries: func() int { return e.Entries() }})
	e.Entry = entry.New(entry.Options{
		Name:       name,
		DataCentre: dataCentre,
		Dialer:     dialer,
		Members:    &d.Store,
		Settings:   holder,
		Seed:       uint64(len(d.entries) + 1),
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
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[name] = e
	d.Store.SetMember(kv.Member{Name: name, Role: kv.Entry, Address: e.URL, DataCentre: dataCentre})
	return e, nil
}

func (e *Entry) kill() {
	e.cancel()
	_ = e.server.Close() // it is ended, however it is
	_ = e.dialer.Close() // it is ended, however it is
}

// KillEntry ends an entry at once.
func (d *Deployment) KillEntry(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[name].kill()
	delete(d.entries, name)
	d.Store.DropMember(name)
}

// StopEntry stops an entry cleanly and takes it off the list.
func (d *Deployment) StopEntry(ctx context.Context, name string) error {
	d.mu.Lock()
	e := d.entries[name]
	d.mu.Unlock()
	err := errors.Join(e.Drain(ctx), e.server.Shutdown(ctx))
	d.KillEntry(name)
	return err
}

// Put puts a whole tree in force.
func (d *Deployment) Put(ctx context.Context, data []byte) error {
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
	for !d.ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("deployment: not ready: %w", ctx.Err())
		case <-time.After(readyPolls):
		}
	}
	return nil
}

// reporting returns how many agents have told the entry their loads.
func (e *Entry) reporting() int {
	n := 0
	for _, p := range e.Dump().Binding.Agents {
		if len(p.Loads) > 0 {
			n++
		}
	}
	return n
}

func (d *Deployment) ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		if !e.Ready() || e.reporting() < len(d.agents) {
			return false
		}
	}
	return true
}
