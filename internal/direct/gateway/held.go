// Which contents are held, in the store's records.
//
// Rule: the entry that sees the end by which a content becomes held, or by which a trial of it
// failed, writes it down. What is written down is read by an entry that starts and finds none
// to ask, on behalf of its data centre, and by one that hears of no other entry and has seen
// an endpoint end. When a hold is over one request may try the content: whoever writes the
// trial down, on condition that nobody else has, sends it. The record goes when a run ends
// well.
// Inputs: the store's records, true time.
// Units: calls of the store: one for a content that becomes held, three for a trial, one for
// a data centre that starts anew. None for a content that is not held.
// Never: a trial is sent while the store does not answer; the content stays held.

package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/storeerr"

	"github.com/fxamacker/cbor/v2"
)

const (
	// heldPrefix is below which the records of held contents are, by key.
	heldPrefix = "quarantine/"
	// trialInterval is the time between two tries to begin a trial, and the shortest time
	// after which a refused caller may come back. Chosen, not measured.
	trialInterval = time.Second
	// returnedTrialAfter is how long a content is held after a trial that reached no endpoint.
	// Chosen, not measured: endpoints that ended are back after seconds.
	returnedTrialAfter = 2 * time.Second
	// trialTimeout bounds the calls before a trial, and what an entry that hears of no other
	// one waits for the records. Chosen, not measured: the store answers in some ms.
	trialTimeout = 300 * time.Millisecond
	// recordTries is how often a record is tried to be written, read or dropped, and
	// recordRetry the time between two tries. Chosen, not measured: an outage of the store of
	// half a minute is borne.
	recordTries = 30
	recordRetry = time.Second
	// maxRecords bounds the records that are told to other entries. Chosen, not measured:
	// each takes 30 bytes.
	maxRecords = 256
	// maxRecordAge is how long after its hold a record is dropped by whoever reads it.
	// Chosen, not measured.
	maxRecordAge = 24 * time.Hour
)

// heldRecord is the record of a content that is held.
type heldRecord struct {
	Ends    int   `cbor:"1,keyasint"` // of endpoints under the content
	UntilMS int64 `cbor:"2,keyasint"` // true time of the next trial, ms since 1970
	Trials  int   `cbor:"3,keyasint"` // of it so far
}

func (r heldRecord) until() time.Time { return time.UnixMilli(r.UntilMS) }

// encodeHeld returns a record as it is written.
func encodeHeld(k quarantine.Key, r heldRecord) (driver.Record, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return driver.Record{}, fmt.Errorf("gateway: encode a held content: %w", err)
	}
	return driver.Record{Key: heldPrefix + k.String(), Value: value}, nil
}

// recordHeld writes down that a content is held.
func (g *Gateway) recordHeld(k quarantine.Key) {
	g.tryRecords("write", func(ctx context.Context) error {
		now := steady.Now()
		v := g.suspects.verdict(now, k)
		if !v.Held {
			return nil // cleared meanwhile
		}
		r, err := encodeHeld(k, heldRecord{Ends: v.Ends, Trials: g.suspects.trialsOf(k), UntilMS: g.attempts.trueTime(now).Add(v.For).UnixMilli()})
		if err != nil {
			return err
		}
		_, err = g.options.Records.Update(ctx, driver.Update{Put: []driver.Record{r}})
		return err
	})
}

// dropRecord takes out the record of a content that is not held any more.
func (g *Gateway) dropRecord(k quarantine.Key) {
	g.tryRecords("drop", func(ctx context.Context) error {
		_, err := g.options.Records.Update(ctx, driver.Update{Remove: []string{heldPrefix + k.String()}})
		return err
	})
}

// tryRecords makes a call of the records until it succeeds.
func (g *Gateway) tryRecords(what string, call func(ctx context.Context) error) {
	if g.options.Records == nil {
		return
	}
	for range recordTries {
		err := call(context.Background())
		if err == nil {
			return
		}
		log.With("reason", err.Error()).With("call", what).Limited("held", "A record of a held content can't be written or read; it is tried again.")
		time.Sleep(recordRetry)
	}
}

// beginTrial tells whether this request may try a content whose hold is over.
func (g *Gateway) beginTrial(ctx context.Context, k quarantine.Key) bool {
	now := steady.Now()
	s := &g.suspects
	ends, trials, due := s.askForTrial(now, k)
	if !due {
		return false
	}
	next := heldRecord{Ends: ends, Trials: trials + 1}
	left, granted := quarantine.TrialTime, true
	if g.options.Records != nil {
		ctx, cancel := context.WithTimeout(ctx, trialTimeout)
		defer cancel()
		var err error
		if left, granted, err = g.claimTrial(ctx, k, &next); err != nil {
			log.With("content", k.String()).With("reason", err.Error()).Limited("trial", "The store does not say whether a content may be tried; it stays held.")
			return false
		}
	}
	s.update(func(t *quarantine.Table) {
		t.Hold(k, ends, next.Trials, now.Add(left))
		delete(s.trials, k)
	})
	if granted {
		log.With("content", k.String()).With("ends", ends).With("trials", next.Trials).Info("A content that was held is tried.")
	}
	return granted
}

