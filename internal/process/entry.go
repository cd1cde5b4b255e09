package process

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"foxcross.dev/foxcross/internal/metrics"
	"foxcross.dev/foxcross/internal/relay/admin"
	"foxcross.dev/foxcross/internal/relay/claims"
	"foxcross.dev/foxcross/internal/relay/config"
	"foxcross.dev/foxcross/internal/relay/entry"
	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/relay/versions"
	"foxcross.dev/foxcross/internal/steady"

	"foxcross.dev/coord/claim"
)

const idBytes = 12

// newID returns a random unique id.
func newID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// RunEntry runs an entry in relay mode until it receives a signal to stop. It starts, in this
// order:
//
//  1. the settings file, the log and the certificates;
//  2. the QUIC dialer for agents, and the client of the platform's key-value service and member
//     list;
//  3. the entry with its store of settings versions and its collector of claims;
//  4. the admin server, then the server for callers.
//
// At the first signal it shuts down gracefully; at the second it stops at once.
func RunEntry(path string) error {
	c, err := config.ReadEntry(path)
	if err != nil {
		return err
	}
	tls, err := setUp(c.Log, c.TLS)
	if err != nil {
		return err
	}
	dialer, err := link.NewQUICDialer(tls)
	if err != nil {
		return err
	}
	defer func() { _ = dialer.Close() }() // the process exits
	platform, err := openPlatform(c.Platform)
	if err != nil {
		return err
	}
	scope, metricsHandler, closer := metrics.New("entry")
	defer func() { _ = closer.Close() }() // the process exits
	store := &versions.Store{KeyValue: platform, Holder: &versions.Holder{}, Now: time.Now, NewID: newID}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := startEntry(ctx, c, store, entry.Options{Dialer: dialer, Members: platform, Metrics: scope})
	adminServer, err := listen(c.Admin.Address, admin.Handler(admin.Options{
		KeyHash: c.Admin.KeyHash, Dump: func() any { return e.Dump() }, Metrics: metricsHandler, Tree: &admin.Tree{Store: store},
		ReleaseContent: releaseHandler(e.ReleaseContent),
	}))
	if err != nil {
		return err
	}
	defer func() { _ = adminServer.Close() }() // the process exits
	server, err := listen(c.Listen, e.Handler())
	if err != nil {
		return err
	}
	log.Infof("Entry %s accepts requests on %s.", c.Name, c.Listen)
	stopping, aborting := stopSignals()
	dumpStateOnSignal(aborting, func() any { return e.Dump() })
	<-stopping.Done()
	return stopEntry(e, server, c, aborting)
}

// openPlatform returns a client of the platform in the settings.
func openPlatform(c config.Platform) (kv.Platform, error) {
	factory, err := kv.Drivers.Get(c.Driver)
	if err != nil {
		return nil, err
	}
	return factory(c.Address)
}

// startEntry starts an entry, its collector of claims and the watch of its settings.
// The options hold the values that are not in the settings file.
func startEntry(ctx context.Context, c config.Entry, store *versions.Store, o entry.Options) *entry.Entry {
	var e *entry.Entry
	collector := claims.New(claimOptions(c, store.KeyValue, func() int { return e.LiveEntries() }))
	o.Name = c.Name
	o.DataCentre = c.DataCentre
	o.Settings = store.Holder
	o.Seed = uint64(time.Now().UnixNano())
	o.MaxBody = c.MaxBodyBytes
	o.MaxRequests = c.MaxRequests
	o.MaxAgents = c.MaxAgents
	o.Fanout = c.Fanout
	o.MemberListInterval = config.Milliseconds(c.MemberListMS, 0)
	o.Claims = collector
	e = entry.New(o)
	store.IsWatcher = e.IsWatcher
	go steady.FireAfterSuspension(ctx)
	go store.Watch(ctx)
	go collector.Run(ctx)
	go e.Run(ctx)
	return e
}

func claimOptions(c config.Entry, store kv.KeyValue, entries func() int) claims.Options {
	o := claims.Options{
		KeyValue:   store,
		Owner:      c.Name,
		Partitions: c.ClaimPartitions,
		Entries:    entries,
		Settings: claim.Settings{
			Period:        config.Milliseconds(c.ClaimPeriodMS, claims.DefaultPeriod),
			RetainPeriods: int64(c.ClaimRetain),
		},
		SwapInterval: config.Milliseconds(c.ClaimIntervalMS, 0),
	}
	return o
}

// stopEntry reports the entry as not ready for the grace period, so that the load balancer
// stops routing to it. Then it refuses new requests and waits for open ones to complete.
func stopEntry(e *entry.Entry, server *http.Server, c config.Entry, aborting context.Context) error {
	e.FailReadiness()
	graceCtx, cancelGrace := steady.WithTimeout(aborting, config.Milliseconds(c.StopGraceMS, config.DefaultStopGrace))
	defer cancelGrace()
	<-graceCtx.Done()
	stopCtx, cancel := steady.WithTimeout(aborting, config.Milliseconds(c.StopTimeoutMS, config.DefaultStopTimeout))
	defer cancel()
	return errors.Join(e.Drain(stopCtx), server.Shutdown(stopCtx))
}
