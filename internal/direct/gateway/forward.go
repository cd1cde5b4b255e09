package gateway

import (
	"context"
	"net/http"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/steady"
)

// forwarding is the work on one request that was accepted. It belongs to one
// goroutine.
type forwarding struct {
	gateway *Gateway
	ctx     context.Context // ends at the deadline or when the caller leaves
	writer  http.ResponseWriter
	request *request

	tried      map[string]bool // ids of endpoints
	sent       int             // attempts that reached an endpoint
	dials      int             // attempts for which no connection was established
	mayHaveRun bool            // one of the attempts
	begun      bool            // some of an answer was passed on
	trial      bool            // of a content whose hold was over
}

// forward sends the request until it has an answer, and passes that on. A failure
// is still to be answered, or the answer to be broken off if it has begun.
func (g *Gateway) forward(ctx context.Context, w http.ResponseWriter, q *request) (failed *result.Error, begun bool) {
	f := &forwarding{gateway: g, ctx: ctx, writer: w, request: q, tried: map[string]bool{}}
	failed = f.run()
	if f.trial && f.sent == 0 {
		g.returnTrial(q.content())
	}
	return failed, f.begun
}

// run makes one attempt after the other.
func (f *forwarding) run() *result.Error {
	attempts := &f.gateway.attempts
	for {
		if refusal := f.checkContent(); refusal != nil {
			return refusal
		}
		if f.sent > 0 && !attempts.allowRetry(f.request.spec.Service) {
			return ownFailure(result.RetriesUsed, "the service's budget of repeats is used up", f.mayHaveRun)
		}
		a, refusal := attempts.place(f.request, f.tried)
		if refusal != nil {
			return refusal
		}
		if a == nil {
			return noEndpoint(attempts.obstacle(f.request), f.mayHaveRun)
		}
		switch o := f.try(a).(type) {
		case retry:
			f.mayHaveRun = o.mayHaveRun
		case fail:
			return f.refusal(a, o.err)
		default:
			return nil
		}
	}
}

// refusal returns the response to a request whose last attempt has failed. If every endpoint is
// in backoff, its Retry-After is the time until the first backoff ends.
func (f *forwarding) refusal(last *attempt, failed *result.Error) *result.Error {
	if !last.pushedBack || failed.Run != result.NotRun {
		return failed
	}
	if o := f.gateway.attempts.obstacle(f.request); o.Reason == eligibility.BackedOff {
		return noEndpoint(o, f.mayHaveRun)
	}
	return failed
}

// try sends the request to the attempt's endpoint and does what follows.
func (f *forwarding) try(a *attempt) outcome {
	f.tried[a.endpoint().ID] = true
	answer, err := f.send(a, "")
	e := f.eventOf(answer, err)
	f.count(e)
	if provesRun(e) && !f.isStream(answer) {
		f.gateway.began(f.request)
	}
	if _, pass := decide(f.situation(), e).(passOn); pass {
		return f.passOn(a, answer, e)
	}
	e = f.end(a, e)
	discard(answer, e)
	return decide(f.situation(), e)
}

// count counts an attempt by what it reached.
func (f *forwarding) count(e event) {
	switch e.(type) {
	case unreachable:
		f.dials++
	case withdrawn:
	default:
		f.sent++
	}
}

// send sends the request to the attempt's endpoint and returns the head of its
// answer. A stream goes on after the event, if one is named.
func (f *forwarding) send(a *attempt, lastEvent string) (*upstream.Answer, error) {
	q := f.request
	r := q.incoming
	answer, err := f.gateway.pool.Do(f.ctx, f.gateway.answers, &upstream.Request{
		Endpoint: a.endpoint().Incarnation(),
		Address:  a.endpoint().Address,
		Method:   r.Method,
		Target:   r.URL.RequestURI(),
		Host:     r.Host,
		Header:   f.gateway.requestHeader(q, a, lastEvent),
		Body:     q.body,
		HasBody:  r.ContentLength != 0 || r.Header.Get("Content-Length") != "",
		ID:       q.id,
		Withdraw: func() bool { return f.gateway.attempts.withdraw(a.endpoint().Incarnation()) },
	})
	if err == nil {
		f.gateway.applySignals(a, answer)
	}
	return answer, err
}

// eventOf returns what a send brought.
func (f *forwarding) eventOf(answer *upstream.Answer, err error) event {
	if err != nil {
		return eventOfError(context.Cause(f.ctx), err)
	}
	return eventOfAnswer(context.Cause(f.ctx), f.gateway.fields, answer.Status, answer.Header)
}

// isStream tells whether an answer is a stream of events.
func (f *forwarding) isStream(a *upstream.Answer) bool {
	return f.request.class.Route.Streaming && succeeded(a.Status)
}

// situation returns what is known of the request now.
func (f *forwarding) situation() situation {
	class := f.request.class
	return situation{
		attemptsLeft: f.sent < class.Route.MaxAttempts,
		dialsLeft:    f.dials < maxDials,
		repeatable:   class.MayRepeat(),
		mayHaveRun:   f.mayHaveRun,
	}
}

// fail records that an attempt failed before any of its answer was passed on, and
// returns what follows.
func (f *forwarding) fail(a *attempt, err error) outcome {
	e := f.end(a, eventOfError(context.Cause(f.ctx), err))
	return decide(f.situation(), e)
}

// examine tells a broken connection from an endpoint that has crashed.
func (f *forwarding) examine(a *attempt, e event) event {
	broken, ok := e.(noAnswer)
	at := steady.Now()
	if !ok || !f.gateway.pool.Crashed(a.endpoint().Incarnation(), a.endpoint().Address, at) {
		return e
	}
	f.gateway.options.Metrics.Counter("attempts_crashed").Inc(1)
	return endpointCrashed{err: broken.err, at: at}
}

// end records how an attempt ended, for placement and for the quarantine of contents. It
// returns what the event turned out to be. Placement knows before the endpoint is examined:
// of one that is silent nothing comes for 0.1 s.
func (f *forwarding) end(a *attempt, e event) event {
	f.gateway.attempts.end(a, e)
	e = f.examine(a, e)
	a.outcome = e.text()
	f.gateway.judgeContent(f.request, a, e)
	if f.trial {
		f.endTrial(a, e)
	}
	return e
}

// endTrial takes in what a trial of a content showed. The record of one that succeeded goes,
// also where another entry has let the content through meanwhile and dropped the record before
// this one wrote its own.
func (f *forwarding) endTrial(a *attempt, e event) {
	switch e.(type) {
	case endpointCrashed:
		f.gateway.trialFailed(f.request.content(), a.crashes)
	case answered:
		go f.gateway.dropRecord(f.request.content())
	}
}

// discard gives up an answer that is not passed on. The connection of a valid one
// can be used again.
func discard(a *upstream.Answer, e event) {
	if a == nil {
		return
	}
	switch e.(type) {
	case notRun, endpointError:
		a.Drain()
	default:
		a.Close()
	}
}
