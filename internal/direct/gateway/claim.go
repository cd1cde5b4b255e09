// Frees the records of trials whose claim the store did not confirm.
//
// Rule: a claim that got no response may have taken effect, or may still do so. The entry runs no trial
// then, so it writes to the record that the hold has ended, as soon as the store responds. The write
// changes the record's revision, so that the claim can't take effect after it. A record that another
// entry has claimed since is left alone.
// Inputs: the store's record, the incarnation that wrote it, true time.
// Units: calls to the store, two for each unconfirmed claim.
// Never: the record holds a content for the length of a trial that nobody runs. Other entries are not
// notified, since the notice could overtake the result of a trial that one of them runs; those that read
// the claim hold the content as long as it says.

package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/storeerr"

	"github.com/fxamacker/cbor/v2"
)

const (
	// minClaimTime and maxClaimTime limit how long a request waits for the claim of its trial. Callers
	// leave after a gap of 2 s at the earliest.
	minClaimTime = 300 * time.Millisecond
	maxClaimTime = time.Second
	// claimShare limits it to 1/claimShare of the request's time.
	claimShare = 8
)

// claimTime returns how long a request with that much time left waits for the claim of its trial.
func claimTime(left time.Duration) time.Duration {
	return min(max(left/claimShare, minClaimTime), maxClaimTime)
}

// freeClaim ends the hold that an unconfirmed claim may have written, or may yet write.
func (g *Gateway) freeClaim(k quarantine.Key, v quarantine.Verdict) {
	g.retryStore(context.Background(), "free", func(ctx context.Context) error {
		r, revision, err := g.readHold(ctx, k)
		if err != nil {
			return err
		}
		trueNow := g.dispatcher.trueTime(steady.Now())
		if r.until().After(trueNow) && r.Owner != g.options.Owner {
			return nil // another entry runs a trial, or an endpoint crashed under one
		}
		if !g.suspects.verdict(steady.Now(), k).Held { // cleared in the meantime
			if r.Owner != g.options.Owner {
				return nil
			}
			_, err := g.options.Records.Update(ctx, driver.Update{Remove: []string{holdKey(k)}})
			return err
		}
		freed := holdRecord{Crashes: v.Crashes, Trials: v.Trials, UntilMS: trueNow.UnixMilli()}
		return g.putHold(ctx, k, freed, driver.Condition{Key: holdKey(k), Revision: revision}) // fails if the claim took effect in between
	})
}

// readHold returns the record of a content and its revision, zero values if there is none.
func (g *Gateway) readHold(ctx context.Context, k quarantine.Key) (holdRecord, uint64, error) {
	found, err := g.options.Records.Read(ctx, holdKey(k))
	if errors.Is(err, storeerr.ErrNotFound) {
		return holdRecord{}, 0, nil
	}
	if err != nil {
		return holdRecord{}, 0, err
	}
	var r holdRecord
	if err := cbor.Unmarshal(found.Value, &r); err != nil {
		return holdRecord{}, 0, fmt.Errorf("gateway: decode the record of a held content: %w", err)
	}
	return r, found.Revision, nil
}
