// Has the memory of runs copied to a second engine, and continues them there after a crash.
//
// Rule: coord/replication decides which runs get a copy, and whether one continues; the table of
// placement chooses the engine. A run is continued when its engine has crashed (upstream/crashed.go),
// after the connection to it is closed, if the service's budget of retries allows it and the engine
// with the copy may take the request. If it can't for now, since it warms up, is at a rate limit or in
// backoff, the request waits for it as a resumed stream does (resumption.go): no other engine has the
// copy. The route's number of attempts does not count it: the first engine has ended. If the other one
// has no copy, the request ends as without one.
// Inputs: results of attempts, crashes that this entry or others observed.
// Never: a run is continued at another version of the engine's software; an event is relayed that
// does not follow the last one; a request is continued after part of a response without events was
// relayed.

package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/replication"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/direct/record"
	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/steady"

	"github.com/uber-go/tally/v4"
)

var errNoContinuation = errors.New("gateway: an event does not continue the stream")

// continuation is the run that an attempt continues.
type continuation struct {
	of        *attempt
	lastEvent string // the last relayed one, empty for none
}

// placeReplica chooses the engine that holds the copy of the attempt's run, if it gets one, and
// announces it with the attempt. dispatcher.mu is held.
func (d *dispatcher) placeReplica(now time.Time, q *request, x *attempt, sent *peers.Event) {
	service := d.table.ServiceSettings(q.spec.Service)
	if !service.ReplicateRuns {
		return
	}
	input := replication.Input{
		Repeatable:       q.class.MayRepeat(),
		PromptTokens:     q.spec.Prompt.Tokens,
		FirstEventTarget: q.spec.FirstEventTarget,
		Rate:             service.TransferRate,
		Crashing:         d.crashesOf(q.spec.Service).Recent(now) > 0,
	}
	if !replication.Worthwhile(input) {
		return
	}
	holder, ok := d.table.ChooseReplica(now, q.spec, x.endpoint().Incarnation(), d.random)
	if !ok {
		return
	}
	x.replica = replication.Replica{Endpoint: holder.Incarnation(), Address: holder.Address}
	d.table.PlaceReplica(x.id, holder.Incarnation())
	sent.Replica = holder.Incarnation()
}

// crashesOf returns the recent crashes of a service's engines. dispatcher.mu is held.
func (d *dispatcher) crashesOf(service string) *replication.Crashes {
	c := d.crashes[service]
	if c == nil {
		c = &replication.Crashes{}
		d.crashes[service] = c
	}
	return c
}

// recordCrash records the crash of an endpoint that this entry or another observed at a time.
func (d *dispatcher) recordCrash(endpoint string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.RecordCrash(at, endpoint)
	if service, ok := d.table.ServiceOf(endpoint); ok && d.table.ServiceSettings(service).ReplicateRuns {
		d.crashesOf(service).Record(at, endpoint)
	}
}

// mayContinueAt reports whether the engine that holds a copy may take the request now.
func (d *dispatcher) mayContinueAt(q *request, holder string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.continuationChoice(steady.Now(), q, holder)
	return ok
}

// continuationRefusal returns why the engine that holds a copy may not take the request now, and whether
// it may soon.
func (d *dispatcher) continuationRefusal(q *request, holder string) (reason string, temporary bool) {
	now := steady.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashesOf(q.spec.Service).Includes(now, holder) {
		return "it has crashed", false
	}
	at, listed := d.table.ContinuationReason(now, q.spec, holder)
	if !listed {
		return "it has left or runs another version", false
	}
	return at.String(), at.Temporary()
}

// continuationChoice returns the choice of the engine that holds a copy. dispatcher.mu is held.
func (d *dispatcher) continuationChoice(now time.Time, q *request, holder string) (placement.Choice, bool) {
	if d.crashesOf(q.spec.Service).Includes(now, holder) {
		return placement.Choice{}, false
	}
	return d.table.Continuation(now, q.spec, holder)
}

// placeContinuation records the attempt that continues a run at the engine that holds its copy. It
// returns nil if that engine may not take the request now.
func (d *dispatcher) placeContinuation(q *request, holder string, c *continuation) *attempt {
	now := steady.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	q.spec.TimeLeft = q.timeLeft()
	choice, ok := d.continuationChoice(now, q, holder)
	if !ok {
		return nil
	}
	x := d.newAttempt(now, q, choice)
	x.continues = c
	spec := q.spec // the event is encoded later
	fetch := placement.Continued(spec)
	d.table.Place(now, x.id, holder, spec, fetch)
	d.broadcastLocked(peers.Event{Kind: peers.AttemptSent, Number: x.id.Number, Endpoint: holder, Request: &spec, Fetch: &fetch})
	q.attempts = append(q.attempts, x)
	return x
}

// replicationEvent returns the result of an attempt in the form that coord/replication expects.
func replicationEvent(res attemptResult) replication.Event {
	switch res.(type) {
	case responded:
		return replication.Completed
	case endpointCrashed:
		return replication.EngineCrashed
	case unreachable, withdrawn, otherProcess, notRun, notResumed:
		return replication.Rejected
	case callerLeft, deadlineExceeded:
		return replication.Abandoned
	default:
		return replication.Broken
	}
}

