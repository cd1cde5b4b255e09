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

// crashingPath is below which a request crashes the endpoint that runs it.
const crashingPath = "/page/crash/"

const (
	// crashingPause is the longest time between two returns of the caller.
	crashingPause = 150 * time.Millisecond
	// crashingBack is the time until an endpoint that crashed is replaced.
	crashingBack = 300 * time.Millisecond
	// maxCrashesSeen is how many crashes under one content an entry may see itself before it has to
	// know of it, in each of its lives.
	maxCrashesSeen = 3
)

// callCrashing sends the same request again and again, to any entry, until ctx is done. It
// crashes each endpoint that runs it.
func (d *deployment) callCrashing(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, 3))
	for ctx.Err() == nil {
		e := d.entries[random.IntN(len(d.entries))]
		d.askCrashing(ctx, e)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(crashingPause)))):
		}
	}
}

// askCrashing sends that request once, on a connection of its own.
func (d *deployment) askCrashing(ctx context.Context, e *entry) {
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	q, err := http.NewRequest(http.MethodPost, "http://"+host+crashingPath, bytes.NewBufferString("crashes what runs it"))
	if err != nil {
		return
	}
	q.Header.Set(platformtest.RequestIDField, fmt.Sprintf("%016x", ids.Add(1)))
	q.Header.Set(platformtest.DeadlineField, fmt.Sprint(requestTime.Milliseconds()))
	q.Header.Set(platformtest.KeyField, teamKey)
	c := &connection{entry: e}
	defer c.close()
	_, _, _ = c.exchange(ctx, q) // what it is answered does not matter
}

// awaitCrash replaces an endpoint that has crashed under a request.
func (d *deployment) awaitCrash(e *endpoint) {
	<-e.runner.Ended()
	d.mu.Lock()
	over := d.closed || e.gone
	if !over {
		e.gone = true
		d.crashed++
	}
	d.mu.Unlock()
	if over {
		return
	}
	time.Sleep(crashingBack)
	d.store.Lose(e.runner)
	d.addEndpoint()
}

// checkCrashing holds the number of endpoints that crashed under the request to what is borne.
func (d *deployment) checkCrashing() {
	lives := 0
	for _, e := range d.entries {
		e.mu.Lock()
		lives += e.life
		e.mu.Unlock()
	}
	d.mu.Lock()
	crashed := d.crashed
	d.mu.Unlock()
	if crashed > maxCrashesSeen*lives {
		d.history.breach(KeptFrom, "", fmt.Sprintf("%d endpoints crashed under one content, in %d lives of entries", crashed, lives))
	}
}
