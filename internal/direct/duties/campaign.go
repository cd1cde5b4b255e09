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

// holderKey is the record of the holder of the duties.
const holderKey = "duties/holder"

// holderRecord is what the holder writes of itself.
type holderRecord struct {
	Owner uint64 `cbor:"1,keyasint"` // incarnation of the process
	Name  string `cbor:"2,keyasint"`
}

// campaign does what is due about the lease.
func (d *Duties) campaign(ctx context.Context) {
	_, other := d.options.Group.Holder()
	store := d.options.Store
	s := duty.Situation{Eligible: store.ReadsStore() && store.Following(), Heard: other}
	d.mu.Lock()
	s.Eligible = s.Eligible && !d.leaving
	move := d.election.Due(steady.Now(), s)
	lease := d.election.Lease
	d.mu.Unlock()
	switch move {
	case duty.Try:
		d.try(ctx)
	case duty.Renew:
		d.renew(ctx, lease)
	case duty.GiveUp:
		d.lose(lease.Fence, "the store has not renewed the lease for long")
	}
	d.announce()
}

// announce tells other entries whether this one holds the duties, where that has changed.
func (d *Duties) announce() {
	d.mu.Lock()
	fence := uint64(0)
	if d.election.Lease.Held(steady.Now()) {
		fence = d.election.Lease.Fence
	}
	changed := fence != d.announced
	d.announced = fence
	d.mu.Unlock()
	if changed {
		d.options.Group.SetFence(fence)
	}
}

// try looks for the holder's record and writes an own one where there is none.
func (d *Duties) try(ctx context.Context) {
	found, err := d.options.Records.Read(ctx, holderKey)
	switch {
	case err == nil && d.isOwn(found):
		d.adopt(ctx, found)
	case errors.Is(err, storeerr.ErrNotFound):
		d.win(ctx)
	default:
		d.tried(err)
	}
}

// tried records that a try did not win.
func (d *Duties) tried(err error) {
	if err != nil && !errors.Is(err, driver.ErrConflict) {
		log.With("reason", err.Error()).Limited("try", "The store does not answer a try to hold the duties; it is made again.")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.election.Tried(steady.Now())
}

// isOwn tells whether a holder's record was written by this incarnation.
func (d *Duties) isOwn(r driver.Record) bool {
	var h holderRecord
	if err := cbor.Unmarshal(r.Value, &h); err != nil {
		log.With("reason", err.Error()).Limited("holder", "The record of the duties' holder can't be read; its lease has to run out.")
		return false
	}
	return h.Owner == d.options.Owner
}

// adopt holds the duties by an own record that was written though the answer was lost.
func (d *Duties) adopt(ctx context.Context, r driver.Record) {
	asked := steady.Now()
	if err := d.options.Records.Renew(ctx, r.Lease); err != nil {
		d.tried(err)
		return
	}
	d.won(r.Lease, r.Revision, asked)
}

// win writes the own record with a new lease, if there still is none.
func (d *Duties) win(ctx context.Context) {
	value, err := cbor.Marshal(holderRecord{Owner: d.options.Owner, Name: d.options.Name})
	if err != nil {
		d.tried(err)
		return
	}
	records := d.options.Records
	asked := steady.Now()
	lease, err := records.Grant(ctx, d.election.Terms.TTL)
	if err != nil {
		d.tried(err)
		return
	}
	fence, err := records.Update(ctx, driver.Update{
		Conditions: []driver.Condition{{Key: holderKey}},
		Put:        []driver.Record{{Key: holderKey, Value: value, Lease: lease}},
	})
	if err != nil {
		d.tried(err)
		return
	}
	d.won(lease, fence, asked)
}

// won records that this entry holds the duties.
func (d *Duties) won(lease string, fence uint64, asked time.Time) {
	d.mu.Lock()
	terms := d.election.Terms
	l := duty.Lease{}.WithGrant(lease, fence, asked, steady.Now(), terms)
	d.election.Won(l, asked)
	d.mu.Unlock()
	d.metrics.Counter("duties_won").Inc(1)
	log.With("fence", fence).With("lease_ms", terms.TTL.Milliseconds()).With("acts_in_ms", terms.Handover.Milliseconds()).
		Info("The duties are held.")
}

// renew renews the lease.
func (d *Duties) renew(ctx context.Context, l duty.Lease) {
	asked := steady.Now()
	err := d.options.Records.Renew(ctx, l.ID)
	if errors.Is(err, storeerr.ErrNotFound) {
		d.lose(l.Fence, "the store says that the lease is over")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.election.Lease.Fence != l.Fence: // lost meanwhile
	case err != nil:
		d.election.RenewalFailed(steady.Now())
		log.With("reason", err.Error()).Limited("renew", "The lease of the duties can't be renewed; it is tried again.")
	default:
		d.election.Renewed(asked)
	}
}
