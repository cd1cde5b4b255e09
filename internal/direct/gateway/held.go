// Writes the held contents to the store's records, and reads them.
//
// Rule: the entry that observes the crash by which a content becomes held, or by which its trial
// failed, writes the record. Records are read by an entry that starts and finds no other entry to
// ask, on behalf of its data centre, and by an entry without live peers that observed a crash of an
// endpoint. The record is deleted when a run succeeds. Trials are in trial.go.
// Inputs: the store's records, true time.
// Units: calls to the store: one for a content that becomes held, one for a data centre in which all
// entries have restarted. None for a content that is not held.
// Never: a request waits for the store, except at an entry without live peers that has just observed a
// crash.

package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"

	"github.com/fxamacker/cbor/v2"
)

const (
	// holdPrefix is the prefix of the records of held contents.
	holdPrefix = "quarantine/"
	// trialInterval is the time between two tries to begin a trial, and the minimum Retry-After of
	// a request with a held content.
	trialInterval = time.Second
	// abandonedTrialHold is how long a content is held after a trial that reached no endpoint.
	// Endpoints that crashed are back after seconds.
	abandonedTrialHold = 2 * time.Second
	// trialTimeout limits the call after a failed trial, and how long an entry without live peers
	// waits for the records. The store responds within some ms.
	trialTimeout = 300 * time.Millisecond
	// maxStoreTries limits the tries to write, read or delete a record, and storeRetryInterval is
	// the time between two tries. Together they cover a store outage of half a minute.
	maxStoreTries      = 30
	storeRetryInterval = time.Second
	// holdsPerEvent is the number of contents in one event, so that the event fits into a datagram:
	// each takes some 30 bytes of 1,200.
	holdsPerEvent = 30
	// maxRecords limits the records that are broadcast to other entries. Each takes 30 bytes.
	maxRecords = 256
	// maxRecordAge is how long after the end of its hold a record is deleted by an entry that reads
	// it.
	maxRecordAge = 24 * time.Hour
)

// holdRecord is the store's record of a held content.
type holdRecord struct {
	Crashes int   `cbor:"1,keyasint"` // of endpoints while running the content
	UntilMS int64 `cbor:"2,keyasint"` // true time of the next trial, in ms since 1970
	Trials  int   `cbor:"3,keyasint"` // number of trials so far
	// Owner is the incarnation that claimed the trial, 0 for a record that claims none or is of an
	// older version.
	Owner uint64 `cbor:"4,keyasint,omitempty"`
}

func (r holdRecord) until() time.Time { return time.UnixMilli(r.UntilMS) }

// storeHold writes the record of a held content.
func (g *Gateway) storeHold(k quarantine.Key) {
	g.retryStore(context.Background(), "write", func(ctx context.Context) error {
		now := steady.Now()
		v := g.suspects.verdict(now, k)
		if !v.Held {
			return nil // cleared in the meantime
		}
		return g.putHold(ctx, k, holdRecord{
			Crashes: v.Crashes, Trials: v.Trials, UntilMS: g.dispatcher.trueTime(now).Add(v.Remaining).UnixMilli(),
		})
	})
}

// putHold writes a record if the conditions hold.
func (g *Gateway) putHold(ctx context.Context, k quarantine.Key, r holdRecord, conditions ...driver.Condition) error {
	value, err := cbor.Marshal(r)
	if err != nil {
		return fmt.Errorf("gateway: encode the record of a held content: %w", err)
	}
	_, err = g.options.Records.Update(ctx, driver.Update{
		Conditions: conditions,
		Put:        []driver.Record{{Key: holdKey(k), Value: value}},
	})
	return err
}

// holdKey returns the key of a content's record.
func holdKey(k quarantine.Key) string { return holdPrefix + k.String() }

// deleteHold deletes the record of a content that is no longer held.
func (g *Gateway) deleteHold(k quarantine.Key) {
	g.retryStore(context.Background(), "drop", func(ctx context.Context) error {
		_, err := g.options.Records.Update(ctx, driver.Update{Remove: []string{holdKey(k)}})
		return err
	})
}

// retryStore makes a store call until it succeeds, ctx is done or the tries are used up.
func (g *Gateway) retryStore(ctx context.Context, operation string, call func(ctx context.Context) error) {
	if g.options.Records == nil {
		return
	}
	for range maxStoreTries {
		err := call(ctx)
		if err == nil {
			return
		}
		log.With("reason", err.Error()).With("call", operation).WarnLimited("held", "A call for the records of held contents failed; it is retried.")
		if !workers.Sleep(ctx, storeRetryInterval) {
			return
		}
	}
}

// loadHolds reads the records, at an entry without live peers.
func (g *Gateway) loadHolds(now time.Time) {
	s := &g.suspects
	s.mu.Lock()
	due := now.Sub(s.loadedAt) >= trialInterval
	if due {
		s.loadedAt = now
	}
	s.mu.Unlock()
	if !due || g.options.Records == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	if _, err := g.readHolds(ctx); err != nil {
		log.With("reason", err.Error()).WarnLimited("held", "The records of held contents can't be read.")
	}
}

// LoadHolds reads from the store which contents are held, and broadcasts them.
func (g *Gateway) LoadHolds(ctx context.Context) {
	g.retryStore(ctx, "read", func(ctx context.Context) error {
		holds, err := g.readHolds(ctx)
		g.broadcastHolds(holds)
		return err
	})
}

// broadcastHolds broadcasts which contents are held.
func (g *Gateway) broadcastHolds(holds []quarantine.HoldReport) {
	for chunk := range slices.Chunk(holds, holdsPerEvent) {
		g.broadcastRepeatedly(peers.Event{Kind: peers.ContentHeld, Holds: chunk})
	}
}

// readHolds reads the records and applies them.
func (g *Gateway) readHolds(ctx context.Context) ([]quarantine.HoldReport, error) {
	records, err := g.options.Records.List(ctx, holdPrefix)
	if err != nil {
		return nil, err
	}
	now := steady.Now()
	trueNow := g.dispatcher.trueTime(now)
	var holds []quarantine.HoldReport
	for _, stored := range records {
		k, ok := quarantine.ParseKey(strings.TrimPrefix(stored.Key, holdPrefix))
		var r holdRecord
		if err := cbor.Unmarshal(stored.Value, &r); err != nil || !ok {
			log.With("key", stored.Key).WarnLimited("record", "A record of a held content is invalid and is ignored.")
			continue
		}
		left := r.until().Sub(trueNow)
		if left < -maxRecordAge {
			go g.deleteHold(k)
			continue
		}
		if len(holds) < maxRecords {
			holds = append(holds, quarantine.HoldReport{Content: k[:], Crashes: r.Crashes, Trials: r.Trials, ForMS: left.Milliseconds()})
		}
	}
	g.suspects.restore(now, quarantine.Snapshot{Holds: holds})
	if len(holds) > 0 {
		log.With("contents", len(holds)).Info("The records of held contents were read from the store.")
	}
	return holds, nil
}

// ReleaseContent removes the crashes counted against a content, at an operator's request. It
// returns false if there are none.
func (g *Gateway) ReleaseContent(k quarantine.Key) bool { return g.clear(k) }
