// Keeps the places in line of refused callers, and announces them to the other entries.
//
// Rule: a refusal at a service with queued admission gives the caller a place in line
// (coord/admission). The event of the refusal announces it, with a key of the content, and the
// event of the caller's next attempt ends it. An event without a key, of an entry of an earlier
// version, counts as demand only. A place for which no event arrives, and those of an entry that
// has just started, are missing: the caller counts as new.
// Inputs: refusals and sends of this entry, events of others.
// Units: ms until a caller may return.
// Never: a caller waits for the state of other entries.

package gateway

import (
	"time"

	"foxcross.dev/coord/admission"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/peers"
)

// maxReturnMS bounds the time until a return that another entry announces, in ms.
const maxReturnMS = 600_000

// placeInLine gives a refused caller its place and lets the event of the refusal announce it.
// dispatcher.mu is held.
func (d *dispatcher) placeInLine(now time.Time, q *request, refused admission.Refuse, event *peers.Event) {
	d.table.RecordRefused(now, q.spec)
	s := d.queue(q.spec.Service)
	if s == nil {
		return
	}
	k := q.contentKey()
	if q.admission.situation.Returned {
		s.RecordSend(admission.Key(k)) // the caller does not come back once more
		event.Content = k[:]
		return
	}
	s.RecordRefusal(now, admission.Key(k), refused.Place(now, q.spec, q.timeLeft(), d.table.LeastPrefillMS(q.spec)))
	event.Content = k[:]
	event.ReturnMS = refused.RetryAfter.Milliseconds()
}

// applyRefusal applies a refusal by another entry, as of a time. dispatcher.mu is held.
func (d *dispatcher) applyRefusal(at time.Time, e peers.Event) {
	if e.Request == nil {
		return
	}
	d.table.RecordRefused(at, *e.Request)
	s := d.queue(e.Request.Service)
	if s == nil {
		return
	}
	k, known := quarantine.KeyFromBytes(e.Content)
	if known && e.ReturnMS == 0 {
		s.RecordSend(admission.Key(k)) // refused again: the caller does not come back
	}
	left := e.Request.TimeLeft
	if e.ReturnMS <= 0 || e.ReturnMS > maxReturnMS || left <= 0 {
		k = quarantine.Key{}
	}
	refused := admission.Refuse{RetryAfter: time.Duration(e.ReturnMS) * time.Millisecond}
	s.RecordRefusal(at, admission.Key(k), refused.Place(at, *e.Request, left, d.table.LeastPrefillMS(*e.Request)))
}

// applyReturn ends the place of a caller that another entry has sent. dispatcher.mu is held.
func (d *dispatcher) applyReturn(e peers.Event) {
	k, ok := quarantine.KeyFromBytes(e.Content)
	if !ok {
		return
	}
	if s := d.queue(e.Request.Service); s != nil {
		s.RecordSend(admission.Key(k))
	}
}

// expirePlaces ends the places of callers whose deadline has passed. dispatcher.mu is held.
func (d *dispatcher) expirePlaces(now time.Time) {
	for _, s := range d.queues {
		s.Expire(now)
	}
}
