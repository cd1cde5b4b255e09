package duties

import (
	"context"
	"errors"
	"time"

	"foxcross.dev/coord/duty"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/storeerr"

	"github.com/fxamacker/cbor/v2"
)

// holderKey is the key of the holder's record.
const holderKey = "duties/holder"

// holderRecord names the holder of the duties in the store.
type holderRecord struct {
	Owner uint64 `cbor:"1,keyasint"` // incarnation of the process
	Name  string `cbor:"2,keyasint"`
}

// runElection makes the move that is due in the election.
func (d *Duties) runElection(ctx context.Context) {
	_, otherHolds := d.options.Group.Holder()
	store := d.options.Store
	s := duty.Situation{Eligible: store.ReadsStore() && store.StoreResponds(), OtherHolder: otherHolds}
	d.mu.Lock()
	s.Eligible = s.Eligible && !d.leaving
	move := d.election.Due(steady.Now(), s)
	lease := d.election.Lease
	d.mu.Unlock()
	switch move {
	case duty.Try:
		d.attempt(ctx)
	case duty.Renew:
		d.renew(ctx, lease)
	case duty.GiveUp:
		d.recordLoss(lease.Fence, "the store did not renew the lease in time")
	}
	d.announce()
}

// announce sends the fence of this entry to the others if it has changed, 0 if this entry does not
// hold the duties.
func (d *Duties) announce() {
	d.mu.Lock()
	fence := uint64(0)
	if d.election.Lease.Held(steady.Now()) {
		fence = d.election.Lease.Fence
	}
	changed := fence != d.announcedFence
	d.announcedFence = fence
	d.mu.Unlock()
	if changed {
		d.options.Group.SetFence(fence)
	}
}

// attempt reads the holder's record and writes one if there is none.
func (d *Duties) attempt(ctx context.Context) {
	found, err := d.options.Records.Read(ctx, holderKey)
	switch {
	case err == nil && d.isOwn(found):
		d.adopt(ctx, found)
	case errors.Is(err, storeerr.ErrNotFound):
		d.acquire(ctx)
	default:
		d.attemptFailed(err)
	}
}

// attemptFailed records an attempt that did not make this entry the holder.
func (d *Duties) attemptFailed(err error) {
	if err != nil && !errors.Is(err, driver.ErrConflict) {
		log.With("reason", err.Error()).WarnLimited("try", "Store call to become holder of the duties failed; retrying.")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.election.AttemptFailed(steady.Now())
}

// isOwn reports whether this incarnation of the process wrote a holder's record.
func (d *Duties) isOwn(r driver.Record) bool {
	var h holderRecord
	if err := cbor.Unmarshal(r.Value, &h); err != nil {
		log.With("reason", err.Error()).WarnLimited("holder", "Cannot decode the record of the duties' holder; waiting for its lease to expire.")
		return false
	}
	return h.Owner == d.options.Owner
}

// adopt holds the duties by a record that this process has written although the store's response
// was lost.
func (d *Duties) adopt(ctx context.Context, r driver.Record) {
	requestedAt := steady.Now()
	if err := d.options.Records.Renew(ctx, r.LeaseName); err != nil {
		d.attemptFailed(err)
		return
	}
	d.acquired(r.LeaseName, r.Revision, requestedAt)
}

// acquire writes the holder's record with a new lease if there still is none.
func (d *Duties) acquire(ctx context.Context) {
	value, err := cbor.Marshal(holderRecord{Owner: d.options.Owner, Name: d.options.Name})
	if err != nil {
		d.attemptFailed(err)
		return
	}
	records := d.options.Records
	requestedAt := steady.Now()
	lease, err := records.Grant(ctx, d.election.Terms.TTL)
	if err != nil {
		d.attemptFailed(err)
		return
	}
	fence, err := records.Update(ctx, driver.Update{
		Conditions: []driver.Condition{{Key: holderKey}},
		Put:        []driver.Record{{Key: holderKey, Value: value, LeaseName: lease}},
	})
	if err != nil {
		d.attemptFailed(err)
		return
	}
	d.acquired(lease, fence, requestedAt)
}

// acquired records that this entry holds the duties.
func (d *Duties) acquired(lease string, fence uint64, requestedAt time.Time) {
	d.mu.Lock()
	terms := d.election.Terms
	l := duty.Lease{}.WithGrant(lease, fence, requestedAt, steady.Now(), terms)
	d.election.Won(l, requestedAt)
	d.mu.Unlock()
	d.metrics.Counter("duties_won").Inc(1)
	log.With("fence", fence).With("lease_ms", terms.TTL.Milliseconds()).With("acts_in_ms", terms.Handover.Milliseconds()).
		Info("Became holder of the duties.")
}

func (d *Duties) renew(ctx context.Context, l duty.Lease) {
	requestedAt := steady.Now()
	err := d.options.Records.Renew(ctx, l.ID)
	if errors.Is(err, storeerr.ErrNotFound) {
		d.recordLoss(l.Fence, "the store reports the lease expired")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.election.Lease.Fence != l.Fence: // lost during the call
	case err != nil:
		d.election.RenewalFailed(steady.Now())
		log.With("reason", err.Error()).WarnLimited("renew", "Cannot renew the lease of the duties; retrying.")
	default:
		d.election.Renewed(requestedAt)
	}
}
