// When an endpoint that vanished from the list is kept in use.
//
// Rule: leases of endpoints may run out while the store is away. One that vanishes
// within lapseWindow of the store's return, without having said that it leaves, is
// kept until lapseEnd after the return, but no longer than an endpoint may get new
// requests after it left. If it has come back by then it stays; else it is dropped.
// Inputs: the store's return, the platform's bound on leaving, other entries' word on
// what they keep.
// Never: an endpoint that said it leaves is not kept; outside an outage none is.

package directory

import (
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"
)

const (
	// lapseWindow is how long after the store's return an endpoint may vanish by a lapse.
	lapseWindow = time.Second
	// lapseEnd is when, after the store's return, all that have vanished are dropped.
	// Live endpoints are back within about two seconds of the return.
	lapseEnd = 2300 * time.Millisecond
	// leaveSlack is the part of the time allowed after leaving that is not used.
	leaveSlack = 100 * time.Millisecond
)

// lapse is an endpoint that vanished from the list and is still used.
type lapse struct {
	endpoint placement.Endpoint
	until    time.Time
}

// keepFor returns how long an endpoint that has just vanished stays in use, 0 for
// not at all. The directory is locked.
func (d *Directory) keepFor(now time.Time, e placement.Endpoint) time.Duration {
	regained := d.contact.regained
	if e.Leaving || regained.IsZero() || now.Sub(regained) > lapseWindow {
		return 0
	}
	return min(regained.Add(lapseEnd).Sub(now), d.leaveWithin-leaveSlack)
}

// keeping tells how long an endpoint that has just vanished stays in use.
type keeping func(now time.Time, e placement.Endpoint) time.Duration

// keptByPeer keeps what another entry keeps.
func keptByPeer(lapsed map[string]time.Duration) keeping {
	return func(_ time.Time, e placement.Endpoint) time.Duration { return min(lapsed[e.ID], lapseEnd) }
}

// vanish takes an endpoint off the list and keeps it in use for a time. The
// directory is locked.
func (d *Directory) vanish(e placement.Endpoint, keep time.Duration) {
	delete(d.endpoints, e.ID)
	if keep <= 0 {
		return
	}
	if d.lapsed == nil {
		d.lapsed = map[string]lapse{}
	}
	d.lapsed[e.ID] = lapse{endpoint: e, until: steady.Now().Add(keep)}
	steady.AfterFunc(keep, d.dropLapsed)
}

// dropLapsed drops the endpoints that have not come back in time.
func (d *Directory) dropLapsed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	dropped := false
	for id, l := range d.lapsed {
		if now.Before(l.until) {
			continue
		}
		delete(d.lapsed, id)
		dropped = true
		log.With("endpoint", id).Info("An endpoint that vanished during an outage of the store has not come back; it is dropped.")
	}
	if dropped {
		d.onEndpoints(d.usable())
	}
}

// set puts an endpoint on the list. The directory is locked.
func (d *Directory) set(e placement.Endpoint) {
	delete(d.lapsed, e.ID)
	d.endpoints[e.ID] = e
}

// usable returns the list with the endpoints that are kept beside it. The directory
// is locked.
func (d *Directory) usable() []placement.Endpoint {
	list := d.list()
	for _, l := range d.lapsed {
		list = append(list, l.endpoint)
	}
	return list
}

// Serving tells whether an endpoint is listed, or kept in use though it vanished, and has
// not said that it leaves.
func (d *Directory) Serving(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, listed := d.endpoints[id]
	_, lapsed := d.lapsed[id]
	return listed && !e.Leaving || lapsed
}

// Lapsed returns the endpoints that vanished and are kept in use, by id, and for how
// much longer.
func (d *Directory) Lapsed() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	left := make(map[string]time.Duration, len(d.lapsed))
	for id, l := range d.lapsed {
		left[id] = l.until.Sub(now)
	}
	return left
}

// SetBounds takes in changed bounds of the process.
func (d *Directory) SetBounds(b driver.Bounds) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaveWithin = b.LeaveWithin
}
