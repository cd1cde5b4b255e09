package gateway

import (
	"context"
	"net/http"
	"time"

	"foxcross.dev/coord/completeness"
	"foxcross.dev/coord/replication"
	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/steady"
)

// stream is a streamed response that is being relayed to the caller.
type stream struct {
	*forwarding
	lastEventID string // ID of the last relayed event, empty for none
	continued   bool   // another engine continues the run after lastEventID
	callerGone  bool   // a write to the caller failed
}

// relayStream relays each event of a stream as soon as it is complete, and resumes the stream at
// another endpoint if it breaks and may be resumed.
func (f *forwarding) relayStream(a *attempt, response *upstream.Response) decision {
	s := &stream{forwarding: f}
	for {
		err := s.relayEvents(a, response)
		if err == nil {
			return s.finish(a, response)
		}
		response.Close()
		if !s.responseStarted {
			return f.endFailed(a, err)
		}
		res := s.recordBreak(a, err)
		d := decideBrokenStream(s.retryState(), res)
		if _, resumes := d.(resume); !resumes {
			if a, response = s.continueStream(); a == nil {
				return d
			}
			continue
		}
		if a, response = s.resume(a); a == nil {
			return fail{unresumable(res)}
		}
	}
}

// finish ends a stream that was received completely.
func (s *stream) finish(a *attempt, response *upstream.Response) decision {
	s.start(a, response)
	response.Finish()
	s.endAttempt(a, responded{response.Status})
	return done{}
}

// start relays the header before the first event. The header of an endpoint at which the stream is
// resumed is not relayed.
func (s *stream) start(a *attempt, response *upstream.Response) {
	s.recordFirstEvent(a)
	s.gateway.countRun(s.request)
	if s.responseStarted {
		return
	}
	s.responseStarted = true
	writeResponseHeader(s.writer, response, response.Length)
}

// relayEvents relays events until the stream ends. The error is nil if the stream may be complete. A
// part of an event is not relayed.
func (s *stream) relayEvents(a *attempt, response *upstream.Response) error {
	control := http.NewResponseController(s.writer)
	reader := newEventReader(response.Body, response)
	for {
		event, err := reader.next()
		if err != nil {
			return s.endEvents(a, response, err, reader.tailOf(event))
		}
		if err := s.relayEvent(a, response, event); err != nil {
			return err
		}
		if !reader.buffered() {
			_ = control.Flush() // the next write fails if the caller has disconnected
		}
	}
}

// endEvents decides whether the events of a response are all of the stream.
func (s *stream) endEvents(a *attempt, response *upstream.Response, err error, tail completeness.Tail) error {
	_, err = s.gateway.judge(a, response, err, tail)
	return err
}

// relayEvent relays one event.
func (s *stream) relayEvent(a *attempt, response *upstream.Response, event []byte) error {
	if a.gotFirstEvent {
		s.gateway.dispatcher.recordNextEvent(s.request, a)
	}
	id, ok := eventID(event)
	if s.continued && !replication.Follows(s.lastEventID, id) {
		return errNoContinuation
	}
	s.start(a, response)
	a.bytes += len(event)
	if ok {
		s.lastEventID = id
	}
	if _, err := s.writer.Write(event); err != nil {
		s.callerGone = true
		return err
	}
	return nil
}

// recordBreak records that the stream of an attempt broke after part of it was relayed.
func (s *stream) recordBreak(a *attempt, err error) attemptResult {
	_ = http.NewResponseController(s.writer).Flush() // the caller gets the events received so far
	res := resultOfError(context.Cause(s.ctx), err)
	if s.callerGone {
		res = callerLeft{}
	}
	s.partsBegan = s.partsBegan || steady.Since(a.firstEventAt) > silentWithin
	return s.endAttempt(a, res)
}

// retryState returns the request's retryState, including whether the stream can be resumed.
func (s *stream) retryState() retryState {
	state := s.forwarding.retryState()
	state.resumable = s.request.class.Route.Resumable && s.lastEventID != ""
	return state
}

// resume resumes the stream after the last relayed event, at another endpoint of the same version.
// It returns nil if the route's attempts, the retry budget or the endpoints are used up, or if the
// request's content is held.
func (s *stream) resume(broken *attempt) (*attempt, *upstream.Response) {
	q := s.request
	q.spec.Resumes, q.spec.Version = true, broken.endpoint().Version
	q.resumptionUntil = time.Time{}
	dispatcher := &s.gateway.dispatcher
	tried := map[string]bool{broken.endpoint().ID: true}
	for {
		if reason := s.resumptionRefusal(broken); reason != "" {
			return s.notResumed(broken, reason)
		}
		a, refusal := s.place(tried)
		if refusal != nil || a == nil {
			return s.notResumed(broken, "no endpoint of version "+q.spec.Version+" may take it, "+s.gateway.listAge())
		}
		tried[a.endpoint().ID] = true
		s.gateway.countResumption(resumedByEntry, originFromEvents, resumptionSent)
		response, err := s.send(a, s.lastEventID)
		if err != nil {
			s.endAttempt(a, resultOfError(context.Cause(s.ctx), err))
			continue
		}
		if !succeeded(response.Status) || response.Header.Get(s.gateway.fields.Seal) == "" {
			dispatcher.recordEnd(a, notResumed{response.Status})
			response.Close()
			continue
		}
		return a, response
	}
}

// notResumed records why the stream of a broken attempt is not resumed.
func (s *stream) notResumed(broken *attempt, reason string) (*attempt, *upstream.Response) {
	broken.notResumed = reason
	s.gateway.countResumption(resumedByEntry, originFromEvents, resumptionRefused)
	return nil, nil
}

// resumptionRefusal returns why the stream may not be sent to a further endpoint, empty if it may.
func (s *stream) resumptionRefusal(broken *attempt) string {
	q := s.request
	doubt := s.gateway.versionDoubt(q, broken)
	switch {
	case doubt != "":
		return doubt
	case len(q.attempts) >= q.class.Route.MaxAttempts:
		return "the attempts of its route are used up"
	case s.checkQuarantine() != nil:
		return "its content is held"
	case !s.gateway.dispatcher.allowRetry(q.spec.Service):
		return "the service's budget of repeats is used up"
	default:
		return ""
	}
}
