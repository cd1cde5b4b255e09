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

	"foxcross.dev/coord/claim"
)

const idBytes = 12

// newID returns an id that does not repeat.
func newID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// RunEntry runs an entry until it is told to stop.
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
	factory, err := kv.Drivers.Get(c.Platform.Driver)
	if err != nil {
		return err
	}
	p, err := factory(c.Platform.Address)
	if err != nil {
		return err
	}
	scope, served, closer := metrics.New("entry")
	defer func() { _ = closer.Close() }() // the process ends
	store := &versions.Store{KeyValue: p, Holder: &versions.Holder{}, Now: time.Now, NewID: newID}
	var e *entry.Entry
	batcher := claims.New(claimOptions(c, p, func() int { return e.Entries() }))
	e = entry.New(entry.Options{
		Name:       c.Name,
		DataCentre: c.DataCentre,
		Dialer:     dialer,
		Members:    p,
		Settings:   store.Holder,
		Metrics:    scope,
		Seed:       uint64(time.Now().UnixNano()),
		MaxBody:    c.MaxBodyBytes,
		Requests:   c.MaxRequests,
		Agents:     c.MaxAgents,
		Fanout:     c.Fanout,
		ListEvery:  config.Milliseconds(c.MemberListMS, 0),
		Claims:     batcher,
	})
	store.Watches = e.Watches
	running, end := context.WithCancel(context.Background())
	defer end()
	go store.Watch(running)
	go batcher.Run(running)
	go e.Run(running)
	dump := func() any { return e.Dump() }
	operators, err := listen(c.Admin.Address, admin.Handler(admin.Options{
		KeyHash: c.Admin.KeyHash, Dump: dump, Metrics: served, Tree: &admin.Tree{Store: store},
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
	dumpOnSignal(second, dump)
	<-first.Done()
	return stopEntry(e, callers, c, second)
}

func claimOptions(c config.Entry, p kv.Platform, entries func() int) claims.Options {
	o := claims.Options{
		KeyValue:   p,
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
	grace := time.NewTimer(config.Milliseconds(c.StopGraceMS, config.DefaultStopGrace))
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-second.Done():
	}
	stopping, cancel := context.WithTimeout(second, config.Milliseconds(c.StopTimeoutMS, config.DefaultStopTimeout))
	defer cancel()
	return errors.Join(e.Drain(stopping), callers.Shutdown(stopping))
}
