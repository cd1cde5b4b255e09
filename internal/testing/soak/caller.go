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
}

// ids counts the requests of this process.
var ids atomic.Uint64

// call sends requests to entries until ctx is done.
func (d *deployment) call(ctx context.Context, number uint64) {
	random := rand.New(rand.NewPCG(d.options.Seed, number+2))
	for ctx.Err() == nil {
		e := d.entries[random.IntN(len(d.entries))]
		k := kinds[random.IntN(len(kinds))]
		d.request(ctx, e, k)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.IntN(20)) * time.Millisecond):
		}
	}
}

// request sends one request and notes what the caller saw.
func (d *deployment) request(ctx context.Context, e *entry, k kind) seen {
	s := seen{id: fmt.Sprintf("%016x", ids.Add(1)), kind: k}
	s.target = k.path + s.id
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	var body io.Reader = http.NoBody
	if k.method == http.MethodPost {
		body = bytes.NewBufferString("body of " + s.id)
	}
	q, err := http.NewRequestWithContext(ctx, k.method, fmt.Sprintf("http://%s:%d%s", e.address, callersPort, s.target), body)
	if err != nil {
		return s
	}
	q.Host = host
	q.Header.Set(platformtest.RequestIDField, s.id)
	q.Header.Set(platformtest.DeadlineField, fmt.Sprint(requestTime.Milliseconds()))
	q.Header.Set(platformtest.KeyField, teamKey)
	// A connection of its own, so that the client library repeats nothing.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	if a, err := client.Do(q); err == nil {
		data, err := io.ReadAll(a.Body)
		_ = a.Body.Close() // it was read or broke off
		s.status = a.StatusCode
		s.seal = a.Header.Get(platformtest.SealField)
		s.body = string(data)
		s.whole = err == nil
	}
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
