package gateway

import (
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/result"
	"foxcross.dev/coord/resumption"
	"foxcross.dev/coord/settings"
	"foxcross.dev/coord/share"
	"foxcross.dev/foxcross/internal/steady"
)

// request is one request of a caller.
type request struct {
	incoming *http.Request
	id       string
	received time.Time
	deadline time.Time // the earlier of the caller's and the route's
	class    settings.ClassInfo
	team     string
	spec     placement.Request // input to placement
	stream   resumption.Key    // that it begins or resumes; 0 if it can't be resumed, or its caller names none
	resumed  *resumedStream    // nil for a request that resumes no stream
	// resumptionUntil is when a resumption of its stream stops waiting for an endpoint, zero before it
	// waits.
	resumptionUntil time.Time
	body            []byte
	reservation     *reservation // of the body's memory, nil before the body is read

	tierPriority int            // that of its class and team; spec.Priority also depends on standing
	standing     share.Standing // of its team when it was last placed

	cachedKey      *quarantine.Key        // of its content, nil until contentKey is called
	cachedPartKeys []quarantine.Key       // of its prompt's shared parts, nil until partKeys is called
	crashes        map[quarantine.Key]int // counted against its content and parts, as of the last check; without those that have none
	runCounted     bool                   // an endpoint began to run it, and that was counted
	attempts       []*attempt             // in the order of sending
	admission      admissionResult        // of queued admission
	heldSince      time.Time              // when admission first decided
	holdFor        time.Duration          // until admission decides again, 0 if it is not held
	firstEventAt   time.Time              // when the first event was relayed, zero before that
	lastEventAt    time.Time              // when the last event was relayed
	maxPause       time.Duration          // longest time between two events
}

// contentKey returns the key of the request's content and caller. It is computed on the first call:
// as long as no content is suspect, only requests that broke or whose caller left are hashed.
func (q *request) contentKey() quarantine.Key {
	if q.cachedKey == nil {
		k := quarantine.KeyOf(q.team, q.incoming.Method, q.incoming.Host+q.incoming.URL.RequestURI(), q.body)
		q.cachedKey = &k
	}
	return *q.cachedKey
}

// resumesRecorded reports whether the request resumes a stream whose origin is recorded.
func (q *request) resumesRecorded() bool { return q.resumed != nil && q.resumed.recorded }

// timeLeft returns the time until the deadline.
func (q *request) timeLeft() time.Duration { return steady.Until(q.deadline) }

// withDeadline returns a context that ends at the deadline, when the caller disconnects, or when the
// shutdown aborts open requests.
func (g *Gateway) withDeadline(q *request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(q.incoming.Context())
	detach := context.AfterFunc(g.stopping, func() { cancel(errStopping) })
	limited, end := steady.WithDeadline(ctx, q.deadline)
	return limited, func() {
		end()
		detach()
		cancel(context.Canceled)
	}
}

// accept reads a request and determines its class and team. On failure it also returns the request,
// with what was read so far.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request) (*request, *result.Error) {
	q := &request{id: r.Header.Get(g.fields.RequestID), received: steady.Now(), incoming: r}
	if c, ok := callerConnOf(r); ok && !c.endHead(headMemoryOf(r)) {
		w.Header().Set("Connection", "close")
		return q, entryFull(headMemoryReason)
	}
	active := g.directory.Settings()
	if active == nil || !g.directory.Ready() {
		return q, notReady("no settings yet", steady.Since(g.startedAt))
	}
	if g.refusing.Load() {
		return q, &result.Error{Code: result.Draining, Run: result.NotRun, RetryAfter: drainingRetryAfter}
	}
	limits := active.Snapshot.Limits()
	if headerBytes(r) > limits.HeaderBytes {
		return q, result.Errorf(result.HeadersTooLarge, "at most %d bytes", limits.HeaderBytes)
	}
	if failed := g.classify(q, active.Snapshot); failed != nil {
		return q, failed
	}
	if g.capacity.full() {
		return q, entryFull("this entry holds too many requests")
	}
	q.deadline = g.deadline(q)
	body, failed := g.readBody(w, q, limits.BodyBytes)
	if failed != nil {
		return q, failed
	}
	q.body = body
	q.spec.Prompt = g.options.Driver.Prompt(r.Header)
	return q, nil
}

// classify determines the class by host and path, and the team by its key.
func (g *Gateway) classify(q *request, s settings.Snapshot) *result.Error {
	r := q.incoming
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(r.URL.RequestURI(), "?")
	class, ok := s.Route(host, path)
	if !ok {
		return g.deny(result.Errorf(result.NotFound, "no route"))
	}
	q.class = class
	q.spec.Priority = s.Urgency(settings.TeamInfo{}, class)
	q.spec.Regions = q.spec.Regions.Intersect(class.Route.Regions)
	if s.RequiresKey(class) {
		team, ok := s.Team(r.Header.Get(g.fields.Key))
		if !ok {
			return g.deny(result.Errorf(result.UnknownTeam, "no such key"))
		}
		q.team = team.Name
		q.spec.Priority = s.Urgency(team, class)
		q.spec.Regions = q.spec.Regions.Intersect(team.Regions)
	}
	q.tierPriority = q.spec.Priority
	q.spec.Service = class.Route.Pick(g.dispatcher.randomFraction())
	q.spec.Team = teamOf(s, q.spec.Service, q.team)
	q.spec.FirstEventTarget = class.Terms.FirstToken
	if class.Route.Streaming {
		q.spec.InterEventTarget = class.Terms.BetweenTokens
	}
	g.setStream(q)
	return nil
}

// deadline returns the earlier of the route's and the caller's deadline.
func (g *Gateway) deadline(q *request) time.Time {
	routeDeadline := q.received.Add(q.class.GiveUp)
	text := q.incoming.Header.Get(g.fields.Deadline)
	if text == "" {
		return routeDeadline
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms < 0 || math.IsNaN(ms) {
		log.With("request", q.id).WarnLimited("deadline", "A caller's deadline field is malformed; the route's deadline applies.")
		return routeDeadline
	}
	requested := q.received.Add(time.Duration(ms * float64(time.Millisecond)))
	if requested.Before(routeDeadline) {
		return requested
	}
	return routeDeadline
}
