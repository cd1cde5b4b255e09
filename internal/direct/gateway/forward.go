package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/replication"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/steady"
)

// forwarding is the state of one accepted request while it is forwarded. It is used by one
// goroutine.
type forwarding struct {
	gateway *Gateway
	ctx     context.Context // ends at the deadline or when the caller disconnects
	writer  http.ResponseWriter
	request *request

	tried           map[string]bool // by endpoint ID
	sent            int             // attempts that reached an endpoint
	failedDials     int             // attempts for which no connection was established
	mayHaveRun      bool            // whether any attempt may have run
	responseStarted bool            // part of a response was relayed
	trial           trial           // of held contents or parts, zero for none
	partsBegan      bool            // a run of the request has written on its parts for longer than silentWithin
	copied          replication.Run // life of the latest attempt's run
}

// forward sends the request until it gets a response, and relays that. If it returns a failure, the
// caller of forward has to answer with it, or to abort the response if that has started.
func (g *Gateway) forward(ctx context.Context, w http.ResponseWriter, q *request) (failed *result.Error, responseStarted bool) {
	f := &forwarding{gateway: g, ctx: ctx, writer: w, request: q, tried: map[string]bool{}}
	failed = f.run()
	if f.trial.begun() && f.sent == 0 {
		g.abandonTrial(f.trial)
	}
	return failed, f.responseStarted
}

// run makes attempts until the request is answered or refused.
func (f *forwarding) run() *result.Error {
	dispatcher := &f.gateway.dispatcher
	if refusal := f.resolveOrigin(); refusal != nil {
		return refusal
	}
	for {
		if refusal := f.checkQuarantine(); refusal != nil {
			return refusal
		}
		if !f.mayHaveRun && !f.gateway.maySend(f.request) {
			return &result.Error{Code: result.Draining, Run: result.NotRun, RetryAfter: drainingRetryAfter}
		}
		if f.sent > 0 && !dispatcher.allowRetry(f.request.spec.Service) {
			return newFailure(result.RetriesUsed, "the service's budget of repeats is used up", f.mayHaveRun)
		}
		a, refusal := f.place(f.tried)
		if refusal != nil {
			return refusal
		}
		if held, failed := f.hold(); held {
			if failed != nil {
				return failed
			}
			continue
		}
		if a == nil {
			return noEndpoint(dispatcher.unavailability(f.request), f.mayHaveRun)
		}
		switch d := f.try(a).(type) {
		case retry:
			f.mayHaveRun = d.mayHaveRun
		case fail:
			if next, response := f.continueRun(""); next != nil {
				return f.relayContinuation(next, response)
			}
			return f.finalFailure(a, d.err)
		default:
			return nil
		}
	}
}

// finalFailure returns the response to a request whose last attempt failed. If every endpoint is in
// backoff, its Retry-After is the time until the first backoff ends.
func (f *forwarding) finalFailure(last *attempt, failed *result.Error) *result.Error {
	if !last.backoffRequested || failed.Run != result.NotRun {
		return failed
	}
	if unavailability := f.gateway.dispatcher.unavailability(f.request); unavailability.Reason == eligibility.BackedOff {
		return noEndpoint(unavailability, f.mayHaveRun)
	}
	return failed
}

// try sends the request to the attempt's endpoint, and relays the response or returns the decision
// on how to continue.
func (f *forwarding) try(a *attempt) decision {
	f.tried[a.endpoint().ID] = true
	f.copied = replication.Run{Replica: a.replica}
	response, err := f.send(a, "")
	res := f.resultOf(response, err)
	f.countAttempt(res)
	if provesRunStarted(res) && !f.isStream(response) {
		f.gateway.countRun(f.request)
	}
	if _, relays := decide(f.retryState(), res).(relay); relays {
		return f.relayResponse(a, response, res)
	}
	res = f.endAttempt(a, res)
	discardResponse(response, res)
	return decide(f.retryState(), res)
}

// countAttempt counts an attempt by whether it reached an endpoint.
func (f *forwarding) countAttempt(res attemptResult) {
	switch res.(type) {
	case unreachable:
		f.failedDials++
	case withdrawn, otherProcess:
	default:
		f.sent++
	}
}

