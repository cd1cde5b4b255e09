package directory

import "time"

// contact is what is known of the store's answers. Directory.mu guards it.
type contact struct {
	following bool      // the store answered the last call
	outage    bool      // the store has failed since it first answered
	regained  time.Time // when it last answered again after an outage
	last      time.Time // when the last call was made that it answered
}

// storeAnswered records that the store answered, before its answer is taken in.
func (d *Directory) storeAnswered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.contact.following {
		return
	}
	d.contact.following = true
	if d.contact.outage {
		d.contact.regained = time.Now()
	}
	log.Info("The store answers.")
}

// storeFailed records that the store did not answer; true if it answered before.
func (d *Directory) storeFailed() (first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first = d.contact.following
	d.contact.following = false
	d.contact.outage = d.contact.outage || first
	return first
}

// Following tells whether the store answered the last call.
func (d *Directory) Following() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact.following
}

// setLastContact records that the store answered a call made at the time.
func (d *Directory) setLastContact(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contact.last = at
}

// LastContact returns when the last call was made that the store answered.
func (d *Directory) LastContact() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact.last
}
