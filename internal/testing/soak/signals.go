package soak

import (
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

const (
	leastBackoff   = 700 * time.Millisecond // that an endpoint asks for
	moreBackoff    = 3 * time.Second        // beside the least, at the most
	longestRefusal = 300 * time.Millisecond // in which an endpoint refuses all, beside the shortest fault
)

// askForBackoff lets an endpoint refuse all requests for a time, each with a Retry-After.
func askForBackoff(d *deployment, amount float64) {
	e := d.pick(1)
	if e == nil {
		return
	}
	lasts := lasting(amount, longestRefusal)
	e.runner.RefuseFor(lasts, leastBackoff+time.Duration(amount*float64(moreBackoff)))
	time.Sleep(lasts)
}

// drainInResponses lets an endpoint say in its responses that it drains, and later in the store,
// and end.
func drainInResponses(d *deployment, amount float64) {
	e := d.pick(3)
	if e == nil {
		return
	}
	d.mu.Lock()
	e.drains = true
	d.mu.Unlock()
	e.runner.Drain("1")
	d.addEndpoint()
	time.Sleep(leaveMS*time.Millisecond + lasting(amount, leaveMS*time.Millisecond))
	d.mu.Lock()
	d.store.Enter(e.runner, "draining")
	e.left = time.Now()
	d.mu.Unlock()
	time.Sleep(leaveMS * time.Millisecond)
	d.mu.Lock()
	e.gone = true
	d.mu.Unlock()
	d.store.Lose(e.runner)
	e.runner.Close()
}

// checkSignals holds what each life of an entry sent to what endpoints had said in their responses
// to it. The deployment is locked.
func (d *deployment) checkSignals() {
	h := &d.history
	h.mu.Lock()
	defer h.mu.Unlock()
	byID := make(map[string]seen, len(h.seen))
	for _, s := range h.seen {
		byID[s.id] = s
	}
	for _, e := range d.endpoints {
		arrivals := e.runner.Arrivals()
		for _, r := range e.runner.Refusals() {
			h.refusals++
			d.checkBackoff(e, r, arrivals, byID)
		}
		d.checkDrain(e, arrivals, byID)
	}
}

// checkBackoff counts what an entry sent an endpoint after a refusal.
func (d *deployment) checkBackoff(e *endpoint, r platformtest.Refusal, arrivals []platformtest.Arrival, byID map[string]seen) {
	by := byID[r.ID].by
	if by == (life{}) {
		return
	}
	got := 0
	for _, a := range arrivals {
		if r.Counts(a.At) && byID[a.ID].by == by && !d.froze(by, r.At, a.At) {
			got++
		}
	}
	if got > platformtest.MaxInBackoff {
		d.history.found(BacksOff, r.ID, "%s asked %s for %v and got %d requests", e.runner.ID, by.entry, r.Delay, got)
	}
}

// checkDrain looks for requests that an entry sent an endpoint though it had passed on long before
// that the endpoint drains.
func (d *deployment) checkDrain(e *endpoint, arrivals []platformtest.Arrival, byID map[string]seen) {
	passedOn := map[life]time.Time{}
	for _, run := range e.runner.Runs() {
		s := byID[run.ID]
		if at, known := passedOn[s.by]; s.drains == e.runner.ID && (!known || s.ended.Before(at)) {
			passedOn[s.by] = s.ended
		}
	}
	delete(passedOn, life{})
	for _, a := range arrivals {
		s := byID[a.ID]
		at, known := passedOn[s.by]
		if known && s.sent.Sub(at) > leaveMS*time.Millisecond && !d.froze(s.by, at, a.At) {
			d.history.found(Drains, a.ID, "%s had passed on %v before that %s drains", s.by.entry, s.sent.Sub(at), e.runner.ID)
		}
	}
}

// froze tells whether an entry stood still at any time of an interval.
func (d *deployment) froze(l life, from, to time.Time) bool {
	for _, e := range d.entries {
		if e.name == l.entry {
			return e.froze(from, to)
		}
	}
	return false
}
