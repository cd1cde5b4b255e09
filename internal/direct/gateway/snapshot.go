package gateway

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/resumption"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/steady"

	"github.com/fxamacker/cbor/v2"
)

// snapshot is the state that an entry sends to another that has just started. Entries of earlier
// versions ignore fields that placement does not have.
type snapshot struct {
	placement.Snapshot
	Contents quarantine.Snapshot          `cbor:"10,keyasint,omitempty"`
	Versions resumption.VersionsSnapshot  `cbor:"13,keyasint,omitempty"`
	Origins  []resumption.OriginsSnapshot `cbor:"14,keyasint,omitempty"`
}

// Snapshot returns the state that an entry needs when it starts: the attempts of all entries, the
// prompt parts that engines have cached, and suspect contents.
func (g *Gateway) Snapshot() ([]byte, error) {
	now := steady.Now()
	d := &g.dispatcher
	s := snapshot{Contents: g.suspects.snapshot(now, d.owner)}
	d.mu.Lock()
	s.Snapshot = d.table.Snapshot(now)
	s.Versions = d.versions.Snapshot(now)
	s.Origins = d.origins.Snapshot(now)
	d.mu.Unlock()
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("gateway: encode a snapshot: %w", err)
	}
	return data, nil
}

// Restore applies the snapshot of another entry that was asked for at a time.
func (g *Gateway) Restore(askedAt time.Time, data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("gateway: decode a snapshot: %w", err)
	}
	g.suspects.restore(steady.Now(), s.Contents)
	d := &g.dispatcher
	for _, part := range s.Origins {
		d.restoreOrigins(part)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Restore(steady.Now(), s.Snapshot)
	d.versions.Restore(steady.Now(), askedAt, s.Versions)
	open := d.table.Open()
	log.With("endpoints", len(s.Endpoints)).With("parts", len(s.Parts)).With("attempts", open).With("bytes", len(data)).
		Info("The snapshot of another entry was applied.")
	return nil
}

// restoreOrigins applies part of the origins of streams in a snapshot.
func (d *dispatcher) restoreOrigins(part resumption.OriginsSnapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.origins.Restore(steady.Now(), part)
}

// EndRestore records that no further snapshot will arrive.
func (g *Gateway) EndRestore() {
	d := &g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.StopRestoring()
}

const (
	// maxCachedParts limits the parts recorded per engine; the largest are preferred. Broadcasting
	// them takes 4 KB to each entry.
	maxCachedParts = 300
	// partsPerEvent is the number of parts in one event, so that the event fits into a datagram.
	partsPerEvent = 60
	// maxQueriedEngines limits the engines that one entry queries. Entries that do not know each
	// other are each responsible for more engines. It is several times the number of engines per
	// entry in known fleets.
	maxQueriedEngines = 32
	// cachedPartsTimeout limits one query to an engine.
	cachedPartsTimeout = 500 * time.Millisecond
)

// QueryCachedParts asks the engines that this entry is responsible for which prompt parts they have
// cached, and broadcasts the responses.
func (g *Gateway) QueryCachedParts(ctx context.Context, responsible func(endpoint, dataCentre string) bool) {
	queried := 0
	endpoints := g.directory.Endpoints().List
	evacuations := g.directory.Evacuations()
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] }) // entries that reach the maximum query different engines
	for _, e := range endpoints {
		if !e.Engine || e.Leaving || evacuations.Has(e.DataCentre) || !responsible(e.ID, e.DataCentre) || g.dispatcher.mustWithdraw(e.Incarnation()) {
			continue
		}
		if queried == maxQueriedEngines {
			break
		}
		queried++
		parts, err := g.cachedParts(ctx, e.Address)
		if err != nil {
			log.With("endpoint", e.ID).With("reason", err.Error()).WarnLimited("kept", "An engine did not report its cached prompt parts.")
			continue
		}
		g.dispatcher.recordCachedParts(e.Incarnation(), parts)
	}
	log.With("engines", queried).Info("Engines were asked for their cached prompt parts.")
}

// cachedParts returns the largest parts that an engine has cached.
func (g *Gateway) cachedParts(ctx context.Context, address string) ([]memory.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, cachedPartsTimeout)
	defer cancel()
	parts, err := g.options.Driver.CachedParts(ctx, address)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(parts, func(a, b memory.Part) int { return cmp.Compare(b.Tokens, a.Tokens) })
	return parts[:min(len(parts), maxCachedParts)], nil
}

// recordCachedParts records which parts an engine has cached and broadcasts them.
func (d *dispatcher) recordCachedParts(endpoint string, parts []memory.Part) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.AddCached(steady.Now(), endpoint, parts)
	for chunk := range slices.Chunk(parts, partsPerEvent) {
		d.broadcastLocked(peers.Event{Kind: peers.PartsCached, Endpoint: endpoint, Parts: chunk})
	}
}
