package fleet_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// limitGracePeriod is the time after an entry has passed on a response that advertises a limit until its
// requests count.
const limitGracePeriod = 500 * time.Millisecond

// TestAdvertisedLimitIsRespected guards against entries that ignore the limit that an endpoint
// advertises in its responses.
func TestAdvertisedLimitIsRespected(t *testing.T) {
	const (
		limit     = 2.0
		perSecond = 60
		lasts     = 6 * time.Second
	)
	f := newFleet(t, 5, 4)
	limited := f.endpoints()[0]
	limited.AdvertiseLimit(strconv.FormatFloat(limit, 'f', -1, 64))
	for _, e := range f.entries {
		f.eventually("the entry has passed on a response that advertises a limit", func() bool {
			return f.request(e, "/page/first", "").header.Get(platformtest.LimitField) != ""
		})
	}
	from := time.Now().Add(limitGracePeriod)
	f.requestPagesAtRate(perSecond, lasts)
	most := platformtest.MostWithin(arrivalTimes(limited, from), platformtest.LimitWindow)
	t.Logf("at most %d requests in %v", most, platformtest.LimitWindow)
	if allowed := platformtest.MaxRequestsInWindow(limit); float64(most) > allowed {
		t.Errorf("an endpoint that advertises a limit of %g a second got %d requests in %v, allowed are %.0f", limit, most, platformtest.LimitWindow, allowed)
	}
}

// requestPagesAtRate sends requests for pages to the entries in turn, and returns when all are answered.
func (f *fleet) requestPagesAtRate(perSecond int, duration time.Duration) {
	f.t.Helper()
	f.sendInTurn(perSecond, duration, func(e *entry, n int) {
		if a := f.request(e, fmt.Sprint("/page/", n), ""); a.status != http.StatusOK {
			f.t.Errorf("request %d: status %d, code %s", n, a.status, a.header.Get("X-Foxcross-Code"))
		}
	})
}

// sendInTurn calls send with the entries in turn, perSecond times a second, and returns when all calls
// have returned.
func (f *fleet) sendInTurn(perSecond int, duration time.Duration, send func(e *entry, n int)) {
	var pending sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := range int(duration.Seconds() * float64(perSecond)) {
		<-ticker.C
		pending.Go(func() { send(f.entries[n%len(f.entries)], n) })
	}
	pending.Wait()
}

// arrivalTimes returns the times of the runs at an endpoint since from.
func arrivalTimes(r *platformtest.Runner, from time.Time) []time.Time {
	var all []time.Time
	for _, run := range r.Runs() {
		if !run.At.Before(from) {
			all = append(all, run.At)
		}
	}
	return all
}
