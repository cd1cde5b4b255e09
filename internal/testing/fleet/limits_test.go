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

// toldBefore is how long after an entry has passed such an answer on its requests count.
const toldBefore = 500 * time.Millisecond

// TestEndpointIsNotSentMoreThanItNames guards against entries that go on sending to an endpoint
// as if its answers named no limit.
func TestEndpointIsNotSentMoreThanItNames(t *testing.T) {
	const (
		limit     = 2.0
		perSecond = 60
		lasts     = 6 * time.Second
	)
	f := newFleet(t, 5, 4)
	limited := f.endpoints()[0]
	limited.NameLimit(strconv.FormatFloat(limit, 'f', -1, 64))
	for _, e := range f.entries {
		f.eventually("the entry has passed such an answer on", func() bool {
			return f.ask(e, "/page/first", "").header.Get(platformtest.LimitField) != ""
		})
	}
	from := time.Now().Add(toldBefore)
	f.askAtRate(perSecond, lasts)
	most := platformtest.MostWithin(times(limited, from), platformtest.LimitWindow)
	t.Logf("at most %d requests in %v", most, platformtest.LimitWindow)
	if allowed := platformtest.Borne(limit); float64(most) > allowed {
		t.Errorf("an endpoint that names a limit of %g a second got %d requests in %v, of %.0f", limit, most, platformtest.LimitWindow, allowed)
	}
}

// askAtRate sends requests to the entries in turn, and returns when all are answered.
func (f *fleet) askAtRate(perSecond int, lasts time.Duration) {
	f.t.Helper()
	f.inTurn(perSecond, lasts, func(e *entry, n int) {
		if a := f.ask(e, fmt.Sprint("/page/", n), ""); a.status != http.StatusOK {
			f.t.Errorf("request %d: status %d, code %s", n, a.status, a.header.Get("X-Foxcross-Code"))
		}
	})
}

// inTurn does something with the entries in turn, so many times a second, and returns when all is
// done.
func (f *fleet) inTurn(perSecond int, lasts time.Duration, do func(e *entry, n int)) {
	var doing sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := range int(lasts.Seconds() * float64(perSecond)) {
		<-ticker.C
		doing.Go(func() { do(f.entries[n%len(f.entries)], n) })
	}
	doing.Wait()
}

// times returns when an endpoint got requests, from a moment on.
func times(r *platformtest.Runner, from time.Time) []time.Time {
	var all []time.Time
	for _, run := range r.Runs() {
		if !run.At.Before(from) {
			all = append(all, run.At)
		}
	}
	return all
}
