// Redelivery of signals: the events that all peers have to know, however late.
//
// Rule: coord/signals numbers them and finds what is lacking. Heartbeats carry a digest of what their sender
// has. A peer that lacks signals which another has had for signalDelay, when repetitions have arrived,
// fetches them from that one, a single fetch at a time. So what a pause, a full queue or a lost datagram
// took is known within a second of the next heartbeat.
// Inputs: signals of this process and of others, digests in heartbeats, the time.
// Units: signals, times.
// Never: a signal that is fetched counts as younger than it is; a peer of an older version is asked.

package peers

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"foxcross.dev/coord/signals"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/transfer"

	"github.com/fxamacker/cbor/v2"
)

// SignalsPath is the path at which a peer serves the signals that another one lacks.
const SignalsPath = "/signals"

const (
	// signalDelay is how long a peer may have more signals before they are fetched from it. It is longer
	// than the ways that datagrams take, and than the first repetition.
	signalDelay = 500 * time.Millisecond
	// summaryAge is how long a summary is used: a process receives two hundred heartbeats a second from a
	// data centre of fifty.
	summaryAge = 100 * time.Millisecond
	// signalsTimeout bounds the time without progress of a fetch.
	signalsTimeout = time.Second
	// maxSignalsBytes bounds the size of a request and of a response. Four thousand signals take some 1.2 MB.
	maxSignalsBytes = 4 << 20
)

// signalsRequest holds the numbers of the signals that the sender has.
type signalsRequest struct {
	Positions []signals.Position `cbor:"1,keyasint"`
}

// signalsResponse holds the signals that the sender of a request lacks, oldest first, and the numbers of all.
type signalsResponse struct {
	Signals   []signalRecord     `cbor:"1,keyasint"`
	Positions []signals.Position `cbor:"2,keyasint"`
}

// signalRecord is one signal.
type signalRecord struct {
	_      struct{} `cbor:",toarray"`
	Owner  uint64
	Number uint64
	AgeMS  int64
	Event  []byte // encoded
}

// NumberSignal returns an event with the number that its repetitions share.
func (g *Group) NumberSignal(e Event) Event {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.Kind.isSignal() && e.Signal == 0 {
		e.Signal = g.signals.Next()
	}
	return e
}

// recordOwnSignal numbers an event of this process if it is a signal, and keeps it. g.mu must be held.
func (g *Group) recordOwnSignal(e Event) Event {
	if !e.Kind.isSignal() {
		return e
	}
	if e.Signal == 0 {
		e.Signal = g.signals.Next()
	}
	g.recordSignal(g.options.Owner, e, e.occurredAt)
	return e
}

// recordSignals keeps the signals among another peer's events.
func (g *Group) recordSignals(owner uint64, events []Event) {
	for _, e := range events {
		if e.Signal == 0 || !e.Kind.isSignal() {
			continue
		}
		at := steady.Now().Add(-time.Duration(e.AgeMS) * time.Millisecond)
		g.mu.Lock()
		g.recordSignal(owner, e, at)
		g.mu.Unlock()
	}
}

// recordSignal keeps a signal. g.mu must be held.
func (g *Group) recordSignal(owner uint64, e Event, at time.Time) {
	e.AgeMS = 0
	if data, ok := e.encode(); ok {
		g.signals.Record(signals.Signal{Owner: owner, Number: e.Signal, At: at, Data: data})
	}
}

// summarizeSignals sets which signals this process has in a heartbeat. g.mu must be held.
func (g *Group) summarizeSignals(h *heartbeat, now time.Time) {
	s := g.signalSummary(now)
	h.SignalDigest, h.SignalCount = s.Digest, s.Count
}

// signalSummary returns which signals this process had at most summaryAge ago. g.mu must be held.
func (g *Group) signalSummary(now time.Time) signals.Summary {
	if now.Sub(g.summaryAt) >= summaryAge {
		g.summary, g.summaryAt = g.signals.Summary(now), now
	}
	return g.summary
}

// compareSignals records whether the sender of a heartbeat has signals that this process lacks. g.mu must be
// held.
func (g *Group) compareSignals(m *member, h *heartbeat, now time.Time) {
	peer := signals.Summary{Digest: h.SignalDigest, Count: h.SignalCount}
	switch {
	case !g.signalSummary(now).Lags(peer):
		m.signalsAheadSince = time.Time{}
	case m.signalsAheadSince.IsZero():
		m.signalsAheadSince = now
	}
}

