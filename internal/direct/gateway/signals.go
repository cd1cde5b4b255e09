package gateway

import (
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/direct/signal"
	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/steady"
)

// maxSentMS bounds the time from a send to its response that another entry reports, in ms.
const maxSentMS = 3_600_000

// applySignals applies what a response says of its endpoint, whatever the request's send was for.
func (g *Gateway) applySignals(a *attempt, answer *upstream.Answer) {
	a.limit = signal.Logged(answer.Header.Values(g.fields.Limit))
	a.retryAfter = signal.LoggedRetryAfter(answer.Header)
	a.draining = signal.Logged(answer.Header.Values(g.fields.Draining))
	for _, s := range signal.Parse(g.fields, answer.Status, answer.Header) {
		switch s := s.(type) {
		case signal.RateLimit:
			g.attempts.applyLimit(a, s.PerSecond)
		case signal.Backoff:
			a.pushedBack = true
			g.attempts.applyBackoff(a, s)
		case signal.Draining:
			g.attempts.applyDrain(a)
		case signal.Invalid:
			log.With("endpoint", a.endpoint().ID).With("field", s.Field).With("value", s.Value).With("reason", s.Err.Error()).
				Limited("signal-"+s.Field, "A response has a field that can't be applied; it is left out.")
		case signal.Unread:
			log.With("endpoint", a.endpoint().ID).With("field", s.Field).
				Limited("unread-signal", "A response has a signal that is not known.")
		}
	}
}

// applyLimit records the rate limit that the response to an attempt of this entry advertises, 0
// for none, and announces it to the others.
func (a *attempts) applyLimit(x *attempt, perSecond float64) {
	now := steady.Now()
	endpoint := x.endpoint().Incarnation()
	u := eligibility.LimitUpdate{PerSecond: perSecond, Sent: x.sentAt, Received: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	change, announce := a.table.ApplyLimit(now, endpoint, u)
	logLimit(change, endpoint, perSecond, "answer")
	if announce {
		a.broadcast(peers.Event{Kind: peers.LimitAnnounced, Endpoint: endpoint, Limit: perSecond, SentMS: now.Sub(x.sentAt).Milliseconds()})
	}
}

// applyAnnouncedLimit records what another entry announces of an endpoint's limit, as of a time.
// What is so old that its age is not known is left out. attempts.mu is held.
func (a *attempts) applyAnnouncedLimit(at time.Time, e peers.Event) {
	if e.AgeMS >= peers.MaxEventAge.Milliseconds() || !(e.Limit >= 0) || e.SentMS < 0 || e.SentMS > maxSentMS {
		return
	}
	u := eligibility.LimitUpdate{PerSecond: e.Limit, Sent: at.Add(-time.Duration(e.SentMS) * time.Millisecond), Received: at}
	change, _ := a.table.ApplyLimit(steady.Now(), e.Endpoint, u)
	logLimit(change, e.Endpoint, e.Limit, "peer")
}

// logLimit logs that an endpoint's limit has begun or ended.
func logLimit(c eligibility.Change, endpoint string, perSecond float64, from string) {
	l := log.With("endpoint", endpoint).With("from", from)
	switch c {
	case eligibility.Began:
		l.With("limit", perSecond).Info("An endpoint names a limit.")
	case eligibility.Ended:
		l.Info("An endpoint names no limit any more.")
	}
}

// applyBackoff records that the response to an attempt of this entry asks for a backoff. The
// delay runs from now, since nothing earlier is known to be after the response was made.
func (a *attempts) applyBackoff(x *attempt, s signal.Backoff) {
	endpoint := x.endpoint().Incarnation()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table.ApplyBackoff(steady.Now(), endpoint, s.Delay, a.random) {
		log.With("endpoint", endpoint).With("for", s.Delay.String()).Info("An endpoint asks for a backoff.")
	}
}

// applyDrain records that the response to an attempt of this entry says that its endpoint drains,
// and announces it to the others.
func (a *attempts) applyDrain(x *attempt) {
	now := steady.Now()
	endpoint := x.endpoint().Incarnation()
	a.mu.Lock()
	defer a.mu.Unlock()
	began, announce := a.table.ApplyDrain(now, endpoint, now)
	logDrain(began, endpoint, "answer")
	if announce {
		a.broadcast(peers.Event{Kind: peers.EndpointDraining, Endpoint: endpoint})
	}
}

// applyAnnouncedDrain records that another entry announces that an endpoint drains, as of a
// time. attempts.mu is held.
func (a *attempts) applyAnnouncedDrain(at time.Time, e peers.Event) {
	began, _ := a.table.ApplyDrain(steady.Now(), e.Endpoint, at)
	logDrain(began, e.Endpoint, "peer")
}

// logDrain logs that an endpoint drains.
func logDrain(began bool, endpoint, from string) {
	if began {
		log.With("endpoint", endpoint).With("from", from).Info("An endpoint drains, as its responses say.")
	}
}

// withdraw tells whether nothing is to be sent to an endpoint any more that was chosen before.
func (a *attempts) withdraw(incarnation string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Withdraw(steady.Now(), incarnation)
}
