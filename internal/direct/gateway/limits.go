package gateway

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/steady"
)

// maxLoggedField bounds what is logged of a field of an answer, in bytes.
const maxLoggedField = 32

// maxSentMS bounds the time from a send to its answer that another entry tells, in ms.
const maxSentMS = 3_600_000

// errLimit is the error of a limit that can't be kept to.
var errLimit = errors.New("gateway: not one number of requests a second")

// noteLimit takes in what an answer says of its endpoint's limit, whatever the request's send was
// for.
func (g *Gateway) noteLimit(a *attempt, answer *upstream.Answer) {
	values := answer.Header.Values(g.fields.Limit)
	a.limit = loggedField(values)
	a.retryAfter = loggedField(answer.Header.Values("Retry-After"))
	a.draining = loggedField(answer.Header.Values(g.fields.Draining))
	limit, err := parseLimit(values)
	switch {
	case err != nil:
		log.With("endpoint", a.endpoint().ID).With("limit", a.limit).With("reason", err.Error()).
			Limited("limit", "An endpoint names a limit that can't be kept to; it is left out.")
	case answer.Status == http.StatusMisdirectedRequest:
		// another endpoint has answered
	case limit > 0 || succeeded(answer.Status) && answer.Header.Get(g.fields.Seal) != "":
		g.attempts.takeLimit(a, limit)
	}
}

// parseLimit returns the limit that an answer names, 0 for none. One of zero is raised to the
// least that is kept to. The error is errLimit.
func parseLimit(values []string) (perSecond float64, err error) {
	if len(values) == 0 {
		return 0, nil
	}
	limit, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || len(values) > 1 || !(limit >= 0) || math.IsInf(limit, 0) {
		return 0, errLimit
	}
	return max(limit, eligibility.MinLimit), nil
}

// loggedField returns a field of an answer as it stands there.
func loggedField(values []string) string {
	text := strings.Join(values, ", ")
	return text[:min(len(text), maxLoggedField)]
}

// takeLimit takes in what the answer to an attempt of this entry says of its endpoint's limit, 0
// for none, and tells the others.
func (a *attempts) takeLimit(x *attempt, perSecond float64) {
	now := steady.Now()
	endpoint := x.endpoint().Incarnation()
	w := eligibility.Word{PerSecond: perSecond, Sent: x.sentAt, Came: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	change, tell := a.table.TakeLimit(now, endpoint, w)
	logLimit(change, endpoint, perSecond, "answer")
	if tell {
		a.broadcast(peers.Event{Kind: peers.LimitTold, Endpoint: endpoint, Limit: perSecond, SentMS: now.Sub(x.sentAt).Milliseconds()})
	}
}

// takeLimitTold takes in what another entry tells of an endpoint's limit, as of a time. What
// is so old that its age is not known is left out. attempts.mu is held.
func (a *attempts) takeLimitTold(at time.Time, e peers.Event) {
	if e.AgeMS >= peers.MaxEventAge.Milliseconds() || !(e.Limit >= 0) || e.SentMS < 0 || e.SentMS > maxSentMS {
		return
	}
	w := eligibility.Word{PerSecond: e.Limit, Sent: at.Add(-time.Duration(e.SentMS) * time.Millisecond), Came: at}
	change, _ := a.table.TakeLimit(steady.Now(), e.Endpoint, w)
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