// send sends the request to the attempt's endpoint and returns the response with its header. If
// lastEvent is set, the stream resumes after that event.
func (f *forwarding) send(a *attempt, lastEvent string) (*upstream.Response, error) {
	q := f.request
	r := q.incoming
	process, known := f.requiredProcess(a)
	if !known {
		return nil, fmt.Errorf("%w: it is not known", upstream.ErrOtherProcess)
	}
	response, err := f.gateway.pool.Do(f.ctx, f.gateway.responseFields, &upstream.Request{
		Endpoint:  a.endpoint().Incarnation(),
		Address:   a.endpoint().Address,
		Method:    r.Method,
		Target:    r.URL.RequestURI(),
		Host:      r.Host,
		Header:    f.gateway.requestHeader(q, a, lastEvent),
		Body:      q.body,
		HasBody:   r.ContentLength != 0 || r.Header.Get("Content-Length") != "",
		ID:        q.id,
		Process:   process,
		Withdrawn: func() bool { return f.gateway.dispatcher.mustWithdraw(a.endpoint().Incarnation()) },
	})
	if err == nil {
		f.gateway.applySignals(a, response)
	}
	return response, err
}

// resultOf returns the result of a send.
func (f *forwarding) resultOf(response *upstream.Response, err error) attemptResult {
	if err != nil {
		return resultOfError(context.Cause(f.ctx), err)
	}
	return resultOfResponse(context.Cause(f.ctx), f.gateway.fields, response.Status, response.Header)
}

// isStream reports whether a response is a stream of events.
func (f *forwarding) isStream(response *upstream.Response) bool {
	return f.request.class.Route.Streaming && succeeded(response.Status)
}

// retryState returns the current input to decide.
func (f *forwarding) retryState() retryState {
	class := f.request.class
	return retryState{
		attemptsLeft:    f.sent < class.Route.MaxAttempts,
		failedDialsLeft: f.failedDials < maxFailedDials,
		repeatable:      class.MayRepeat(),
		mayHaveRun:      f.mayHaveRun,
	}
}

// endFailed records that an attempt failed before any of its response was relayed, and returns the
// decision on how to continue.
func (f *forwarding) endFailed(a *attempt, err error) decision {
	res := f.endAttempt(a, resultOfError(context.Cause(f.ctx), err))
	return decide(f.retryState(), res)
}

// checkCrash distinguishes a broken connection from a crashed endpoint.
func (f *forwarding) checkCrash(a *attempt, res attemptResult) attemptResult {
	broken, ok := res.(noResponse)
	at := steady.Now()
	if !ok || !f.gateway.pool.Crashed(a.endpoint().Incarnation(), a.endpoint().Address, at) {
		return res
	}
	f.gateway.options.Metrics.Counter("attempts_crashed").Inc(1)
	return endpointCrashed{err: broken.err, at: at}
}

// noteOversized counts and logs a response that was cut off because it would take too much memory.
func (g *Gateway) noteOversized(a *attempt, res attemptResult) {
	broken, ok := res.(noResponse)
	var oversized *upstream.OversizedError
	if !ok || !errors.As(broken.err, &oversized) {
		return
	}
	g.options.Metrics.Counter("attempts_oversized").Inc(1)
	log.With("endpoint", a.endpoint().ID).With("limit", oversized.Limit).With("start", strconv.QuoteToASCII(string(oversized.Start))).
		WarnLimited("oversized", "Response cut off: the endpoint sends more than a response may take of the memory.")
}

// endAttempt records how an attempt ended, for placement and for the quarantine of contents. It
// returns the result, which checkCrash may have changed. Placement gets the result first:
// checkCrash takes 0.1 s for an endpoint that does not respond.
func (f *forwarding) endAttempt(a *attempt, res attemptResult) attemptResult {
	f.gateway.dispatcher.recordEnd(a, res)
	f.gateway.noteOversized(a, res)
	res = f.checkCrash(a, res)
	_, a.crashed = res.(endpointCrashed)
	a.outcome = res.text()
	f.copied = f.copied.Apply(replicationEvent(res))
	f.gateway.recordContentResult(f.request, a, res)
	if f.trial.begun() {
		f.endTrial(a, res)
	}
	f.gateway.endProbes(f.request, a)
	return res
}

// endTrial applies the result of a trial of a content or part. After a success it deletes the record of the
// hold. It also does so if another entry cleared the content in the meantime: that entry may have
// deleted the record before this one wrote its own.
func (f *forwarding) endTrial(a *attempt, res attemptResult) {
	switch res.(type) {
	case endpointCrashed:
		f.gateway.trialFailed(f.trial, a.crashes[f.trial.key])
	case responded:
		go f.gateway.deleteHold(f.trial.key)
	}
}

// discardResponse discards a response that is not relayed. The connection of a valid one can be
// reused.
func discardResponse(response *upstream.Response, res attemptResult) {
	if response == nil {
		return
	}
	switch res.(type) {
	case notRun, endpointError:
		response.Drain()
	default:
		response.Close()
	}
}
