package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"
)

// call is one request of a caller.
type call struct {
	id       string
	received time.Time
	deadline time.Time // of the caller or of the route, the sooner
	class    settings.ClassInfo
	team     string
	service  string
	job      placement.Request
	body     []byte
	held     int64 // bytes of room that the body takes
	request  *http.Request

	sends    []send // in order
	repeated bool   // an earlier send may have run
	first    time.Time
	event    time.Time     // of the last event that was passed on
	pause    time.Duration // the longest between two events
}

// send is one try at an endpoint, for the log.
type send struct {
	choice  placement.Choice
	at      time.Time
	outcome string
}

// currentFor is how long after the last confirmation the settings may be taken
// for the newest, so that what they lack may be denied.
const currentFor = 4 * time.Second

// accept reads a request and finds its class and team.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request) (*call, *result.Error) {
	c := &call{id: r.Header.Get(g.fields.RequestID), received: time.Now(), request: r}
	f := g.directory.Settings()
	if f == nil || !g.directory.Known() {
		return c, &result.Error{Code: result.NotReady, Run: result.NotRun, RetryAfter: notReadyRetry, Reason: "no settings yet"}
	}
	if g.refuse.Load() {
		return c, &result.Error{Code: result.Draining, Run: result.NotRun, RetryAfter: drainRetry}
	}
	limits := f.Snapshot.Limits()
	if headerBytes(r) > limits.HeaderBytes {
		return c, result.Errorf(result.HeadersTooLarge, "at most %d bytes", limits.HeaderBytes)
	}
	if failure := g.classify(c, f.Snapshot); failure != nil {
		return c, failure
	}
	if failure := g.hold(c, min(r.ContentLength, int64(limits.BodyBytes))); failure != nil {
		return c, failure
	}
	body, failure := readBody(w, r, limits.BodyBytes)
	if failure != nil {
		return c, failure
	}
	c.body = body
	g.holdRead(c)
	c.deadline = c.received.Add(c.class.GiveUp)
	if ms, err := strconv.ParseFloat(r.Header.Get(g.fields.Deadline), 64); err == nil && ms >= 0 {
		own := c.received.Add(time.Duration(ms * float64(time.Millisecond)))
		if own.Before(c.deadline) {
			c.deadline = own
		}
	}
	c.job.Prompt = g.options.Driver.Prompt(r.Header)
	return c, nil
}

// classify finds the class by host and path, and the team by its key.
func (g *Gateway) classify(c *call, s settings.Snapshot) *result.Error {
	r := c.request
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(r.URL.RequestURI(), "?")
	class, ok := s.Route(host, path)
	if !ok {
		return g.deny(result.Errorf(result.NotFound, "no route"))
	}
	c.class = class
	c.job.Priority = s.Urgency(settings.TeamInfo{}, class)
	if s.HasTeams() && !class.Route.Public {
		team, ok := s.Team(r.Header.Get(g.fields.Key))
		if !ok {
			return g.deny(result.Errorf(result.UnknownTeam, "no such key"))
		}
		c.team = team.Name
		c.job.Priority = s.Urgency(team, class)
	}
	g.mu.Lock()
	point := g.random.Float64()
	g.mu.Unlock()
	c.service = class.Route.Pick(point)
	c.job.Service = c.service
	c.job.FirstToken = class.Terms.FirstToken
	if class.Route.Streaming {
		c.job.BetweenTokens = class.Terms.BetweenTokens
	}
	return nil
}

// deny turns a denial into "not ready" while the settings may be out of date.
func (g *Gateway) deny(e *result.Error) *result.Error {
	if time.Since(g.directory.Confirmed()) <= currentFor {
		return e
	}
	return &result.Error{Code: result.NotReady, Run: result.NotRun, RetryAfter: notReadyRetry, Reason: "the settings may be out of date"}
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

func readBody(w http.ResponseWriter, r *http.Request, most int) ([]byte, *result.Error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(most)))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, result.Errorf(result.BodyTooLarge, "at most %d bytes", most)
	}
	if err != nil {
		return nil, result.Errorf(result.BadRequest, "body: %v", err)
	}
	return body, nil
}

// left returns the time until the deadline.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

// bounded returns a context that ends at the deadline or with the caller.
func (c *call) bounded() (context.Context, context.CancelFunc) {
	return context.WithDeadline(c.request.Context(), c.deadline)
}
