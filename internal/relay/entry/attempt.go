package entry

import (
	"context"
	"time"

	"foxcross.dev/coord/binding"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/steady"
)

// openTimeout bounds opening an attempt's stream. An agent holds the slot for 250 ms.
const openTimeout = 2 * time.Second

// attemptKey identifies an attempt within this entry.
type attemptKey struct {
	request message.RequestID
	attempt message.Attempt
}

// attempt is a started attempt and the session its stream is opened on.
type attempt struct {
	entry     *Entry
	key       attemptKey
	agent     string
	session   link.Session // the agent's session when the core chose it
	call      *call
	start     message.Start
	cancelled chan struct{} // closed when the core cancels the attempt
}

// startAttempt sends the start on a worker. Entry.mu must be held.
func (e *Entry) startAttempt(x binding.Start) {
	key := attemptKey{x.Request, x.Attempt}
	c := e.calls[x.Request]
	conn := e.agents[x.Agent]
	if c == nil || conn == nil || conn.session == nil {
		go e.attemptEnded(x.Agent, notStarted(key, "the connection is gone"))
		return
	}
	start := c.startFor(x.Attempt)
	start.KnownCrashes = e.crashCount(c)
	a := &attempt{entry: e, key: key, agent: conn.name, session: conn.session, call: c, start: start, cancelled: make(chan struct{})}
	e.attempts[key] = a
	if err := e.pool.Do(a.run); err != nil {
		delete(e.attempts, key)
		go e.attemptEnded(x.Agent, notStarted(key, err.Error()))
	}
}

// notStarted returns the end of an attempt whose start was not sent.
func notStarted(k attemptKey, reason string) message.End {
	return message.End{Request: k.request, Attempt: k.attempt, Code: result.SlotGone, Run: result.NotRun, Reason: reason}
}

// cancelAttempt makes the attempt's worker send a cancel to the agent. Entry.mu must be held.
func (e *Entry) cancelAttempt(x binding.Cancel) {
	key := attemptKey{x.Request, x.Attempt}
	if a := e.attempts[key]; a != nil {
		delete(e.attempts, key)
		close(a.cancelled)
	}
}

// attemptEnded reports the end of an attempt to the core.
func (e *Entry) attemptEnded(agent string, m message.End) {
	if m.Crash != nil {
		e.applyCrash(agent, *m.Crash)
	}
	content, check := e.contentToCheck(m.Request)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, attemptKey{m.Request, m.Attempt})
	now := steady.Now()
	if check && !e.recordOutcome(now, content, m) {
		e.perform(e.core.Abandon(now, agent, m))
	} else {
		e.perform(e.core.End(now, agent, m))
	}
	e.wake()
}

// run sends the start and forwards the response.
func (a *attempt) run() {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	st, err := a.session.Open(ctx)
	cancel()
	if err != nil {
		a.entry.attemptEnded(a.agent, notStarted(a.key, err.Error()))
		return
	}
	done := make(chan struct{})
	defer close(done)
	go a.forwardCancel(st, done)
	if err := st.Send(a.start); err != nil {
		st.Reset()
		a.entry.attemptEnded(a.agent, a.streamFailed(err))
		return
	}
	end := a.forwardAnswer(st)
	_ = st.CloseSend() // the agent may have disconnected
	a.entry.attemptEnded(a.agent, end)
}

// forwardCancel sends a cancel if the core cancels the attempt before it ends.
func (a *attempt) forwardCancel(st link.Stream, done <-chan struct{}) {
	select {
	case <-done:
	case <-a.cancelled:
		if err := st.Send(message.Cancel{Request: a.key.request, Attempt: a.key.attempt}); err != nil {
			st.Reset()
		}
	}
}

// streamFailed returns the end of an attempt whose stream failed.
func (a *attempt) streamFailed(err error) message.End {
	return message.End{
		Request: a.key.request,
		Attempt: a.key.attempt,
		Code:    result.EndpointLost,
		Run:     result.Unknown,
		Reason:  err.Error(),
	}
}

// forwardAnswer forwards the response until its end.
func (a *attempt) forwardAnswer(st link.Stream) message.End {
	for {
		m, err := st.Receive()
		if err != nil {
			st.Reset()
			return a.streamFailed(err)
		}
		switch m := m.(type) {
		case message.Head:
			a.deliver(m.Request, m.Attempt, true, func() { a.call.put(head(m)) })
		case message.Chunk:
			a.deliver(m.Request, m.Attempt, len(m.Data) > 0, func() { a.call.putChunk(m) })
			a.call.waitForSpace(a.cancelled)
		case message.End:
			if m.Request == a.key.request && m.Attempt == a.key.attempt {
				return m
			}
		}
	}
}

// deliver calls put if the message belongs to this attempt and the attempt is the current
// one of its request. A response is unresumable once it holds more than text: it can't be
// continued by another attempt.
func (a *attempt) deliver(id message.RequestID, n message.Attempt, unresumable bool, put func()) {
	if id != a.key.request || n != a.key.attempt {
		return
	}
	e := a.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.core.Progress(steady.Now(), id, n, unresumable) {
		put()
	}
}
