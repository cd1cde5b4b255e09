package directory

import (
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/driver"
)

// Leases of endpoints may run out while the source is away. Endpoints that live
// renew theirs soon after its return, so one that vanishes then without having
// said that it leaves stays in use for a while.
const (
	lapseWindow = time.Second             // after the source's return in which an endpoint may vanish by a lapse
	lapseEnd    = 2300 * time.Millisecond // after the source's return at which all that vanished are taken as gone
	leaveSlack  = 100 * time.Millisecond  // of the time allowed for leaving that is not used
)

// lapse is an endpoint that vanished from the list and is still used.
type lapse struct {
	endpoint placement.Endpoint
	until    time.Time
}

// answered notes that the source answered, before its answer is taken in.
func (d *Directory) answered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.following {
		return
	}
	d.following = true
	if d.outage {
		d.regained = time.Now()
	}
	log.Info("The source answers.")
}

// lost notes that the source did not answer; true if that is news.
func (d *Directory) lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	news := d.following
	d.following = false
	d.outage = d.outage || news
	return news
}

// holdFor returns how long an endpoint that has just vanished stays in use. The
// directory is locked.
func (d *Directory) holdFor(now time.Time, e placement.Endpoint) time.Duration {
	if e.Leaving || d.regained.IsZero() || now.Sub(d.regained) > lapseWindow {
		return 0
	}
	return min(d.regained.Add(lapseEnd).Sub(now), d.leaveWithin-leaveSlack)
}

// vanish takes an endpoint off the list. The directory is locked.
func (d *Directory) vanish(e placement.Endpoint, hold time.Duration) {
	delete(d.endpoints, e.ID)
	if hold <= 0 {
		return
	}
	if d.lapsed == nil {
		d.lapsed = map[string]lapse{}
	}
	d.lapsed[e.ID] = lapse{endpoint: e, until: time.Now().Add(hold)}
	time.AfterFunc(hold, d.dropLapsed)
}

// dropLapsed gives up the endpoints that have not come back in time.
func (d *Directory) dropLapsed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	dropped := false
	for id, l := range d.lapsed {
		if now.Before(l.until) {
			continue
		}
		delete(d.lapsed, id)
		dropped = true
		log.With("endpoint", id).Info("An endpoint that vanished in an outage has not come back.")
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

// usable returns the list with the endpoints that are still used beside it. The
// directory is locked.
func (d *Directory) usable() []placement.Endpoint {
	list := d.list()
	for _, l := range d.lapsed {
		list = append(list, l.endpoint)
	}
	return list
}

// Lapsed returns the ids of the endpoints that vanished and are still used, and
// for how long.
func (d *Directory) Lapsed() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
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
