package process

import (
	"context"
	"fmt"
	"time"

	"foxcross.dev/foxcross/internal/metrics"
	"foxcross.dev/foxcross/internal/relay/admin"
	"foxcross.dev/foxcross/internal/relay/agent"
	"foxcross.dev/foxcross/internal/relay/config"
	"foxcross.dev/foxcross/internal/relay/endpoint"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/relay/versions"
	"foxcross.dev/foxcross/internal/steady"

	"foxcross.dev/coord/dispatch"
)

// RunAgent runs an agent until it is told to stop. It starts, in this order:
//
//  1. the settings file, the log and the certificates;
//  2. the drivers of its endpoints, and the agent, which owns its queues and work;
//  3. the socket for entries;
//  4. the operators' address, then entries' connections.
//
// At the first signal it takes nothing new and ends after its last work, at the second
// at once.
func RunAgent(path string) error {
	c, err := config.ReadAgent(path)
	if err != nil {
		return err
	}
	tls, err := prepare(c.Log, c.TLS)
	if err != nil {
		return err
	}
	locals, err := localsOf(c.Endpoints)
	if err != nil {
		return err
	}
	scope, figures, closer := metrics.New("agent")
	defer func() { _ = closer.Close() }() // the process ends
	a := agent.New(agent.Options{
		Name:       c.Name,
		DataCentre: c.DataCentre,
		Heartbeat:  config.Milliseconds(c.HeartbeatMS, 0),
		Hold:       config.Milliseconds(c.HoldMS, 0),
		QueueBound: c.QueueBound,
		Locals:     locals,
		Metrics:    scope,
		Versions:   &versions.Holder{Carry: true},
	})
	l, err := link.ListenQUIC(c.Listen, tls)
	if err != nil {
		return err
	}
	dump := func() any { return a.Dump() }
	operators, err := listen(c.Admin.Address, admin.Handler(admin.Options{
		KeyHash: c.Admin.KeyHash, Dump: dump, Metrics: figures,
	}))
	if err != nil {
		return err
	}
	defer func() { _ = operators.Close() }() // the process ends
	first, second := stopSignals()
	dumpOnSignal(second, dump)
	return serveAgent(a, l, first, second, config.Milliseconds(c.StopTimeoutMS, config.DefaultStopTimeout))
}

// serveAgent serves until the first signal and then until the work has ended.
func serveAgent(a *agent.Agent, l link.Listener, first, second context.Context, timeout time.Duration) error {
	serving, end := context.WithCancel(context.Background())
	defer end()
	failed := make(chan error, 1)
	go steady.Watch(serving)
	go func() { failed <- a.Serve(serving, l) }()
	select {
	case err := <-failed:
		return err
	case <-first.Done():
	}
	stopping, cancel := steady.WithTimeout(second, timeout)
	defer cancel()
	return a.Stop(stopping)
}

// localsOf returns the agent's endpoints with their drivers.
func localsOf(all []config.Endpoint) ([]agent.Local, error) {
	var locals []agent.Local
	for _, e := range all {
		factory, err := endpoint.Drivers.Get(e.Driver)
		if err != nil {
			return nil, fmt.Errorf("endpoint %s: %w", e.Name, err)
		}
		d, err := factory(endpoint.Settings{Name: e.Name, Address: e.Address})
		if err != nil {
			return nil, err
		}
		locals = append(locals, agent.Local{
			Description: dispatch.Endpoint{Name: e.Name, Target: e.Target(), Most: e.Most},
			Driver:      d,
		})
	}
	return locals, nil
}
