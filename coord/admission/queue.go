package admission

import (
	"time"

	"foxcross.dev/coord/placement"
)

// Queue is the admission state that one entry keeps of one service. The zero value is that of a
// service with room. A Queue is not safe for concurrent use.
type Queue struct {
	monitor Monitor
	line    Line
}

// Situation is what a decision depends on besides the request and its choice. The zero value is
// that of a service without queued admission.
type Situation struct {
	Queued   bool
	State    State
	Load     placement.Load
	LineMS   float64       // prefill of the refused callers of the request's tier and more urgent ones
	Early    time.Duration // until the caller may return, 0 for a new caller and one that waited for its time
	Returned bool          // the caller was refused before, and has waited for its time
	Late     bool          // the caller was refused before, and its first event can't be in time any more
}

// Known reports whether the caller has a place in line.
func (s Situation) Known() bool { return s.Returned || s.Early > 0 }

// Situation returns the situation in which a caller asks.
func (q *Queue) Situation(now time.Time, l placement.Load, priority int, k Key) Situation {
	s := Situation{
		Queued: true,
		State:  q.monitor.Update(now, l),
		Load:   l,
		LineMS: q.line.WorkMS(now, priority),
	}
	if p, ok := q.line.Find(now, k); ok {
		s.Returned = p.returned(now)
		s.Late = !now.Before(p.Target)
		if !s.Returned {
			s.Early = p.Due.Sub(now)
		}
	}
	return s
}

// Empty reports whether no refused caller is expected, so that none has to be recognized.
func (q *Queue) Empty() bool { return q.line.Len() == 0 }

// RecordRefusal records that this or another entry refused a caller, and gives the caller its
// place. A zero key is that of a caller that can't be recognized.
func (q *Queue) RecordRefusal(now time.Time, k Key, p Place) {
	q.monitor.RecordRefusal(now)
	if k != (Key{}) {
		q.line.Add(now, k, p)
	}
}

// RecordSend ends the place of a caller whose request was sent.
func (q *Queue) RecordSend(k Key) { q.line.Remove(k) }

// Expire ends the places whose deadline has passed.
func (q *Queue) Expire(now time.Time) { q.line.Expire(now) }

// Places returns the number of places in line.
func (q *Queue) Places() int { return q.line.Len() }

// State returns the state as of the last decision.
func (q *Queue) State() State { return q.monitor.state }
