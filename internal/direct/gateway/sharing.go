package gateway

import (
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/steady"
)

// entries returns the number of live entries. attempts.mu is held.
func (a *attempts) entries() int {
	if a.group == nil {
		return 1
	}
	return a.group.Live()
}

// census returns what this entry knows of the others. attempts.mu is held.
func (a *attempts) census() eligibility.Group {
	if a.group == nil {
		return eligibility.Group{Self: a.owner, Entries: 1, Live: 1}
	}
	live, known := a.group.Census()
	return eligibility.Group{Self: a.owner, Entries: known, Live: live}
}

// tell passes an event on to the other entries.
func (a *attempts) tell(e peers.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.broadcast(e)
}

// hearsOthers tells whether this entry hears of any other one.
func (a *attempts) hearsOthers() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entries() > 1
}

// trueTime returns the true time, or this machine's time of day where it is not known.
func (a *attempts) trueTime(now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.group == nil {
		return steady.Wall()
	}
	if t, ok := a.group.TrueTime(now); ok {
		return t
	}
	return steady.Wall()
}

// broadcast passes an event on to the other entries. attempts.mu is held.
func (a *attempts) broadcast(e peers.Event) {
	if a.group != nil {
		a.group.Broadcast(e)
	}
}

// takeEvents takes in events of another entry's attempts.
func (a *attempts) takeEvents(owner uint64, events []peers.Event) {
	now := steady.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range events {
		id := placement.AttemptID{Owner: owner, Number: e.Number}
		at := now.Add(-time.Duration(e.AgeMS) * time.Millisecond)
		switch e.Kind {
		case peers.AttemptSent:
			if e.Request != nil {
				a.table.Place(at, id, e.Endpoint, *e.Request, e.Fetched())
			}
		case peers.FirstEvent:
			a.table.FirstEvent(at, id)
		case peers.AttemptEnded:
			a.table.End(at, id, e.Outcome)
		case peers.PartsKept:
			a.table.TakeKept(at, e.Endpoint, e.Parts)
		case peers.LimitAnnounced:
			a.applyAnnouncedLimit(at, e)
		case peers.EndpointDraining:
			a.applyAnnouncedDrain(at, e)
		}
	}
}

// memberGone drops the attempts of an incarnation that has ended.
func (a *attempts) memberGone(owner uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.DropOwner(steady.Now(), owner)
}
