package process

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/duties"
	"foxcross.dev/foxcross/internal/direct/gateway"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/metrics"
	"foxcross.dev/foxcross/internal/steady"

	crand "crypto/rand"

	"github.com/alexedwards/flow"
	"github.com/uber-go/tally/v4"
)

// Paths of an entry's own figures, and of an operator's word that a content is let through
// again.
const (
	metricsPath = "/metrics"
	statePath   = "/state"
	releasePath = "/contents/:content/release"
)

// heldContents names what one entry of a data centre learns from the store for all.
const heldContents = "held contents"

// RunGateway runs an entry on a platform until it is told to stop. It starts, in
// this order:
//
//  1. the log, and the handling of signals: one that comes earlier ends the process;
//  2. the platform's driver, which reads the process's settings file;
//  3. the gateway, which owns requests and their attempts;
//  4. the group of entries, which may hand it settings and endpoints at once;
//  5. the duties that one entry performs at a time, where the platform asks for some;
//  6. the follower of the platform's store, the gateway's upkeep, the watch of the
//     settings file, the gauges;
//  7. the balancer's check and the figures, then callers' requests.
//
// At the first signal to stop the gateway stops cleanly within the grace; all else
// ends with the process.
func RunGateway(driverName string) error {
	if err := logs.Setup(logs.NewAsync(os.Stdout), "json", defaultLevel); err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	first, second := stopSignals()
	factory, err := driver.Drivers.Get(driverName)
	if err != nil {
		return err
	}
	platform := factory()
	settings, err := platform.Process()
	if err != nil {
		return err
	}
	scope, figures, closer := metrics.New("entry")
	defer func() { _ = closer.Close() }() // the process ends
	running, end := context.WithCancel(context.Background())
	defer end()
	go steady.Watch(running)
	usage := &usageDuty{}
	records := countedRecords{records: platform.Records(settings), scope: scope}
	g := gateway.New(gateway.Options{
		Process: settings,
		Driver:  platform,
		Owner:   randomID(),
		Seed:    randomID(),
		Metrics: scope,
		Began:   usage.count,
		Records: records,
	})
	group, err := joinGroup(running, g, settings, scope, usage)
	if err != nil {
		return err
	}
	usage.start(running, duties.Options{
		Name:     settings.Name,
		Owner:    g.Owner(),
		Terms:    settings.Duties,
		Group:    group,
		Store:    g.Directory(),
		Records:  records,
		Reporter: platform.Reporter(settings),
		Metrics:  scope,
	})
	store := countedStore{store: platform.Store(settings, g.Directory().StoreProgressed), scope: scope}
	go g.Directory().Follow(running, store)
	go g.Run(running)
	go watchSettings(running, hangups, g, platform, settings)
	go updateGauges(running, g, scope)
	if err := serveChecks(g, platform, settings); err != nil {
		return err
	}
	if err := serveFigures(g, settings, figures); err != nil {
		return err
	}
	callers, err := g.Serve(settings.Callers)
	if err != nil {
		return err
	}
	log.With("name", settings.Name).With("address", settings.Callers).Info("The entry takes requests.")
	dumpOnSignal(second, func() any { return g.Dump() })
	<-first.Done()
	usage.resign()
	defer usage.tellLast()
	return g.Stop(callers, g.Grace())
}

// randomID returns a number that is not 0 and does not repeat.
func randomID() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// joinGroup lets the gateway hear of the other entries and they of it.
func joinGroup(ctx context.Context, g *gateway.Gateway, settings driver.Process, scope tally.Scope, usage *usageDuty) (*peers.Group, error) {
	d := g.Directory()
	group, err := peers.New(peers.Options{
		Name:       settings.Name,
		Address:    settings.Peers,
		Owner:      g.Owner(),
		Seeds:      settings.Seeds,
		Seed:       settings.Seed,
		FirstStart: settings.FirstStart,
		Listener:   g.Listener(),
		Directory:  d,
		DataCentre: settings.DataCentre,
		Metrics:    scope,
		TakeUsage:  usage.take,
		ReadCost:   peers.ReadCost(settings.Limits.LinkMbps, settings.Limits.Processor),
		Fetch: func(ctx context.Context, address string, p peers.Part) {
			if err := peers.FetchState(ctx, d, address, p); err != nil {
				log.With("peer", address).With("reason", err.Error()).Limited("fetch", "Another entry's state can't be read; one that is ahead is asked again.")
			}
		},
	})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/", peers.StateHandler(d))
	mux.Handle(peers.SnapshotPath, peers.SnapshotHandler(g.Snapshot))
	if _, err := listen(settings.Peers, mux); err != nil {
		return nil, err
	}
	g.Join(group)
	go group.Run(ctx)
	go func() {
		informed := group.Inform(ctx, d, g.Restore)
		g.StopRestoring()
		if informed {
			return
		}
		if !settings.FirstStart && group.First(heldContents, settings.DataCentre) {
			go g.LearnHeld(ctx)
		}
		g.LearnMemory(ctx, group.First)
	}()
	return group, nil
}

// serveChecks serves the balancer's readiness check.
func serveChecks(g *gateway.Gateway, platform driver.Driver, settings driver.Process) error {
	checks := flow.New()
	checks.HandleFunc(platform.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, http.MethodGet)
	_, err := listen(settings.Readiness, checks)
	return err
}

// serveFigures serves the metrics, the state dump, and the release of held contents.
func serveFigures(g *gateway.Gateway, settings driver.Process, figures http.Handler) error {
	mux := flow.New()
	mux.Handle(metricsPath, figures, http.MethodGet)
	mux.HandleFunc(statePath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.Dump()) // the caller may be gone
	}, http.MethodGet)
	mux.Handle(releasePath, releaseHandler(g.ReleaseContent), http.MethodPost)
	_, err := listen(settings.Metrics, mux)
	return err
}

// releaseHandler lets the content that the path names through again.
func releaseHandler(release func(quarantine.Key) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k, ok := quarantine.ParseKey(flow.Param(r.Context(), "content"))
		if !ok || !release(k) {
			http.Error(w, "nothing is held against this content", http.StatusNotFound)
		}
	})
}
