package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/direct/upstream"
)

// maxDials bounds the endpoints that are tried without a connection coming up.
const maxDials = 4

// Times after which a caller may come back.
const (
	notReadyRetry   = 3 * time.Second
	noEndpointRetry = 500 * time.Millisecond
	drainRetry      = 50 * time.Millisecond
	fullRetry       = 300 * time.Millisecond
)

// leg is one send of a call to one endpoint.
type leg struct {
	id       placement.AttemptID
	endpoint placement.Endpoint
	index    int // among the sends of the call
	begun    bool
}

// place chooses an endpoint and notes the request there.
func (g *Gateway) place(c *call, tried map[string]bool) (*leg, *result.Error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c.job.TimeLeft = c.left()
	choice, ok := g.table.Choose(now, c.job, func(id string) bool { return tried[id] }, g.random)
	if !ok {
		return nil, c.failure(result.NoEndpoint, "")
	}
	if retry, admitted := choice.Admit(c.job, c.left()); !admitted && len(c.sends) == 0 {
		c.sends = append(c.sends, send{choice: choice, at: now, outcome: "refused"})
		return nil, &result.Error{Code: result.QueueFull, Run: result.NotRun, RetryAfter: retry, Reason: "prompts wait too long"}
	}
	g.number++
	id := placement.AttemptID{Owner: g.options.Owner, Number: g.number}
	g.table.Place(now, id, choice.Endpoint.ID, c.job)
	g.tell(peers.Note{Kind: peers.Placed, Number: g.number, Endpoint: choice.Endpoint.ID, Job: &c.job})
	c.sends = append(c.sends, send{choice: choice, at: now, outcome: "open"})
	return &leg{id: id, endpoint: choice.Endpoint, index: len(c.sends) - 1}, nil
}

