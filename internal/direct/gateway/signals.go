package gateway

import (
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/direct/signal"
	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/steady"
)

// maxResponseTimeMS limits the time from a send to its response that another entry reports, in ms.
const maxResponseTimeMS = 3_600_000

// applySignals applies the signals in a response to its endpoint, regardless of the request.
func (g *Gateway) applySignals(a *attempt, response *upstream.Response) {
	a.limit = signal.Logged(response.Header.Values(g.fields.Limit))
	a.retryAfter = signal.LoggedRetryAfter(response.Header)
	a.draining = signal.Logged(response.Header.Values(g.fields.Draining))
	for _, s := range signal.Parse(g.fields, response.Status, response.Header) {
		switch s := s.(type) {
		case signal.RateLimit:
			g.dispatcher.applyLimit(a, s.PerSecond)
		case signal.Backoff:
			a.backoffRequested = true
			g.dispatcher.applyBackoff(a, s)
		case signal.Draining:
			g.dispatcher.applyDrain(a)
		case signal.Invalid:
			log.With("endpoint", a.endpoint().ID).With("field", s.Field).With("value", s.Value).With("reason", s.Err.Error()).
				WarnLimited("signal-"+s.Field, "A response has an invalid signal field; it is ignored.")
		case signal.Unknown:
			log.With("endpoint", a.endpoint().ID).With("field", s.Field).
				WarnLimited("unread-signal", "A response has an unknown signal field.")
		}
	}
}

// applyLimit records the rate limit that the response to an attempt of this entry advertises, 0 for
// none, and announces it to the other entries.
func (d *dispatcher) applyLimit(x *attempt, perSecond float64) {
	now := steady.Now()
	endpoint := x.endpoint().Incarnation()
	u := eligibility.LimitUpdate{PerSecond: perSecond, Sent: x.sentAt, Received: now}
	d.mu.Lock()
	defer d.mu.Unlock()
	change, announce := d.table.ApplyLimit(now, endpoint, u)
	logLimit(change, endpoint, perSecond, "answer")
	if announce {
		d.broadcastLocked(peers.Event{Kind: peers.LimitAnnounced, Endpoint: endpoint, Limit: perSecond, ResponseMS: now.Sub(x.sentAt).Milliseconds()})
	}
}

// applyAnnouncedLimit records an endpoint's limit that another entry announced, as of a time. It
// ignores events that are so old that their age is not known. dispatcher.mu is held.
func (d *dispatcher) applyAnnouncedLimit(at time.Time, e peers.Event) {
	if e.AgeMS >= peers.MaxEventAge.Milliseconds() || !(e.Limit >= 0) || e.ResponseMS < 0 || e.ResponseMS > maxResponseTimeMS {
		return
	}
	u := eligibility.LimitUpdate{PerSecond: e.Limit, Sent: at.Add(-time.Duration(e.ResponseMS) * time.Millisecond), Received: at}
	change, _ := d.table.ApplyLimit(steady.Now(), e.Endpoint, u)
	logLimit(change, e.Endpoint, e.Limit, "peer")
}

// logLimit logs that an endpoint's limit has begun or ended.
func logLimit(c eligibility.LimitChange, endpoint string, perSecond float64, from string) {
	l := log.With("endpoint", endpoint).With("from", from)
	switch c {
	case eligibility.LimitSet:
		l.With("limit", perSecond).Info("An endpoint advertises a rate limit.")
	case eligibility.LimitRemoved:
		l.Info("An endpoint no longer advertises a rate limit.")
	}
}

// applyBackoff records that the response to an attempt of this entry asks for a backoff. The delay
// runs from now, because no earlier time is known to be after the response was made.
func (d *dispatcher) applyBackoff(x *attempt, s signal.Backoff) {
	endpoint := x.endpoint().Incarnation()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table.ApplyBackoff(steady.Now(), endpoint, s.Delay, d.random) {
		log.With("endpoint", endpoint).With("for", s.Delay.String()).Info("An endpoint asks for a backoff.")
	}
}

// applyDrain records that the response to an attempt of this entry says that its endpoint is
// draining, and announces it to the other entries.
func (d *dispatcher) applyDrain(x *attempt) {
	now := steady.Now()
	endpoint := x.endpoint().Incarnation()
	d.mu.Lock()
	defer d.mu.Unlock()
	began, announce := d.table.ApplyDrain(now, endpoint, now)
	logDrain(began, endpoint, "answer")
	if announce {
		d.broadcastLocked(peers.Event{Kind: peers.EndpointDraining, Endpoint: endpoint})
	}
}

// applyAnnouncedDrain records that another entry announced that an endpoint is draining, as of a
// time. dispatcher.mu is held.
func (d *dispatcher) applyAnnouncedDrain(at time.Time, e peers.Event) {
	began, _ := d.table.ApplyDrain(steady.Now(), e.Endpoint, at)
	logDrain(began, e.Endpoint, "peer")
}

// logDrain logs that an endpoint is draining.
func logDrain(began bool, endpoint, from string) {
	if began {
		log.With("endpoint", endpoint).With("from", from).Info("An endpoint is draining, according to its responses.")
	}
}

// mustWithdraw reports whether a request for which the endpoint was chosen must not be sent any
// more.
func (d *dispatcher) mustWithdraw(incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Withdraw(steady.Now(), incarnation)
}
