package gateway

import (
	"context"
	"time"

	"foxcross.dev/coord/admission"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/direct/record"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"
)

// Outcomes of admission in the log, for services with queued admission.
const (
	admissionSent     = "sent"
	admissionDeferred = "deferred" // held here, then sent
	admissionRefused  = "refused"
	admissionLeft     = "held until the caller left, or its deadline"
)

// admissionResult is what admission decided about a request, for the log and the metrics.
type admissionResult struct {
	outcome   string // empty at a service without queued admission
	situation admission.Situation
	held      time.Duration
	place     time.Duration // until a refused caller may return
}

// admissionLoad is the load of a service as of a time.
type admissionLoad struct {
	at time.Time
	placement.Load
}

// loadInterval is how long a measured load is used. Measuring it takes a pass over all engines.
const loadInterval = 50 * time.Millisecond

// serviceQueue is the admission state of one service.
type serviceQueue struct {
	admission.Queue
	load admissionLoad
}

// queue returns the admission state of a service, nil if its admission is not queued.
// dispatcher.mu is held.
func (d *dispatcher) queue(service string) *serviceQueue {
	if !d.table.ServiceSettings(service).QueuedAdmission {
		return nil
	}
	q := d.queues[service]
	if q == nil {
		q = &serviceQueue{}
		d.queues[service] = q
	}
	return q
}

// admit decides whether a request is sent to the endpoint chosen for it. dispatcher.mu is held.
func (d *dispatcher) admit(now time.Time, q *request, choice placement.Choice) admission.Decision {
	i := admission.Input{Choice: choice, Request: q.spec, Left: q.timeLeft(), Standing: q.standing}
	if s := d.queue(q.spec.Service); s != nil && choice.Long {
		i.Situation = d.situation(now, q, s)
		i.Held = q.heldFor(now)
		i.Random = d.random.Float64()
	}
	decision := admission.Decide(i)
	if i.Queued || q.admission.outcome != "" {
		q.recordAdmission(i, decision)
	}
	return decision
}

// situation returns the situation in which a request asks. dispatcher.mu is held.
func (d *dispatcher) situation(now time.Time, q *request, s *serviceQueue) admission.Situation {
	if age := now.Sub(s.load.at); age < 0 || age >= loadInterval {
		s.load = admissionLoad{now, d.table.Load(now, q.spec.Service)}
	}
	var k admission.Key
	if !s.Empty() {
		k = admission.Key(q.contentKey())
	}
	return s.Situation(now, s.load.Load, q.spec.Priority, k)
}

// recordAdmission records a decision for the log.
func (q *request) recordAdmission(i admission.Input, decision admission.Decision) {
	first := q.admission.outcome == ""
	q.admission.held = i.Held
	switch decision := decision.(type) {
	case admission.Send:
		q.admission.outcome = admissionSent
		if !first {
			q.admission.outcome = admissionDeferred
		}
	case admission.Hold:
		q.admission.outcome = admissionLeft
	case admission.Refuse:
		q.admission.outcome = admissionRefused
		q.admission.place = decision.RetryAfter
	}
	if first || q.admission.outcome == admissionRefused {
		q.admission.situation = i.Situation
	}
}

// heldFor returns for how long the request has been held. The first call starts the hold.
func (q *request) heldFor(now time.Time) time.Duration {
	if q.heldSince.IsZero() {
		q.heldSince = now
	}
	return now.Sub(q.heldSince)
}

// hold waits for the time that admission decided. It returns false if the request is not to be
// held, and a failure if the request ended meanwhile.
func (f *forwarding) hold() (held bool, failed *result.Error) {
	d := f.request.holdFor
	if d == 0 {
		return false, nil
	}
	f.request.holdFor = 0
	if f.gateway.refusing.Load() {
		return true, &result.Error{Code: result.Draining, Run: result.NotRun, RetryAfter: drainingRetryAfter}
	}
	if workers.Sleep(f.ctx, d) {
		return true, nil
	}
	return true, f.waitEnd()
}

// waitEnd returns the response to a request that ended while it waited.
func (f *forwarding) waitEnd() *result.Error {
	if _, left := resultOfError(context.Cause(f.ctx), f.ctx.Err()).(callerLeft); left {
		return &result.Error{Code: result.Cancelled, Run: f.runState()}
	}
	return deadlineFailure(f.mayHaveRun)
}

// runState returns whether the request may have run.
func (f *forwarding) runState() result.Execution {
	if f.mayHaveRun {
		return result.Unknown
	}
	return result.NotRun
}

// admissionRecord returns what admission decided about the request, for the log. It is nil where
// there was room and no caller in line.
func (q *request) admissionRecord() *record.Admission {
	a := q.admission
	if a.outcome == "" || a.outcome == admissionSent && a.situation.State == admission.Room && !a.situation.Returned {
		return nil
	}
	return &record.Admission{
		Outcome:  a.outcome,
		State:    a.situation.State.String(),
		Returned: a.situation.Returned,
		EarlyMS:  a.situation.Early.Milliseconds(),
		HeldMS:   a.held.Milliseconds(),
		LineMS:   int64(a.situation.LineMS),
		Asked:    record.Round(a.situation.Load.Asked),
		Capacity: record.Round(a.situation.Load.Capacity),
		ReturnMS: a.place.Milliseconds(),
	}
}

// countAdmission updates the metrics of queued admission.
func (g *Gateway) countAdmission(q *request, code result.Code) {
	a := q.admission
	switch a.outcome {
	case "":
		return
	case admissionDeferred:
		g.options.Metrics.Counter("admission_deferred").Inc(1)
	case admissionRefused:
		g.options.Metrics.Counter("admission_refused").Inc(1)
	}
	if !a.situation.Returned {
		return
	}
	g.options.Metrics.Counter("admission_returned").Inc(1)
	if code == result.OK {
		g.options.Metrics.Counter("admission_returned_served").Inc(1)
	}
}

// queueStates returns the admission state of each service with queued admission.
func (d *dispatcher) queueStates() map[string]QueueState {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	states := map[string]QueueState{}
	for name, s := range d.queues {
		l := d.table.Load(now, name)
		states[name] = QueueState{
			State: s.State().String(), Places: s.Places(),
			Asked: record.Round(l.Asked), Capacity: record.Round(l.Capacity), WaitingMS: int64(l.WaitingMS),
		}
	}
	return states
}

// QueueState is the admission state of a service in a Dump.
type QueueState struct {
	State     string  `json:"state"`
	Places    int     `json:"places"`     // of refused callers
	Asked     float64 `json:"asked"`      // ms of prefill asked for per ms
	Capacity  float64 `json:"capacity"`   // ms of prefill computed per ms
	WaitingMS int64   `json:"waiting_ms"` // prefill that waits at engines
}

// announceSend ends the place of a caller that was refused before, and lets the event of its
// attempt announce that. dispatcher.mu is held.
func (d *dispatcher) announceSend(q *request, sent *peers.Event) {
	s := d.queue(q.spec.Service)
	if s == nil || !q.admission.situation.Known() {
		return
	}
	k := q.contentKey()
	s.RecordSend(admission.Key(k))
	sent.Content = k[:]
}
