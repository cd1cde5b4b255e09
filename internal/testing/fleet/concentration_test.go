package fleet_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// minConcentratedShare is the share of what was served before that has to be served while one entry
// gets most requests.
const minConcentratedShare = 0.75

// servedShare sends requests at a rate for a time, and returns the share that is served at the first
// attempt.
func (f *fleet) servedShare(perSecond int, duration time.Duration, entryOf func(n int) *entry, send func(e *entry, n int) response) float64 {
	var pending sync.WaitGroup
	var served atomic.Int64
	total := int(duration.Seconds() * float64(perSecond))
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := range total {
		<-ticker.C
		pending.Go(func() {
			if send(entryOf(n), n).status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	pending.Wait()
	return float64(served.Load()) / float64(total)
}

// TestEntryThatGetsMostRequestsServesThem guards against limits that assume an equal load of all entries.
func TestEntryThatGetsMostRequestsServesThem(t *testing.T) {
	const (
		perSecond = 120
		lasts     = 2 * time.Second
	)
	for _, c := range []struct {
		entries int
		limit   string // that each of 8 engines advertises, in requests a second; empty for none
	}{{5, ""}, {5, "20"}, {28, ""}, {28, "20"}} {
		t.Run(fmt.Sprintf("%d entries, limit %q", c.entries, c.limit), func(t *testing.T) {
			entries := c.entries
			f := newFleet(t, entries, 0)
			f.configureService(2, mixedService(200))
			for n := range 8 {
				r := f.addEngine(fmt.Sprint("i-", n+1), "v1", platformtest.Events{To: 5, Pause: 20 * time.Millisecond})
				if c.limit != "" {
					r.AdvertiseLimit(c.limit)
				}
			}
			f.awaitEndpoints(8)
			send := func(e *entry, n int) response { return f.request(e, fmt.Sprint("/chat/", n), fmt.Sprint(n)) }
			spread := f.servedShare(perSecond, lasts, func(n int) *entry { return f.entries[n%entries] }, send)
			concentrated := f.servedShare(perSecond, lasts, func(n int) *entry {
				if n%10 == 0 {
					return f.entries[n/10%entries]
				}
				return f.entries[0]
			}, send)
			t.Logf("served: %.3f spread, %.3f with nine tenths at one entry", spread, concentrated)
			if concentrated < minConcentratedShare*spread {
				t.Errorf("%.3f are served while one entry gets nine tenths, %.3f before", concentrated, spread)
			}
		})
	}
}