// askForTrial tells whether a trial of a content is to be asked for now, and what is known of
// it.
func (s *suspects) askForTrial(now time.Time, k quarantine.Key) (ends, trials int, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.trials[k]) < trialInterval {
		return 0, 0, false
	}
	if s.trials == nil {
		s.trials = map[quarantine.Key]time.Time{}
	}
	s.trials[k] = now
	return s.table.Verdict(now, k).Ends, s.table.Trials(k), true
}

// returnTrial lets another request try a content soon, since the one that was to reached no
// endpoint: it would be held for the time of a trial that showed nothing.
func (g *Gateway) returnTrial(k quarantine.Key) {
	now := steady.Now()
	var r heldRecord
	g.suspects.update(func(t *quarantine.Table) {
		r.Ends, r.Trials = t.Verdict(now, k).Ends, max(t.Trials(k)-1, 0)
		t.Hold(k, r.Ends, r.Trials, now.Add(returnedTrialAfter))
	})
	r.UntilMS = g.attempts.trueTime(now).Add(returnedTrialAfter).UnixMilli()
	g.tellHolds([]quarantine.HoldReport{{Content: k[:], Ends: r.Ends, Trials: r.Trials, ForMS: returnedTrialAfter.Milliseconds()}})
	go g.tryRecords("return", func(ctx context.Context) error {
		x, err := encodeHeld(k, r)
		if err != nil {
			return err
		}
		_, err = g.options.Records.Update(ctx, driver.Update{Put: []driver.Record{x}})
		return err
	})
}

// claimTrial writes down that a content is being tried, if nobody has since its hold was over.
// next is changed to what is written down then. It returns for how long the content is held.
func (g *Gateway) claimTrial(ctx context.Context, k quarantine.Key, next *heldRecord) (time.Duration, bool, error) {
	trueNow := g.attempts.trueTime(steady.Now())
	found, err := g.options.Records.Read(ctx, heldPrefix+k.String())
	if err != nil && !errors.Is(err, storeerr.ErrNotFound) {
		return 0, false, err
	}
	if err == nil {
		var r heldRecord
		if err := cbor.Unmarshal(found.Value, &r); err != nil {
			return 0, false, fmt.Errorf("gateway: decode a held content: %w", err)
		}
		if left := r.until().Sub(trueNow); left > 0 {
			next.Trials = r.Trials
			return left, false, nil
		}
		next.Trials = r.Trials + 1
	}
	next.UntilMS = trueNow.Add(quarantine.TrialTime).UnixMilli()
	x, err := encodeHeld(k, *next)
	if err != nil {
		return 0, false, err
	}
	_, err = g.options.Records.Update(ctx, driver.Update{
		Conditions: []driver.Condition{{Key: x.Key, Revision: found.Revision}},
		Put:        []driver.Record{x},
	})
	if errors.Is(err, driver.ErrConflict) {
		return quarantine.TrialTime, false, nil
	}
	return quarantine.TrialTime, err == nil, err
}

// askStore reads the records, at an entry that hears of no other one.
func (g *Gateway) askStore(now time.Time) {
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
	if _, err := g.readHeld(ctx); err != nil {
		log.With("reason", err.Error()).Limited("held", "The records of held contents can't be read.")
	}
}

// LearnHeld reads which contents are held, and tells the other entries.
func (g *Gateway) LearnHeld(ctx context.Context) {
	g.tryRecords("read", func(context.Context) error {
		holds, err := g.readHeld(ctx)
		if err == nil && len(holds) > 0 {
			g.tellHolds(holds)
		}
		return err
	})
}

// tellHolds tells the other entries which contents are held.
func (g *Gateway) tellHolds(holds []quarantine.HoldReport) {
	const perEvent = 30 // in one datagram
	for n := 0; n < len(holds); n += perEvent {
		g.tellRepeatedly(peers.Event{Kind: peers.ContentHeld, Holds: holds[n:min(n+perEvent, len(holds))]})
	}
}

// readHeld reads the records and takes them in.
func (g *Gateway) readHeld(ctx context.Context) ([]quarantine.HoldReport, error) {
	all, err := g.options.Records.List(ctx, heldPrefix)
	if err != nil {
		return nil, err
	}
	now := steady.Now()
	trueNow := g.attempts.trueTime(now)
	var holds []quarantine.HoldReport
	for _, x := range all {
		k, ok := quarantine.ParseKey(strings.TrimPrefix(x.Key, heldPrefix))
		var r heldRecord
		if err := cbor.Unmarshal(x.Value, &r); err != nil || !ok {
			log.With("key", x.Key).Limited("record", "A record of a held content can't be read and is left out.")
			continue
		}
		left := r.until().Sub(trueNow)
		if left < -maxRecordAge {
			go g.dropRecord(k)
			continue
		}
		if len(holds) < maxRecords {
			holds = append(holds, quarantine.HoldReport{Content: k[:], Ends: r.Ends, Trials: r.Trials, ForMS: left.Milliseconds()})
		}
	}
	g.suspects.restore(now, quarantine.Snapshot{Holds: holds})
	if len(holds) > 0 {
		log.With("contents", len(holds)).Info("Held contents were read from the store.")
	}
	return holds, nil
}

// ReleaseContent drops what is held against a content, by an operator's word. It returns
// false if nothing is.
func (g *Gateway) ReleaseContent(k quarantine.Key) bool { return g.clear(k) }
