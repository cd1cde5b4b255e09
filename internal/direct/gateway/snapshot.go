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
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/steady"

	"github.com/fxamacker/cbor/v2"
)

// snapshot is what one entry hands to another that has just started. Entries of former
// versions pass over what placement does not know.
type snapshot struct {
	placement.Snapshot
	Contents quarantine.Snapshot `cbor:"10,keyasint,omitempty"`
}

// Snapshot returns what this entry knows of the attempts of all entries, of what engines
// keep and of suspect contents, for one that has just started.
func (g *Gateway) Snapshot() ([]byte, error) {
	now := steady.Now()
	a := &g.attempts
	s := snapshot{Contents: g.suspects.snapshot(now, a.owner)}
	a.mu.Lock()
	s.Snapshot = a.table.Snapshot(now)
	a.mu.Unlock()
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("gateway: encode a snapshot: %w", err)
	}
	return data, nil
}

// Restore takes in the snapshot of another entry.
func (g *Gateway) Restore(data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("gateway: decode a snapshot: %w", err)
	}
	g.suspects.restore(steady.Now(), s.Contents)
	a := &g.attempts
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Restore(steady.Now(), s.Snapshot)
	open := a.table.Open()
	log.With("endpoints", len(s.Endpoints)).With("parts", len(s.Parts)).With("attempts", open).With("bytes", len(data)).
		Info("What another entry knows was taken in.")
	return nil
}

// StopRestoring tells that no snapshot comes any more.
func (g *Gateway) StopRestoring() {
	a := &g.attempts
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.StopRestoring()
}

const (
	// maxKept bounds the parts that are taken in of what one engine keeps, the largest first.
	// 4 KB on the way to each entry.
	maxKept = 300
	// keptPerEvent is how many parts fit into one event, so that it fits into one datagram.
	keptPerEvent = 60
	// maxAsked bounds the engines that one entry asks: where entries have not met each other,
	// each takes more for its own. Some times the engines an entry of the fleets known so far.
	maxAsked = 32
	// keptTimeout bounds a question to an engine.
	keptTimeout = 500 * time.Millisecond
)

// LearnMemory asks the engines that are this entry's to ask what they keep of prompts, and
// tells the other entries.
func (g *Gateway) LearnMemory(ctx context.Context, mine func(endpoint, dataCentre string) bool) {
	asked := 0
	all := g.directory.Endpoints().List
	evacuations := g.directory.Evacuations()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] }) // entries that take too many take others
	for _, e := range all {
		if !e.Engine || e.Leaving || evacuations.Has(e.DataCentre) || !mine(e.ID, e.DataCentre) || g.attempts.withdraw(e.Incarnation()) {
			continue
		}
		if asked == maxAsked {
			break
		}
		asked++
		parts, err := g.keptParts(ctx, e.Address)
		if err != nil {
			log.With("endpoint", e.ID).With("reason", err.Error()).Limited("kept", "An engine does not say what it keeps.")
			continue
		}
		g.attempts.learnKept(e.Incarnation(), parts)
	}
	log.With("engines", asked).Info("Engines were asked what they keep.")
}

// keptParts returns the largest parts that an engine keeps.
func (g *Gateway) keptParts(ctx context.Context, address string) ([]memory.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, keptTimeout)
	defer cancel()
	parts, err := g.options.Driver.KeptParts(ctx, address)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(parts, func(a, b memory.Part) int { return cmp.Compare(b.Tokens, a.Tokens) })
	return parts[:min(len(parts), maxKept)], nil
}

// learnKept records what an engine keeps and tells the other entries.
func (a *attempts) learnKept(endpoint string, parts []memory.Part) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.TakeKept(steady.Now(), endpoint, parts)
	for some := range slices.Chunk(parts, keptPerEvent) {
		a.broadcast(peers.Event{Kind: peers.PartsKept, Endpoint: endpoint, Parts: some})
	}
}
