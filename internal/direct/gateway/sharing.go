package gateway

import (
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/steady"
)

// liveEntries returns the number of live entries. dispatcher.mu is held.
func (d *dispatcher) liveEntries() int {
	if d.group == nil {
		return 1
	}
	return d.group.Live()
}

// peerGroup returns the group of entries, nil before Join.
func (d *dispatcher) peerGroup() *peers.Group {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.group
}

// groupCounts returns how many entries are known and live. dispatcher.mu is held.
func (d *dispatcher) groupCounts() eligibility.Group {
	if d.group == nil {
		return eligibility.Group{Self: d.owner, Entries: 1, Visible: 1}
	}
	live, known := d.group.MemberCounts()
	return eligibility.Group{Self: d.owner, Entries: known, Visible: live}
}

// broadcast sends an event to the other entries.
func (d *dispatcher) broadcast(e peers.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broadcastLocked(e)
}

// hasLivePeers reports whether any other entry is live.
func (d *dispatcher) hasLivePeers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.liveEntries() > 1
}

// trueTime returns the true time, or this machine's time of day if that is not known.
func (d *dispatcher) trueTime(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.group == nil {
		return steady.Wall()
	}
	if t, ok := d.group.TrueTime(now); ok {
		return t
	}
	return steady.Wall()
}

// broadcastLocked sends an event to the other entries. dispatcher.mu is held.
func (d *dispatcher) broadcastLocked(e peers.Event) {
	if d.group != nil {
		d.group.Broadcast(e)
	}
}

// applyEvents applies events of another entry's attempts.
func (d *dispatcher) applyEvents(owner uint64, events []peers.Event) {
	now := steady.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		id := placement.AttemptID{Owner: owner, Number: e.Number}
		at := now.Add(-time.Duration(e.AgeMS) * time.Millisecond)
		switch e.Kind {
		case peers.AttemptSent:
			if e.Request != nil {
				d.table.Place(at, id, e.Endpoint, *e.Request, e.Fetched())
				d.applyReturn(e)
				d.table.PlaceReplica(id, e.Replica)
				d.recordGiven(at, id, *e.Request)
				d.applyStream(at, id, e)
			}
		case peers.RequestRefused:
			if e.Request != nil {
				d.recordRefused(at, *e.Request)
				d.applyRefusal(at, e)
			}
		case peers.FirstEvent:
			d.table.FirstEvent(at, id)
			d.origins.FirstEvent(at, id)
		case peers.AttemptEnded:
			d.table.End(at, id, e.Outcome)
			d.origins.Ended(id)
		case peers.PartsCached:
			d.table.AddCached(at, e.Endpoint, e.Parts)
		case peers.ProcessNamed:
			d.versions.RecordProcess(e.Endpoint, e.Process, at)
		case peers.LimitAnnounced:
			d.applyAnnouncedLimit(at, e)
		case peers.EndpointDraining:
			d.applyAnnouncedDrain(at, e)
		}
	}
}

// dropMember removes the attempts of an incarnation that has ended.
func (d *dispatcher) dropMember(owner uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.DropOwner(steady.Now(), owner)
}
