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

// newID returns an id that does not repeat.
func newID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// RunEntry runs an entry of the own interface until it is told to stop. It starts, in
// this order:
//
//  1. the settings file, the log and the certificates;
//  2. the socket towards agents, and the platform's key-value service and member list;
//  3. the entry with its store of settings versions and its collector of claims;
//  4. the operators' address, then callers' requests.
//
// At the first signal to stop it stops cleanly, at the second at once.
func RunEntry(path string) error {
	c, err := config.ReadEntry(path)
	if err != nil {
		return err
	}
	tls, err := prepare(c.Log, c.TLS)
	if err != nil {
		return err
	}
	dialer, err := link.NewQUICDialer(tls)
	if err != nil {
		return err
	}
	defer func() { _ = dialer.Close() }() // the process ends
	platform, err := openPlatform(c.Platform)
	if err != nil {
		return err
	}
	scope, figures, closer := metrics.New("entry")
	defer func() { _ = closer.Close() }() // the process ends
	store := &versions.Store{KeyValue: platform, Holder: &versions.Holder{}, Now: time.Now, NewID: newID}
	running, end := context.WithCancel(context.Background())
	defer end()
	e := startEntry(running, c, store, entry.Options{Dialer: dialer, Members: platform, Metrics: scope})
	operators, err := listen(c.Admin.Address, admin.Handler(admin.Options{
		KeyHash: c.Admin.KeyHash, Dump: func() any { return e.Dump() }, Metrics: figures, Tree: &admin.Tree{Store: store},
		Release: releaseHandler(e.ReleaseContent),
	}))
	if err != nil {
		return err
	}
	defer func() { _ = operators.Close() }() // the process ends
	callers, err := listen(c.Listen, e.Handler())
	if err != nil {
		return err
	}
	log.Infof("Entry %s takes requests on %s.", c.Name, c.Listen)
	first, second := stopSignals()
	dumpOnSignal(second, func() any { return e.Dump() })
	<-first.Done()
	return stopEntry(e, callers, c, second)
}

// openPlatform returns the client of the platform that the settings name.
func openPlatform(c config.Platform) (kv.Platform, error) {
	factory, err := kv.Drivers.Get(c.Driver)
	if err != nil {
		return nil, err
	}
	return factory(c.Address)
}

// startEntry starts an entry, its collector of claims and the watch of its settings.
// The options hold what is not in the settings file.
func startEntry(ctx context.Context, c config.Entry, store *versions.Store, o entry.Options) *entry.Entry {
	var e *entry.Entry
	collector := claims.New(claimOptions(c, store.KeyValue, func() int { return e.Entries() }))
	o.Name = c.Name
	o.DataCentre = c.DataCentre
	o.Settings = store.Holder
	o.Seed = uint64(time.Now().UnixNano())
	o.MaxBody = c.MaxBodyBytes
	o.Requests = c.MaxRequests
	o.Agents = c.MaxAgents
	o.Fanout = c.Fanout
	o.ListEvery = config.Milliseconds(c.MemberListMS, 0)
	o.Claims = collector
	e = entry.New(o)
	store.Watches = e.Watches
	go steady.Watch(ctx)
	go store.Watch(ctx)
	go collector.Run(ctx)
	go e.Run(ctx)
	return e
}

func claimOptions(c config.Entry, store kv.KeyValue, entries func() int) claims.Options {
	o := claims.Options{
		KeyValue:   store,
		Owner:      c.Name,
		Partitions: c.ClaimPartition,
		Entries:    entries,
		Rules: claim.Rules{
			Period: config.Milliseconds(c.ClaimPeriodMS, claims.DefaultPeriod),
			Retain: int64(c.ClaimRetain),
		},
		Pace: config.Milliseconds(c.ClaimPaceMS, 0),
	}
	return o
}

// stopEntry lets the balancer see that the entry is not ready, then refuses new
// requests and waits for the answers on their way.
func stopEntry(e *entry.Entry, callers *http.Server, c config.Entry, second context.Context) error {
	e.StopTaking()
	grace, end := steady.WithTimeout(second, config.Milliseconds(c.StopGraceMS, config.DefaultStopGrace))
	defer end()
	<-grace.Done()
	stopping, cancel := steady.WithTimeout(second, config.Milliseconds(c.StopTimeoutMS, config.DefaultStopTimeout))
	defer cancel()
	return errors.Join(e.Drain(stopping), callers.Shutdown(stopping))
}
