package directory

import (
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

// storeStatus holds whether and when the store responded. Directory.mu guards it.
type storeStatus struct {
	responding  bool          // the store responded to the last call
	recovery    chan struct{} // closed while responding
	outage      bool          // the store has failed since its first response
	recoveredAt time.Time     // when it last responded again after an outage
	lastContact time.Time     // when the last call with a response was made, or part of a response last arrived
}

// storeResponded records that the store responded. It is called before the response is applied.
func (d *Directory) storeResponded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.store.responding {
		return
	}
	d.store.responding = true
	close(d.store.recovery)
	if d.store.outage {
		d.store.recoveredAt = steady.Now()
	}
	log.Info("The store responds.")
}

// storeFailed records that a call to the store failed. It reports whether the call before
// succeeded.
func (d *Directory) storeFailed() (first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first = d.store.responding
	d.store.responding = false
	if first {
		d.store.recovery = make(chan struct{})
	}
	d.store.outage = d.store.outage || first
	return first
}

// storeRecovery returns a channel that is closed while the store responds.
func (d *Directory) storeRecovery() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.recovery
}

// StoreResponds reports whether the store responded to the last call.
func (d *Directory) StoreResponds() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.responding
}

// setLastContact records a response of the store to a call made at the given time.
func (d *Directory) setLastContact(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.store.lastContact) {
		d.store.lastContact = at
	}
}

// RecordStoreProgress records that part of a response of the store has arrived. A process whose
// responses take long over a slow link is in contact with the store. A standby that read in
// its place would only add the same load to the store.
func (d *Directory) RecordStoreProgress() { d.setLastContact(steady.Now()) }

// LastStoreContact returns when the last call to which the store responded was made, or when part
// of a response last arrived.
func (d *Directory) LastStoreContact() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.lastContact
}
