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
	// maxPartCrashesPerIncarnation is the same for a part of prompts: the number that operators accept
	// in all.
	maxPartCrashesPerIncarnation = 5
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

// deadlyParts returns the IDs of the parts that crash endpoints.
func (o Options) deadlyParts() []string {
	var ids []string
	for n := range o.DeadlyParts {
		ids = append(ids, fmt.Sprintf("dead%d", n))
	}
	return ids
}

// runDeadlyCaller sends requests with a deadly part in their prompts, each with another content, to
// random entries until ctx is done.
func (d *deployment) runDeadlyCaller(ctx context.Context, part string) {
	random := rand.New(rand.NewPCG(d.options.Seed, uint64(len(part)+int(part[len(part)-1]))))
	for ctx.Err() == nil {
		d.sendDeadlyRequest(ctx, d.entries[random.IntN(len(d.entries))], part, random.IntN(16))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(maxCrashingPause)))):
		}
	}
}

// sendDeadlyRequest sends one request with a deadly part. It shares its first part with others.
func (d *deployment) sendDeadlyRequest(ctx context.Context, e *entry, part string, first int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	id := fmt.Sprintf("%016x", requestCount.Add(1))
	q, err := http.NewRequest(http.MethodPost, "http://"+host+"/chat/"+id, bytes.NewBufferString(id))
	if err != nil {
		return
	}
	q.Header.Set(platformtest.RequestIDField, id)
	q.Header.Set(platformtest.DeadlineField, fmt.Sprint(requestTimeout.Milliseconds()))
	q.Header.Set(platformtest.KeyField, teamKey)
	q.Header.Set(platformtest.TokensField, "4600,100")
	q.Header.Set(platformtest.PartsField, fmt.Sprintf("a%x:4000,%s:500,%s:100", first, part, id))
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
	allowed := starts * maxPartCrashesPerIncarnation * d.options.DeadlyParts
	if d.options.Crashing || d.options.DeadlyParts == 0 {
		allowed += starts * maxCrashesPerIncarnation
	}
	if crashed > allowed {
		d.history.recordViolation(CrashingRequestHeld, "", fmt.Sprintf("%d endpoints crashed under one content or %d parts, in %d starts of entries", crashed, d.options.DeadlyParts, starts))
	}
}