// continueRun sends the request to the engine that holds the copy of its run, to continue after the
// last relayed event. It returns nil if the run is not continued.
func (f *forwarding) continueRun(lastEvent string) (*attempt, *upstream.Response) {
	if !f.copied.MayContinue() || f.responseStarted && lastEvent == "" {
		return nil, nil
	}
	broken := f.request.attempts[len(f.request.attempts)-1]
	a, reason := f.beginContinuation(broken, lastEvent)
	if a == nil {
		broken.notContinued = reason
		f.copied = f.copied.Apply(replication.Abandoned)
		f.gateway.options.Metrics.Counter("continuations_refused").Inc(1)
		return nil, nil
	}
	f.copied = f.copied.Apply(replication.Continued)
	f.gateway.options.Metrics.Counter("continuations").Inc(1)
	response, err := f.send(a, lastEvent)
	if err != nil {
		f.endAttempt(a, resultOfError(context.Cause(f.ctx), err))
		return nil, nil
	}
	if succeeded(response.Status) && response.Header.Get(f.gateway.fields.Seal) != "" {
		return a, response
	}
	f.endRefused(a, response)
	return nil, nil
}

// beginContinuation returns the attempt that continues a broken one's run, or why there is none.
func (f *forwarding) beginContinuation(broken *attempt, lastEvent string) (next *attempt, reason string) {
	d := &f.gateway.dispatcher
	q := f.request
	q.spec.Resumes, q.spec.Version = true, broken.endpoint().Version
	q.resumptionUntil = time.Time{}
	doubt := f.gateway.versionDoubt(q, broken)
	switch {
	case f.ctx.Err() != nil:
		return nil, "the caller has left or the deadline has passed"
	case doubt != "":
		return nil, doubt
	case f.checkQuarantine() != nil:
		return nil, "its content is held"
	case q.crashes[q.contentKey()] > 1: // with this crash
		return nil, "its content has crashed another engine"
	}
	holder := f.copied.Replica.Endpoint
	if reason := f.awaitHolder(holder); reason != "" {
		return nil, "the engine with the copy may not take it: " + reason
	}
	if !d.allowRetry(q.spec.Service) {
		return nil, "the service's budget of repeats is used up"
	}
	for {
		next = d.placeContinuation(q, holder, &continuation{of: broken, lastEvent: lastEvent})
		if next != nil {
			return next, ""
		}
		reason := f.awaitHolder(holder) // another request was placed there since
		if reason == "" && !f.awaitEngine() {
			reason = "after a wait"
		}
		if reason != "" {
			return nil, "the engine with the copy may not take it: " + reason
		}
	}
}

// awaitHolder waits a while until the engine that holds the copy may take the request. It returns why it
// may not, empty if it may.
func (f *forwarding) awaitHolder(holder string) (reason string) {
	d := &f.gateway.dispatcher
	for !d.mayContinueAt(f.request, holder) {
		var temporary bool
		if reason, temporary = d.continuationRefusal(f.request, holder); !temporary {
			return reason
		}
		if !f.awaitEngine() {
			return reason + ", after a wait"
		}
	}
	return ""
}

// endRefused records that the engine with the copy did not continue the run.
func (f *forwarding) endRefused(a *attempt, response *upstream.Response) {
	res := notResumed{response.Status}
	f.gateway.dispatcher.recordEnd(a, res)
	f.copied = f.copied.Apply(replicationEvent(res))
	f.gateway.options.Metrics.Counter("continuations_refused").Inc(1)
	response.Close()
}

// relayContinuation relays the response of a run that is continued before any of it was relayed.
func (f *forwarding) relayContinuation(a *attempt, response *upstream.Response) *result.Error {
	f.mayHaveRun = true
	switch d := f.relayResponse(a, response, f.resultOf(response, nil)).(type) {
	case done:
		return nil
	case fail:
		return d.err
	default: // a run is continued once
		return newFailure(result.EndpointFailed, a.outcome, true)
	}
}

// continueStream continues the stream after the last relayed event. It returns nil if the run is
// not continued.
func (s *stream) continueStream() (*attempt, *upstream.Response) {
	a, response := s.continueRun(s.lastEventID)
	s.continued = a != nil
	return a, response
}

// setReplicaFields sets the fields that have a run copied, or continued from its copy.
func (g *Gateway) setReplicaFields(h http.Header, q *request, a *attempt) {
	if a.replica.Any() {
		h.Set(g.fields.Replica, a.replica.Address)
	}
	if a.continues != nil {
		h.Set(g.fields.Continue, a.endpoint().Address+"/"+q.id)
	}
}

// recordReplica adds the attempt's copy, and the run that it continues, to its record.
func (a *attempt) recordReplica(r *record.Attempt) {
	r.Replica = a.replica.Endpoint
	r.NotContinued = a.notContinued
	if c := a.continues; c != nil {
		r.ContinuedFrom = c.of.endpoint().ID
		r.ContinuedAfter = c.lastEvent
	}
}

// countReplica counts the copy of an attempt's run, and the bytes of its prompt.
func (g *Gateway) countReplica(scope tally.Scope, q *request, a *attempt) {
	if !a.replica.Any() || a.outcome == outcomeWithdrawn {
		return
	}
	scope.Counter("replicas").Inc(1)
	scope.Counter("replica_bytes").Inc(int64(q.spec.Prompt.Tokens) * int64(g.transferRate(q).TokenBytes))
}

// transferRate returns the rate of transfers between the engines of the request's service.
func (g *Gateway) transferRate(q *request) memory.Rate {
	d := &g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.ServiceSettings(q.spec.Service).TransferRate
}
