package soak

import (
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

const (
	minBackoff   = 700 * time.Millisecond // shortest Retry-After
	extraBackoff = 3 * time.Second        // in addition to the shortest, at most
	extraRefusal = 300 * time.Millisecond // during which an endpoint refuses all requests, in addition to the shortest fault
)

// askForBackoff makes an endpoint refuse all requests for a time, each with a Retry-After.
func askForBackoff(d *deployment, amount float64) {
	e := d.pickEndpoint(1)
	if e == nil {
		return
	}
	lasts := faultDuration(amount, extraRefusal)
	e.runner.RefuseFor(lasts, minBackoff+time.Duration(amount*float64(extraBackoff)))
	time.Sleep(lasts)
}

// drainInResponses makes an endpoint announce that it drains, first in its responses, later in the
// store, and then ends it.
func drainInResponses(d *deployment, amount float64) {
	e := d.pickEndpoint(3)
	if e == nil {
		return
	}
	d.mu.Lock()
	e.draining = true
	d.mu.Unlock()
	e.runner.Drain("1")
	d.addEndpoint()
	time.Sleep(drainGraceMS*time.Millisecond + faultDuration(amount, drainGraceMS*time.Millisecond))
	d.mu.Lock()
	d.store.PutEndpoint(e.runner, "draining")
	e.leavingSince = time.Now()
	d.mu.Unlock()
	time.Sleep(drainGraceMS * time.Millisecond)
	d.mu.Lock()
	e.removed = true
	d.mu.Unlock()
	d.store.RemoveEndpoint(e.runner)
	e.runner.Close()
}

// checkResponseSignals checks that each incarnation of an entry follows the signals in the responses
// that it received from endpoints. deployment.mu must be held.
func (d *deployment) checkResponseSignals() {
	h := &d.history
	h.mu.Lock()
	defer h.mu.Unlock()
	byID := make(map[string]observation, len(h.observations))
	for _, s := range h.observations {
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

// checkBackoff reports a violation if an entry sent an endpoint more than platformtest.MaxInBackoff
// requests during the backoff after a refusal.
func (d *deployment) checkBackoff(e *endpoint, r platformtest.Refusal, arrivals []platformtest.Arrival, byID map[string]observation) {
	sender := byID[r.ID].servedBy
	if sender == (incarnation{}) {
		return
	}
	got := 0
	for _, a := range arrivals {
		if r.InBackoff(a.At) && byID[a.ID].servedBy == sender && !d.wasFrozen(sender, r.At, a.At) {
			got++
		}
	}
	if got > platformtest.MaxInBackoff {
		d.history.addViolation(BackoffHonoured, r.ID, "%s asked %s for %v and got %d requests", e.runner.ID, sender.entry, r.Delay, got)
	}
}

// checkDrain reports requests that an entry sent to an endpoint more than drainGraceMS after it had
// passed on a response that announced the drain.
func (d *deployment) checkDrain(e *endpoint, arrivals []platformtest.Arrival, byID map[string]observation) {
	passedOn := map[incarnation]time.Time{}
	for _, run := range e.runner.Runs() {
		s := byID[run.ID]
		if at, known := passedOn[s.servedBy]; s.drainingEndpoint == e.runner.ID && (!known || s.answeredAt.Before(at)) {
			passedOn[s.servedBy] = s.answeredAt
		}
	}
	delete(passedOn, incarnation{})
	for _, a := range arrivals {
		s := byID[a.ID]
		at, known := passedOn[s.servedBy]
		if known && s.sentAt.Sub(at) > drainGraceMS*time.Millisecond && !d.wasFrozen(s.servedBy, at, a.At) {
			d.history.addViolation(DrainingHonoured, a.ID, "%s had passed on, %v before, a response by which %s drains", s.servedBy.entry, s.sentAt.Sub(at), e.runner.ID)
		}
	}
}

// wasFrozen reports whether an entry was frozen at any time of an interval.
func (d *deployment) wasFrozen(l incarnation, from, to time.Time) bool {
	for _, e := range d.entries {
		if e.name == l.entry {
			return e.wasFrozen(from, to)
		}
	}
	return false
}
