package process

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/gateway"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/metrics"
	"foxcross.dev/foxcross/internal/workers"

	crand "crypto/rand"

	"github.com/alexedwards/flow"
	"github.com/uber-go/tally/v4"
)

// reloadEvery is how often the settings file is looked at: it may change
// without a signal.
const reloadEvery = 2 * time.Second

// RunGateway runs an entry on a platform until it is told to stop.
func RunGateway(driverName string) error {
	if err := logs.Setup(logs.NewAsync(os.Stdout), "json", "info"); err != nil {
		return err
	}
	// Signals are taken from the start on: an untaken one would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	first, second := stopSignals()
	factory, err := driver.Drivers.Get(driverName)
	if err != nil {
		return err
	}
	platform := factory()
	place, err := platform.Process()
	if err != nil {
		return err
	}
	scope, served, closer := metrics.New("entry")
	defer func() { _ = closer.Close() }() // the process ends
	g := gateway.New(gateway.Options{
		Process: place,
		Driver:  platform,
		Owner:   randomID(),
		Seed:    randomID(),
		Metrics: scope,
	})
	running, end := context.WithCancel(context.Background())
	defer end()
	if err := join(running, g, place); err != nil {
		return err
	}
	go g.Directory().Follow(running, platform.Source(place))
	go g.Run(running)
	go reload(running, hangups, g, platform, place)
	go gauge(running, g, scope)
	if err := serveChecks(g, platform, place, served); err != nil {
		return err
	}
	callers, err := g.Serve(place.Callers)
	if err != nil {
		return err
	}
	log.With("name", place.Name).With("address", place.Callers).Info("The entry takes requests.")
	dumpOnSignal(second, func() any { return g.Dump() })
	<-first.Done()
	return g.Stop(callers, g.Grace())
}

// randomID returns a number that is not 0 and does not repeat.
func randomID() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// join meets the other entries.
func join(ctx context.Context, g *gateway.Gateway, place driver.Process) error {
	d := g.Directory()
	group, err := peers.New(peers.Options{
		Name:      place.Name,
		Address:   place.Peers,
		Owner:     g.Owner(),
		Seeds:     place.Seeds,
		Listener:  g.Listener(),
		Directory: d,
		Fetch: func(ctx context.Context, address string) {
			if err := peers.FetchState(ctx, d, address); err != nil {
				log.With("peer", address).With("reason", err.Error()).Warnf("Another entry's state can't be read.")
			}
		},
	})
	if err != nil {
		return err
	}
	if _, err := listen(place.Peers, peers.StateHandler(d)); err != nil {
		return err
	}
	g.Join(group)
	go group.Run(ctx)
	return nil
}

// serveChecks serves the balancer's check and the process's own figures.
func serveChecks(g *gateway.Gateway, platform driver.Driver, place driver.Process, served http.Handler) error {
	checks := flow.New()
	checks.HandleFunc(platform.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, http.MethodGet)
	if _, err := listen(place.Readiness, checks); err != nil {
		return err
	}
	figures := flow.New()
	figures.Handle("/metrics", served, http.MethodGet)
	figures.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.Dump()) // the caller may be gone
	}, http.MethodGet)
	_, err := listen(place.Metrics, figures)
	return err
}

// reload takes in changes of the settings file that is in force.
func reload(ctx context.Context, hangups <-chan os.Signal, g *gateway.Gateway, platform driver.Driver, inForce driver.Process) {
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			log.Info("Reading the settings file again.")
		case <-ticker.C:
		}
		place, err := platform.Process()
		if err != nil {
			log.With("reason", err.Error()).Errorf("The settings file can't be used; the old settings stay.")
			continue
		}
		if changes := inForce.Changes(place); len(changes) > 0 {
			log.With("changes", changes).Info("The settings file changed.")
		}
		if inForce.Bounds != place.Bounds {
			g.SetBounds(place.Bounds)
		}
		inForce = place
	}
}

// gaugeEvery is how often the state is measured.
const gaugeEvery = time.Second

// gauge measures the state until ctx is done.
func gauge(ctx context.Context, g *gateway.Gateway, scope tally.Scope) {
	workers.Every(ctx, gaugeEvery, func(time.Time) {
		d := g.Dump()
		following := 0.0
		if d.Following {
			following = 1
		}
		scope.Gauge("open_requests").Update(float64(d.Open))
		scope.Gauge("live_entries").Update(float64(d.Entries))
		scope.Gauge("settings_version").Update(float64(d.Version))
		scope.Gauge("following_store").Update(following)
	})
}
