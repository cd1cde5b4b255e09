package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// crashingPath is the path prefix of requests that crash the endpoint that runs them.
const crashingPath = "/page/crash/"

const (
	// maxCrashingPause is the longest time between two crashing requests.
	maxCrashingPause = 150 * time.Millisecond
	// crashReplaceDelay is the time until a crashed endpoint is replaced.
	crashReplaceDelay = 300 * time.Millisecond
	// maxCrashesPerIncarnation is how many crashes by one content an entry may observe itself,
	// between two starts, before it has to quarantine the content.
	maxCrashesPerIncarnation = 3
)

// runCrashingCaller sends the same request repeatedly, to random entries, until ctx is done. The
// request crashes each endpoint that runs it.
func (d *deployment) runCrashingCaller(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, 3))
	for ctx.Err() == nil {
		e := d.entries[random.IntN(len(d.entries))]
		d.sendCrashingRequest(ctx, e)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(maxCrashingPause)))):
		}
	}
}

// sendCrashingRequest sends the crashing request once, over a new connection.
func (d *deployment) sendCrashingRequest(ctx context.Context, e *entry) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	q, err := http.NewRequest(http.MethodPost, "http://"+host+crashingPath, bytes.NewBufferString("crashes what runs it"))
	if err != nil {
		return
	}
	q.Header.Set(platformtest.RequestIDField, fmt.Sprintf("%016x", requestCount.Add(1)))
	q.Header.Set(platformtest.DeadlineField, fmt.Sprint(requestTimeout.Milliseconds()))
	q.Header.Set(platformtest.KeyField, teamKey)
	c := &connection{entry: e}
	defer c.close()
	_, _, _ = c.exchange(ctx, q) // the response is not checked
}

// awaitCrash waits for the end of an endpoint, records it, and replaces it if it has crashed under a request.
func (d *deployment) awaitCrash(e *endpoint) {
	<-e.runner.Ended()
	d.mu.Lock()
	e.endedAt = time.Now()
	ignored := d.closed || e.removed
	if !ignored {
		e.removed = true
		d.crashed++
	}
	d.mu.Unlock()
	if ignored {
		return
	}
	time.Sleep(crashReplaceDelay)
	d.store.RemoveEndpoint(e.runner)
	d.addEndpoint()
}

// checkCrashing reports a violation if more endpoints have crashed under the request than allowed.
func (d *deployment) checkCrashing() {
	starts := 0
	for _, e := range d.entries {
		e.mu.Lock()
		starts += e.starts
		e.mu.Unlock()
	}
	d.mu.Lock()
	crashed := d.crashed
	d.mu.Unlock()
	if crashed > maxCrashesPerIncarnation*starts {
		d.history.recordViolation(CrashingRequestHeld, "", fmt.Sprintf("%d endpoints crashed under one content, in %d starts of entries", crashed, starts))
	}
}
