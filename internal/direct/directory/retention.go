// When an endpoint that was removed from the list stays in use.
//
// Rule: leases of endpoints may expire while the store is unavailable. An endpoint that is
// removed within removalWindow of the store's recovery, without having announced that it
// leaves, is retained until retentionEnd after the recovery, but no longer than an endpoint
// may get new requests after it left. If it is listed again by then it stays; otherwise it is
// dropped.
// Inputs: the time of the store's recovery, the platform's bound on leaving, the endpoints
// that peers retain.
// Never: an endpoint that announced that it leaves is retained; an endpoint is retained
// without an outage.

package directory

import (
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"
)

const (
	// removalWindow is how long after the store's recovery a removal counts as an expired lease.
	removalWindow = time.Second
	// retentionEnd is the time after the store's recovery at which retained endpoints are
	// dropped. Live endpoints are listed again within about two seconds of the recovery.
	retentionEnd = 2300 * time.Millisecond
	// leaveMargin is subtracted from the time for which an endpoint may be used after it left.
	leaveMargin = 100 * time.Millisecond
)

// retainedEndpoint is an endpoint that was removed from the list and stays in use.
type retainedEndpoint struct {
	endpoint placement.Endpoint
	until    time.Time
}

// retention returns how long an endpoint that has just been removed stays in use. It returns
// 0 if the endpoint is dropped at once. d.mu is held.
func (d *Directory) retention(now time.Time, e placement.Endpoint) time.Duration {
	recoveredAt := d.store.recoveredAt
	if e.Leaving || recoveredAt.IsZero() || now.Sub(recoveredAt) > removalWindow {
		return 0
	}
	return min(recoveredAt.Add(retentionEnd).Sub(now), d.leaveWithin-leaveMargin)
}

// retentionFunc returns how long an endpoint that has just been removed stays in use.
type retentionFunc func(now time.Time, e placement.Endpoint) time.Duration

// peerRetention retains the endpoints that a peer retains, for the same time.
func peerRetention(retained map[string]time.Duration) retentionFunc {
	return func(_ time.Time, e placement.Endpoint) time.Duration { return min(retained[e.ID], retentionEnd) }
}

// remove removes an endpoint from the list. It retains the endpoint for the given time, or
// drops it if that is not positive. d.mu is held.
func (d *Directory) remove(e placement.Endpoint, retention time.Duration) {
	delete(d.endpoints, e.ID)
	if retention <= 0 {
		return
	}
	if d.retained == nil {
		d.retained = map[string]retainedEndpoint{}
	}
	d.retained[e.ID] = retainedEndpoint{endpoint: e, until: steady.Now().Add(retention)}
	steady.AfterFunc(retention, d.dropExpired)
}

// dropExpired drops the retained endpoints whose time is over.
func (d *Directory) dropExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	dropped := false
	for id, r := range d.retained {
		if now.Before(r.until) {
			continue
		}
		delete(d.retained, id)
		dropped = true
		log.With("endpoint", id).Info("An endpoint whose lease expired during an outage of the store was not listed again; it is dropped.")
	}
	if dropped {
		d.onEndpoints(d.usable())
	}
}

// put adds or replaces an endpoint of the list. d.mu is held.
func (d *Directory) put(e placement.Endpoint) {
	delete(d.retained, e.ID)
	d.endpoints[e.ID] = e
}

// usable returns the listed and the retained endpoints. d.mu is held.
func (d *Directory) usable() []placement.Endpoint {
	list := d.list()
	for _, r := range d.retained {
		e := r.endpoint
		e.Retained = true
		list = append(list, e)
	}
	return list
}

// Serving reports whether an endpoint is listed or retained, and has not announced that it
// leaves.
func (d *Directory) Serving(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, listed := d.endpoints[id]
	_, retained := d.retained[id]
	return listed && !e.Leaving || retained
}

// Retained returns the remaining time of each retained endpoint, by ID.
func (d *Directory) Retained() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	remaining := make(map[string]time.Duration, len(d.retained))
	for id, r := range d.retained {
		remaining[id] = r.until.Sub(now)
	}
	return remaining
}

// SetBounds applies changed bounds of the process.
func (d *Directory) SetBounds(b driver.Bounds) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaveWithin = b.LeaveWithin
}