// begin notes the first event of a send.
func (g *Gateway) begin(c *call, l *leg) {
	if l.begun {
		return
	}
	l.begun = true
	now := time.Now()
	if c.first.IsZero() {
		c.first = now
		c.event = now
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.FirstEvent(now, l.id)
	g.tell(peers.Note{Kind: peers.Begun, Number: l.id.Number})
}

// hear notes a later event of a send.
func (g *Gateway) hear(c *call, l *leg) {
	now := time.Now()
	c.pause = max(c.pause, now.Sub(c.event))
	c.event = now
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.NextEvent(now, l.id)
}

// end notes how a send ended.
func (g *Gateway) end(c *call, l *leg, o placement.Outcome, why string) {
	c.sends[l.index].outcome = why
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.End(time.Now(), l.id, o)
	g.tell(peers.Note{Kind: peers.Ended, Number: l.id.Number, Outcome: o})
}

// mayRepeat asks for one more send.
func (g *Gateway) mayRepeat(c *call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(c.service).Repeat(time.Now(), g.entries())
}

// forward sends the call until it is answered, and answers it.
func (g *Gateway) forward(ctx context.Context, w http.ResponseWriter, c *call) (failure *result.Error, begun bool) {
	tried := map[string]bool{}
	sent := 0
	dials := 0
	for {
		if sent > 0 && !g.mayRepeat(c) {
			return c.failure(result.RetriesUsed, "the service's budget of repeats is used up"), false
		}
		l, refusal := g.place(c, tried)
		if refusal != nil {
			return refusal, false
		}
		tried[l.endpoint.ID] = true
		answer, err := g.exchange(ctx, c, l)
		if errors.Is(err, upstream.ErrUnreachable) && ctx.Err() == nil {
			g.end(c, l, placement.Unreachable, err.Error())
			if dials++; dials < maxDials {
				continue
			}
			return c.failure(result.NoEndpoint, "no endpoint could be reached"), false
		}
		sent++
		more := sent < c.class.Route.MaxAttempts
		verdict := g.judge(ctx, w, c, l, answer, err, more)
		if verdict.again {
			continue
		}
		return verdict.failure, verdict.begun
	}
}

// exchange sends the call to the endpoint and returns the head of its answer.
func (g *Gateway) exchange(ctx context.Context, c *call, l *leg) (*upstream.Answer, error) {
	return g.exchangeAfter(ctx, c, l, "")
}

// exchangeAfter is exchange for a stream that goes on after an event.
func (g *Gateway) exchangeAfter(ctx context.Context, c *call, l *leg, lastEvent string) (*upstream.Answer, error) {
	return g.pool.Do(ctx, g.names, &upstream.Request{
		Endpoint: l.endpoint.ID,
		Address:  l.endpoint.Address,
		Method:   c.request.Method,
		Target:   c.request.URL.RequestURI(),
		Host:     c.request.Host,
		Header:   g.requestHeader(c, l.endpoint.ID, lastEvent),
		Body:     c.body,
		HasBody:  c.request.ContentLength != 0 || c.request.Header.Get("Content-Length") != "",
		ID:       c.id,
	})
}

// verdict is what becomes of a call after a send.
type verdict struct {
	again   bool // send it once more
	failure *result.Error
	begun   bool // part of an answer was passed on before the failure
}

// judge passes an answer on, or decides whether the call may be sent again.
func (g *Gateway) judge(ctx context.Context, w http.ResponseWriter, c *call, l *leg, a *upstream.Answer, err error, more bool) verdict {
	if err != nil {
		return g.judgeFailure(ctx, c, l, err, more)
	}
	switch {
	case g.notRun(a):
		return g.judgeNotRun(w, c, l, a, more)
	case a.Status >= http.StatusInternalServerError || promises(a.Status):
		return g.judgeError(w, c, l, a, more)
	case a.Status/100 == 2 && a.Header.Get(g.fields.Seal) == "":
		a.Close()
		return g.judgeFailure(ctx, c, l, upstream.ErrNoAnswer, more)
	case c.class.Route.Streaming && a.Status/100 == 2:
		return g.passStream(ctx, w, c, l, a, more)
	default:
		return g.passWhole(ctx, w, c, l, a, more)
	}
}

// notRun tells whether the endpoint says that it did not run the request.
func (g *Gateway) notRun(a *upstream.Answer) bool {
	return a.Header.Get(g.fields.NotRun) != "" || a.Status == http.StatusMisdirectedRequest
}

// judgeFailure handles a send that brought no answer: it may have run.
func (g *Gateway) judgeFailure(ctx context.Context, c *call, l *leg, err error, more bool) verdict {
	if ctx.Err() != nil {
		g.end(c, l, placement.Abandoned, "out of time")
		c.repeated = c.repeated || !errors.Is(err, upstream.ErrUnreachable)
		return verdict{failure: c.timeout(ctx)}
	}
	g.end(c, l, placement.Broken, err.Error())
	c.repeated = true
	if more && c.class.MayRepeat() {
		return verdict{again: true}
	}
	return verdict{failure: c.failure(result.EndpointFailed, err.Error())}
}

// judgeNotRun handles an endpoint's word that the request has not run.
func (g *Gateway) judgeNotRun(w http.ResponseWriter, c *call, l *leg, a *upstream.Answer, more bool) verdict {
	g.end(c, l, placement.Rejected, "not run, "+http.StatusText(a.Status))
	if more || a.Status == http.StatusMisdirectedRequest {
		a.Drain()
		return g.elsewhere(c, more)
	}
	if c.repeated {
		a.Drain()
		return verdict{failure: c.failure(result.EndpointFailed, "an earlier send may have run")}
	}
	a.Drain()
	return verdict{failure: &result.Error{Code: result.QueueFull, Run: result.NotRun, RetryAfter: fullRetry, Reason: "the endpoint did not run it"}}
}

// elsewhere sends a request that has not run to another endpoint.
func (g *Gateway) elsewhere(c *call, more bool) verdict {
	if more {
		return verdict{again: true}
	}
	return verdict{failure: c.failure(result.NoEndpoint, "the endpoint has left")}
}

// judgeError handles a failure of the endpoint's own: the request has run.
func (g *Gateway) judgeError(w http.ResponseWriter, c *call, l *leg, a *upstream.Answer, more bool) verdict {
	if more && c.class.MayRepeat() {
		a.Drain()
		g.end(c, l, placement.Errored, "status "+http.StatusText(a.Status))
		c.repeated = true
		return verdict{again: true}
	}
	if promises(a.Status) {
		// Without the endpoint's word that it did not run, the status would promise so.
		a.Drain()
		g.end(c, l, placement.Errored, "status "+http.StatusText(a.Status))
		return verdict{failure: c.failure(result.EndpointFailed, "the endpoint failed")}
	}
	return g.pass(w, c, l, a, placement.Errored)
}

// promises tells whether the status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// failure returns the final answer to a call: "not run" only if no send may
// have run it.
func (c *call) failure(code result.Code, reason string) *result.Error {
	e := &result.Error{Code: code, Run: result.NotRun, Reason: reason, RetryAfter: noEndpointRetry}
	if c.repeated {
		e.Run = result.Unknown
		e.RetryAfter = 0
		if promises(code.Entry().Status) {
			e.Code = result.EndpointFailed
		}
	} else if !promises(code.Entry().Status) && code == result.RetriesUsed {
		e.Code = result.NoEndpoint
	}
	return e
}

// timeout returns the final answer when the time of a call is over.
func (c *call) timeout(ctx context.Context) *result.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &result.Error{Code: result.Cancelled, Run: result.Unknown}
	}
	if !c.repeated {
		return &result.Error{Code: result.GaveUp, Run: result.NotRun, RetryAfter: noEndpointRetry}
	}
	return &result.Error{Code: result.Stalled, Run: result.Unknown, Reason: "no answer within the time allowed"}
}
