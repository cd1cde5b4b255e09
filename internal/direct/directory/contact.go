package directory

import (
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

// contact is what is known of the store's answers. Directory.mu guards it.
type contact struct {
	following bool          // the store answered the last call
	answers   chan struct{} // closed while following
	outage    bool          // the store has failed since it first answered
	regained  time.Time     // when it last answered again after an outage
	last      time.Time     // when the last call was made that it answered, or when part of an answer last came
}

// storeAnswered records that the store answered, before its answer is taken in.
func (d *Directory) storeAnswered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.contact.following {
		return
	}
	d.contact.following = true
	close(d.contact.answers)
	if d.contact.outage {
		d.contact.regained = steady.Now()
	}
	log.Info("The store answers.")
}

// storeFailed records that the store did not answer; true if it answered before.
func (d *Directory) storeFailed() (first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first = d.contact.following
	d.contact.following = false
	if first {
		d.contact.answers = make(chan struct{})
	}
	d.contact.outage = d.contact.outage || first
	return first
}

// storeAnswers returns a channel that is closed while the store answers.
func (d *Directory) storeAnswers() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact.answers
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
	if at.After(d.contact.last) {
		d.contact.last = at
	}
}

// StoreProgressed records that a part of an answer of the store has come. An entry whose
// answers take long over a thin link is in contact: standbys would only burden the
// store with the same.
func (d *Directory) StoreProgressed() { d.setLastContact(steady.Now()) }

// LastContact returns when the last call was made that the store answered, or when part
// of an answer last came.
func (d *Directory) LastContact() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact.last
}