// catchUpSignals fetches the signals that this process lacks from one of the peers that have had them for
// signalDelay.
func (g *Group) catchUpSignals(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signals.Expire(now)
	var ahead []string
	for address, m := range g.members {
		if m.alive(now) && !m.signalsAheadSince.IsZero() && now.Sub(m.signalsAheadSince) >= signalDelay {
			ahead = append(ahead, address)
		}
	}
	if len(ahead) == 0 || g.fetchingSignals {
		return
	}
	g.fetchingSignals = true
	from := ahead[rand.IntN(len(ahead))]
	g.members[from].signalsAheadSince = time.Time{}
	request := signalsRequest{Positions: g.signals.Positions()}
	go g.fetchSignals(ctx, from, request)
}

// fetchSignals fetches the signals that this process lacks from a peer, and applies them.
func (g *Group) fetchSignals(ctx context.Context, from string, request signalsRequest) {
	defer func() {
		g.mu.Lock()
		g.fetchingSignals = false
		g.mu.Unlock()
	}()
	response, err := postSignals(ctx, from, request)
	if err != nil {
		log.With("peer", from).With("reason", err.Error()).WarnLimited("signals", "Fetching signals failed; another peer is asked.")
		return
	}
	applied := 0
	for _, r := range response.Signals {
		if g.applySignal(r) {
			applied++
		}
	}
	g.mu.Lock()
	lost := g.signals.Skip(steady.Now(), response.Positions)
	g.mu.Unlock()
	if applied > 0 || lost > 0 {
		log.With("peer", from).With("signals", applied).With("no_longer_kept", lost).Info("Signals that had not arrived were fetched from a peer.")
	}
}

// applySignal applies a signal that was fetched. It returns false if that has arrived meanwhile.
func (g *Group) applySignal(r signalRecord) bool {
	var e Event
	if err := cbor.Unmarshal(r.Event, &e); err != nil {
		log.With("reason", err.Error()).WarnLimited("event", "Dropping an event of a peer that can't be decoded.")
		return false
	}
	if !g.isOtherOwner(r.Owner) || !e.Kind.isSignal() || e.Signal != r.Number {
		return false
	}
	e.AgeMS = max(r.AgeMS, 0)
	g.mu.Lock()
	fresh := g.signals.Record(signals.Signal{
		Owner: r.Owner, Number: r.Number, At: steady.Now().Add(-time.Duration(e.AgeMS) * time.Millisecond), Data: r.Event,
	})
	g.mu.Unlock()
	if fresh {
		g.options.Listener.HandleEvents(r.Owner, []Event{e})
	}
	return fresh
}

// postSignals sends a request for signals to a peer.
func postSignals(ctx context.Context, address string, q signalsRequest) (signalsResponse, error) {
	data, err := cbor.Marshal(q)
	if err != nil {
		return signalsResponse{}, fmt.Errorf("peers: encode a request for signals: %w", err)
	}
	f := transfer.Begin(ctx, signalsTimeout, signalsTimeout)
	defer f.End()
	to := url.URL{Scheme: "http", Host: address, Path: SignalsPath}
	request, err := http.NewRequestWithContext(f.Context(), http.MethodPost, to.String(), bytes.NewReader(data))
	if err != nil {
		return signalsResponse{}, fmt.Errorf("peers: signals at %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return signalsResponse{}, fmt.Errorf("peers: signals at %s: %w", address, f.Cause(err))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return signalsResponse{}, fmt.Errorf("peers: signals at %s: status %d", address, response.StatusCode)
	}
	body, err := f.ReadAll(response.Body, maxSignalsBytes, nil)
	if err != nil {
		return signalsResponse{}, fmt.Errorf("peers: signals at %s: %w", address, err)
	}
	var r signalsResponse
	if err := cbor.Unmarshal(body, &r); err != nil {
		return signalsResponse{}, fmt.Errorf("peers: signals at %s: %w", address, err)
	}
	return r, nil
}

// SignalsHandler serves the signals that other peers lack.
func (g *Group) SignalsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q signalsRequest
		if err := cbor.NewDecoder(http.MaxBytesReader(w, r.Body, maxSignalsBytes)).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		data, err := cbor.Marshal(g.signalsFor(q, steady.Now()))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data) // the peer may be gone
	})
}

// signalsFor returns the response to a request for signals.
func (g *Group) signalsFor(q signalsRequest, now time.Time) signalsResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := signalsResponse{Positions: g.signals.Positions()}
	for _, s := range g.signals.Since(q.Positions) {
		r.Signals = append(r.Signals, signalRecord{Owner: s.Owner, Number: s.Number, AgeMS: now.Sub(s.At).Milliseconds(), Event: s.Data})
	}
	return r
}
