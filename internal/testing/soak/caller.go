package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
	"foxcross.dev/foxcross/internal/workers"
)

// requestTimeout is the longest time that a caller waits for a response.
const requestTimeout = 5 * time.Second

// observation is what a caller observed of one request.
type observation struct {
	id               string
	target           string
	kind             requestKind
	team             team
	returned         bool          // the caller was refused before with the same content
	retryAfter       time.Duration // that a refusal names, 0 for none
	status           int           // 0 for no response
	seal             string
	body             string
	complete         bool        // the response ended as its framing announces
	gaveUp           bool        // the caller gave up at its timeout or the end of the run
	servedBy         incarnation // of the entry that received the request, zero if unknown
	sentAt           time.Time
	answeredAt       time.Time // when the response had been read
	resumes          string    // id of the request that brought the first event of the stream that it resumes, empty for none
	resumesAfter     int       // number of the last event that the caller has, of one that resumes a stream
	drainingEndpoint string    // id of the endpoint that announced in its response that it drains, empty for none
}

// requestCount counts the requests of this process.
var requestCount atomic.Uint64

// runCaller sends requests to random entries until ctx is done. Every other caller keeps its
// connections open and uses each until it is closed, also while the entry stops.
func (d *deployment) runCaller(ctx context.Context, number uint64) {
	random := rand.New(rand.NewPCG(d.options.Seed, number+2))
	keepAlive := number%2 == 0
	connections := map[*entry]*connection{}
	defer func() {
		for _, c := range connections {
			c.close()
		}
	}()
	for ctx.Err() == nil {
		e := d.entries[random.IntN(len(d.entries))]
		k := requestKinds[random.IntN(len(requestKinds))]
		c := connections[e]
		if c == nil {
			c = &connection{entry: e}
		}
		s := d.callAndReturn(ctx, c, newObservation(k, teams[number%uint64(len(teams))]), random)
		d.resumeBroken(ctx, s, random)
		if keepAlive {
			connections[e] = c
		} else {
			c.close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.IntN(20)) * time.Millisecond):
		}
	}
}

// request sends one request over a new connection.
func (d *deployment) request(ctx context.Context, e *entry, k requestKind) observation {
	c := &connection{entry: e}
	defer c.close()
	return d.requestOver(ctx, c, newObservation(k, teams[0]))
}

// newObservation returns the observation of a request that is still to be sent.
func newObservation(k requestKind, t team) observation {
	id := fmt.Sprintf("%016x", requestCount.Add(1))
	return observation{id: id, target: k.path + id, kind: k, team: t}
}

// requestOver sends one request over a connection and records the observation of the caller.
func (d *deployment) requestOver(ctx context.Context, c *connection, s observation) observation {
	k, content := s.kind, strings.TrimPrefix(s.target, s.kind.path)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var body io.Reader = http.NoBody
	if k.method == http.MethodPost {
		body = bytes.NewBufferString("body of " + content)
	}
	q, err := http.NewRequest(k.method, "http://"+host+s.target, body)
	if err != nil {
		return s
	}
	q.Header.Set(platformtest.RequestIDField, s.id)
	q.Header.Set(platformtest.DeadlineField, fmt.Sprint(requestTimeout.Milliseconds()))
	q.Header.Set(platformtest.KeyField, s.team.key)
	if k.stream {
		// One prompt in 16 has the same first part. The second part makes the prefill long
		// enough that requests queue, so that other engines fetch the shared part, or short enough
		// that the run is copied.
		const sharedTokens = 4000
		ownTokens := 5000
		if k.nonIdempotent {
			ownTokens = 500
		}
		q.Header.Set(platformtest.TokensField, fmt.Sprintf("%d,100", sharedTokens+ownTokens))
		q.Header.Set(platformtest.PartsField, fmt.Sprintf("a%s:%d,%s:%d", content[len(content)-1:], sharedTokens, content, ownTokens))
	}
	if s.resumes != "" {
		q.Header.Set(platformtest.ResumesField, s.resumes)
		q.Header.Set(platformtest.LastEventField, strconv.Itoa(s.resumesAfter))
	}
	s.servedBy, s.sentAt = c.entry.incarnation(), time.Now()
	a, data, err := c.exchange(ctx, q)
	s.answeredAt = time.Now()
	if c.entry.incarnation() != s.servedBy {
		s.servedBy = incarnation{}
	}
	if a != nil {
		if a.Header.Get(platformtest.DrainingField) != "" {
			s.drainingEndpoint = a.Header.Get(platformtest.InstanceField)
		}
		s.status = a.StatusCode
		s.retryAfter = retryAfterOf(a)
		s.seal = a.Header.Get(platformtest.SealField)
		s.body = string(data)
		s.complete = err == nil
	}
	s.gaveUp = ctx.Err() != nil || s.answeredAt.Sub(s.sentAt) >= requestTimeout // its timer may be late
	d.history.add(s)
	return s
}

// eventIDs returns the ids of the complete id lines of a stream.
func eventIDs(body string) []string {
	var ids []string
	for line := range strings.Lines(body) {
		if id, found := strings.CutPrefix(line, "id: "); found && strings.HasSuffix(id, "\n") {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return ids
}

// versionPollInterval is the time between two reads of the active versions.
const versionPollInterval = 50 * time.Millisecond

// recordVersions records the active settings version of each entry until ctx is done.
func (d *deployment) recordVersions(ctx context.Context) {
	workers.Every(ctx, versionPollInterval, func(time.Time) {
		for _, e := range d.entries {
			starts := e.startCount()
			version, ok := e.settingsVersion(ctx)
			if ok && version > 0 && e.startCount() == starts {
				d.history.recordVersion(e.name, starts, version)
			}
		}
	})
}
