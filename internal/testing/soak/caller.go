package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
	"foxcross.dev/foxcross/internal/workers"
)

// requestTime is what callers wait at the most.
const requestTime = 5 * time.Second

// seen is what a caller saw of one request.
type seen struct {
	id     string
	target string
	kind   kind
	status int // 0 for no answer
	seal   string
	body   string
	whole  bool // the answer ended as its framing says
	left   bool // the caller gave up, by its time or the end of the run
	by     life // of the entry that had the request, zero for not known
	sent   time.Time
	ended  time.Time // when the answer was read
	drains string    // id of the endpoint whose answer said that it drains, empty for none
}

// ids counts the requests of this process.
var ids atomic.Uint64

// call sends requests to entries until ctx is done. Every other caller keeps its
// connections and uses each until it is closed, also while the entry stops.
func (d *deployment) call(ctx context.Context, number uint64) {
	random := rand.New(rand.NewPCG(d.options.Seed, number+2))
	keeps := number%2 == 0
	kept := map[*entry]*connection{}
	defer func() {
		for _, c := range kept {
			c.close()
		}
	}()
	for ctx.Err() == nil {
		e := d.entries[random.IntN(len(d.entries))]
		k := kinds[random.IntN(len(kinds))]
		c := kept[e]
		if c == nil {
			c = &connection{entry: e}
		}
		d.requestOver(ctx, c, k)
		if keeps {
			kept[e] = c
		} else {
			c.close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.IntN(20)) * time.Millisecond):
		}
	}
}

// request sends one request over a connection of its own.
func (d *deployment) request(ctx context.Context, e *entry, k kind) seen {
	c := &connection{entry: e}
	defer c.close()
	return d.requestOver(ctx, c, k)
}

// requestOver sends one request over a connection and notes what the caller saw.
func (d *deployment) requestOver(ctx context.Context, c *connection, k kind) seen {
	s := seen{id: fmt.Sprintf("%016x", ids.Add(1)), kind: k}
	s.target = k.path + s.id
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	var body io.Reader = http.NoBody
	if k.method == http.MethodPost {
		body = bytes.NewBufferString("body of " + s.id)
	}
	q, err := http.NewRequest(k.method, "http://"+host+s.target, body)
	if err != nil {
		return s
	}
	q.Header.Set(platformtest.RequestIDField, s.id)
	q.Header.Set(platformtest.DeadlineField, fmt.Sprint(requestTime.Milliseconds()))
	q.Header.Set(platformtest.KeyField, teamKey)
	if k.stream {
		// One in 16 prompts shares its first part. With the other it takes long enough
		// that some wait, so that other engines come to fetch it.
		q.Header.Set(platformtest.TokensField, "9000,100")
		q.Header.Set(platformtest.PartsField, fmt.Sprintf("a%s:4000,%s:5000", s.id[len(s.id)-1:], s.id))
	}
	s.by, s.sent = c.entry.lived(), time.Now()
	a, data, err := c.exchange(ctx, q)
	s.ended = time.Now()
	if c.entry.lived() != s.by {
		s.by = life{}
	}
	if a != nil {
		if a.Header.Get(platformtest.DrainingField) != "" {
			s.drains = a.Header.Get(platformtest.InstanceField)
		}
		s.status = a.StatusCode
		s.seal = a.Header.Get(platformtest.SealField)
		s.body = string(data)
		s.whole = err == nil
	}
	s.left = ctx.Err() != nil
	d.history.add(s)
	return s
}

// events returns the ids of the events of a stream.
func events(body string) []string {
	var all []string
	for line := range strings.Lines(body) {
		if id, found := strings.CutPrefix(line, "id: "); found && strings.HasSuffix(id, "\n") {
			all = append(all, strings.TrimSpace(id))
		}
	}
	return all
}

// watchEvery is how often the versions in force are looked at.
const watchEvery = 50 * time.Millisecond

// watchVersions notes the settings in force at all entries until ctx is done.
func (d *deployment) watchVersions(ctx context.Context) {
	workers.Every(ctx, watchEvery, func(time.Time) {
		for _, e := range d.entries {
			life := e.number()
			version, ok := e.settingsVersion(ctx)
			if ok && version > 0 && e.number() == life {
				d.history.inForce(e.name, life, version)
			}
		}
	})
}
