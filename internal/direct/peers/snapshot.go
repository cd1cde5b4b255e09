// Snapshots: how a starting process obtains the attempts known to its peers.
//
// Rule: once it has the endpoints, it requests a snapshot from a peer that is informed, that is,
// one that has received events for at least discoveryPeriod or restored a snapshot. Peers of the
// local data centre are preferred. If that fails it asks another peer, until discoveryPeriod has
// passed. Events received in the meantime take precedence over the snapshot. If no such peer is
// known within snapshotSearchTimeout, all peers have started together, and the lists of cached
// parts are requested from the engines: from each by one peer, chosen by rank, which sends them to
// the others.
// Inputs: heartbeats, the time.
// Never: requests wait for a snapshot; a peer that has itself just started is asked.

package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"foxcross.dev/coord/rendezvous"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/transfer"
	"foxcross.dev/foxcross/internal/workers"
)

// SnapshotPath is the path at which a peer serves the attempts known to it.
const SnapshotPath = "/attempts"

const (
	// maxConcurrentSnapshots is how many snapshots a process creates and sends at the same time.
	// Each takes some ms of a core while attempts are locked.
	maxConcurrentSnapshots = 1
	// snapshotRetryInterval is the time between two attempts to fetch a snapshot.
	snapshotRetryInterval = 25 * time.Millisecond
	// snapshotSearchTimeout is how long a starting process looks for an informed peer. By then
	// the members of a data centre know each other, and relays have reported twice. With 0.25 s,
	// peers that start together do not know each other yet and many request each engine's list,
	// which delays the engine's work.
	snapshotSearchTimeout = time.Second
)

// EndpointLister reports whether the list of endpoints is known.
type EndpointLister interface{ HasEndpoints() bool }

// SnapshotHandler serves snapshots to other peers.
func SnapshotHandler(snapshot func() ([]byte, error)) http.Handler {
	inProgress := make(chan struct{}, maxConcurrentSnapshots)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case inProgress <- struct{}{}:
			defer func() { <-inProgress }()
		default:
			http.Error(w, "another snapshot is being sent", http.StatusServiceUnavailable)
			return
		}
		data, err := snapshot()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		b, err := newBody(data)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		b.writeTo(w, r)
	})
}

// RestoreSnapshot passes the snapshot of another peer to restore, with the time at which it was asked
// for. It returns false if no peer with a snapshot is known.
func (g *Group) RestoreSnapshot(ctx context.Context, list EndpointLister, restore func(askedAt time.Time, data []byte) error) (found bool) {
	ctx, done := context.WithTimeout(ctx, discoveryPeriod)
	defer done()
	tried := map[string]bool{}
	workers.Every(ctx, snapshotRetryInterval, func(now time.Time) {
		if !list.HasEndpoints() {
			return
		}
		address := g.snapshotSource(now, tried)
		if address == "" {
			if len(tried) == 0 && now.Sub(g.startedAt) > snapshotSearchTimeout {
				done()
			}
			return
		}
		found = true
		tried[address] = true
		askedAt := steady.Now()
		data, err := fetchSnapshot(ctx, address)
		if err == nil {
			err = restore(askedAt, data)
		}
		if err != nil {
			log.With("peer", address).With("reason", err.Error()).WarnLimited("snapshot", "Fetching a snapshot failed; trying another peer.")
			return
		}
		g.snapshotRestored.Store(true)
		done()
	})
	return found
}

// RanksFirst reports whether this process ranks first for a name in a data centre, among the live
// peers there, or among all if there are none.
func (g *Group) RanksFirst(name, dataCentre string) bool {
	key := rendezvous.Hash(name)
	own := rendezvous.Rank(key, rendezvous.Hash(g.options.Name))
	here := g.options.DataCentre == dataCentre
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	before, populated := false, here
	for _, m := range g.members {
		if !m.alive(now) || m.name == "" {
			continue
		}
		there := m.heartbeat.DataCentre == dataCentre
		populated = populated || there
		if there == here && rendezvous.Rank(key, rendezvous.Hash(m.name)) < own {
			before = true
		}
	}
	return !before && (here || !populated)
}

// snapshotSource returns the address of an informed peer that has not been tried, empty for
// none.
func (g *Group) snapshotSource(now time.Time, tried map[string]bool) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var local, remote []string
	for address, m := range g.members {
		switch {
		case !m.alive(now) || !m.heartbeat.Informed || tried[address]:
		case m.remote:
			remote = append(remote, address)
		default:
			local = append(local, address)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return ""
	}
	return local[rand.IntN(len(local))]
}

// fetchSnapshot reads the snapshot of a peer.
func fetchSnapshot(ctx context.Context, address string) ([]byte, error) {
	f := transfer.Begin(ctx, settingsTimeout, stallTimeout)
	defer f.End()
	from := url.URL{Scheme: "http", Host: address, Path: SnapshotPath}
	request, err := http.NewRequestWithContext(f.Context(), http.MethodGet, from.String(), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("peers: snapshot of %s: %w", address, err)
	}
	request.Header.Set("Accept-Encoding", gzipEncoding)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("peers: snapshot of %s: %w", address, f.Cause(err))
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return nil, fmt.Errorf("peers: snapshot of %s: %w", address, errBusy)
	default:
		return nil, fmt.Errorf("peers: snapshot of %s: status %d", address, response.StatusCode)
	}
	data, err := f.ReadAll(response.Body, maxStateBytes, nil)
	if err != nil {
		return nil, fmt.Errorf("peers: snapshot of %s: %w", address, err)
	}
	return gunzip(response, data)
}
