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

// Paths of an entry's metrics and state, and of an operator's release of a held content.
const (
	metricsPath = "/metrics"
	statePath   = "/state"
	releasePath = "/contents/:content/release"
)

// heldContents names the records that one entry of a data centre reads from the store for all.
const heldContents = "held contents"

// RunGateway runs an entry on a platform until it receives a signal to stop. It starts,
// in this order:
//
//  1. the log and the signal handlers: an earlier signal terminates the process;
//  2. the platform's driver, which reads the settings file of the process;
//  3. the gateway, which owns requests and their attempts;
//  4. the group of entries, from which it may receive settings and endpoints at once;
//  5. the duties that one entry performs at a time, if the platform requires any;
//  6. the follower of the platform's store, the gateway's periodic work, the watch of
//     the settings file, the gauges;
//  7. the readiness check and the metrics, then the server for callers.
//
// At the first signal to stop, the gateway shuts down gracefully within the grace period;
// everything else ends with the process.
func RunGateway(driverName string) error {
	if err := logs.Setup(logs.NewAsync(os.Stdout), "json", defaultLevel); err != nil {
		return err
	}
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	stopping, aborting := stopSignals()
	factory, err := driver.Drivers.Get(driverName)
	if err != nil {
		return err
	}
	platform := factory()
	settings, err := platform.Process()
	if err != nil {
		return err
	}
	scope, metricsHandler, closer := metrics.New("entry")
	defer func() { _ = closer.Close() }() // the process exits
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go steady.FireAfterSuspension(ctx)
	usage := &usageDuty{}
	records := countingRecords{records: platform.Records(settings), scope: scope}
	g := gateway.New(gateway.Options{
		Process:    settings,
		Driver:     platform,
		Owner:      randomID(),
		Seed:       randomID(),
		Metrics:    scope,
		OnRunStart: usage.count,
		Records:    records,
	})
	group, err := joinGroup(ctx, g, settings, scope, usage)
	if err != nil {
		return err
	}
	usage.start(ctx, duties.Options{
		Name:     settings.Name,
		Owner:    g.Owner(),
		Terms:    settings.Duties,
		Group:    group,
		Store:    g.Directory(),
		Records:  records,
		Reporter: platform.Reporter(settings),
		Metrics:  scope,
	})
	store := countingStore{store: platform.Store(settings, g.Directory().RecordStoreProgress), scope: scope}
	go g.Directory().Follow(ctx, store)
	go g.Run(ctx)
	go watchSettings(ctx, reloadSignals, g, platform, settings)
	go updateGauges(ctx, g, scope)
	if err := serveReadiness(g, platform, settings); err != nil {
		return err
	}
	if err := serveMetrics(g, settings, metricsHandler); err != nil {
		return err
	}
	server, err := g.Serve(settings.Callers)
	if err != nil {
		return err
	}
	log.With("name", settings.Name).With("address", settings.Callers).Info("The entry accepts requests.")
	dumpStateOnSignal(aborting, func() any { return g.Dump() })
	<-stopping.Done()
	usage.resign()
	defer usage.reportLast()
	return g.Stop(server, g.Grace())
}

// randomID returns a random unique number other than 0.
func randomID() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// joinGroup starts the exchange with the other entries and restores their state into the gateway.
func joinGroup(ctx context.Context, g *gateway.Gateway, settings driver.Process, scope tally.Scope, usage *usageDuty) (*peers.Group, error) {
	d := g.Directory()
	group, err := peers.New(peers.Options{
		Name:        settings.Name,
		Address:     settings.Peers,
		Owner:       g.Owner(),
		Seeds:       settings.Seeds,
		Seed:        settings.Seed,
		FirstStart:  settings.FirstStart,
		Listener:    g.EventReceiver(),
		Directory:   d,
		DataCentre:  settings.DataCentre,
		Metrics:     scope,
		HandleUsage: usage.addStatement,
		ReadCost:    peers.ReadCost(settings.Limits.LinkMbps, settings.Limits.Processor),
		Fetch: func(ctx context.Context, address string, p peers.Part) {
			if err := peers.FetchState(ctx, d, address, p); err != nil {
				log.With("peer", address).With("reason", err.Error()).WarnLimited("fetch", "Fetching the state of a peer failed; fetching again from a peer that is ahead.")
			}
		},
	})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/", peers.StateHandler(d))
	mux.Handle(peers.OriginPath, peers.OriginHandler(g.Origin))
	mux.Handle(peers.SignalsPath, group.SignalsHandler())
	mux.Handle(peers.SnapshotPath, peers.SnapshotHandler(g.Snapshot))
	if _, err := listen(settings.Peers, mux); err != nil {
		return nil, err
	}
	g.Join(group)
	go group.Run(ctx)
	go func() {
		restored := group.RestoreSnapshot(ctx, d, g.Restore)
		g.EndRestore()
		if restored {
			return
		}
		if !settings.FirstStart && group.RanksFirst(heldContents, settings.DataCentre) {
			go g.LoadHolds(ctx)
		}
		g.QueryCachedParts(ctx, group.RanksFirst)
	}()
	return group, nil
}

// serveReadiness serves the readiness check for the load balancer.
func serveReadiness(g *gateway.Gateway, platform driver.Driver, settings driver.Process) error {
	mux := flow.New()
	mux.HandleFunc(platform.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, http.MethodGet)
	_, err := listen(settings.Readiness, mux)
	return err
}

// serveMetrics serves the metrics, the state dump, and the release of held contents.
func serveMetrics(g *gateway.Gateway, settings driver.Process, metricsHandler http.Handler) error {
	mux := flow.New()
	mux.Handle(metricsPath, metricsHandler, http.MethodGet)
	mux.HandleFunc(statePath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.Dump()) // the client may have disconnected
	}, http.MethodGet)
	mux.Handle(releasePath, releaseHandler(g.ReleaseContent), http.MethodPost)
	_, err := listen(settings.Metrics, mux)
	return err
}

// releaseHandler releases the held content in the path.
func releaseHandler(release func(quarantine.Key) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k, ok := quarantine.ParseKey(flow.Param(r.Context(), "content"))
		if !ok || !release(k) {
			http.Error(w, "nothing is held against this content", http.StatusNotFound)
		}
	})
}
