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

// RunAgent runs an agent until it receives a signal to stop. It starts, in this order:
//
//  1. the settings file, the log and the certificates;
//  2. the drivers of its endpoints, and the agent, which owns its queues and running requests;
//  3. the listener for entries;
//  4. the admin server, then the connections of entries.
//
// At the first signal it accepts no new work and returns after the last running request; at the
// second it returns at once.
func RunAgent(path string) error {
	c, err := config.ReadAgent(path)
	if err != nil {
		return err
	}
	tls, err := setUp(c.Log, c.TLS)
	if err != nil {
		return err
	}
	endpoints, err := newEndpoints(c.Endpoints)
	if err != nil {
		return err
	}
	scope, metricsHandler, closer := metrics.New("agent")
	defer func() { _ = closer.Close() }() // the process exits
	a := agent.New(agent.Options{
		Name:       c.Name,
		DataCentre: c.DataCentre,
		Heartbeat:  config.Milliseconds(c.HeartbeatMS, 0),
		Hold:       config.Milliseconds(c.HoldMS, 0),
		QueueBound: c.QueueBound,
		Endpoints:  endpoints,
		Metrics:    scope,
		Versions:   &versions.Holder{ForwardOnly: true},
	})
	l, err := link.ListenQUIC(c.Listen, tls)
	if err != nil {
		return err
	}
	dump := func() any { return a.Dump() }
	adminServer, err := listen(c.Admin.Address, admin.Handler(admin.Options{
		KeyHash: c.Admin.KeyHash, Dump: dump, Metrics: metricsHandler,
	}))
	if err != nil {
		return err
	}
	defer func() { _ = adminServer.Close() }() // the process exits
	stopping, aborting := stopSignals()
	dumpStateOnSignal(aborting, dump)
	return serveAgent(a, l, stopping, aborting, config.Milliseconds(c.StopTimeoutMS, config.DefaultStopTimeout))
}

// serveAgent serves until the first signal to stop, then until the running requests are done, for
// at most the timeout.
func serveAgent(a *agent.Agent, l link.Listener, stopping, aborting context.Context, timeout time.Duration) error {
	serveCtx, cancelServe := context.WithCancel(context.Background())
	defer cancelServe()
	serveErr := make(chan error, 1)
	go steady.FireAfterSuspension(serveCtx)
	go func() { serveErr <- a.Serve(serveCtx, l) }()
	select {
	case err := <-serveErr:
		return err
	case <-stopping.Done():
	}
	stopCtx, cancel := steady.WithTimeout(aborting, timeout)
	defer cancel()
	return a.Stop(stopCtx)
}

// newEndpoints returns the agent's endpoints with their drivers.
func newEndpoints(endpoints []config.Endpoint) ([]agent.LocalEndpoint, error) {
	var local []agent.LocalEndpoint
	for _, e := range endpoints {
		factory, err := endpoint.Drivers.Get(e.Driver)
		if err != nil {
			return nil, fmt.Errorf("endpoint %s: %w", e.Name, err)
		}
		d, err := factory(endpoint.Settings{Name: e.Name, Address: e.Address})
		if err != nil {
			return nil, err
		}
		local = append(local, agent.LocalEndpoint{
			Description: dispatch.Endpoint{Name: e.Name, Target: e.Target(), MaxWork: e.MaxRequests},
			Driver:      d,
		})
	}
	return local, nil
}
