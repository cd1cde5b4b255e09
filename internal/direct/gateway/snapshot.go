package gateway

import (
	"fmt"
	"time"

	"foxcross.dev/coord/placement"

	"github.com/fxamacker/cbor/v2"
)

// Snapshot returns what this entry knows of the attempts of all entries and of what
// engines keep, for one that has just started.
func (g *Gateway) Snapshot() ([]byte, error) {
	a := &g.attempts
	a.mu.Lock()
	s := a.table.Snapshot(time.Now())
	a.mu.Unlock()
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("gateway: encode a snapshot: %w", err)
	}
	return data, nil
}

// Restore takes in the snapshot of another entry.
func (g *Gateway) Restore(data []byte) error {
	var s placement.Snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("gateway: decode a snapshot: %w", err)
	}
	a := &g.attempts
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Restore(time.Now(), s)
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
