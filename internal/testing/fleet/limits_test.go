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

const (
	// limitWindow is the time in which an endpoint's requests are counted.
	limitWindow = 4 * time.Second
	// limitOverrun and limitSlack are how many times what its limit allows it bears in a window,
	// and how many requests besides.
	limitOverrun = 1.5
	limitSlack   = 5
	// toldBefore is how long after an entry has passed such an answer on its requests count.
	toldBefore = 500 * time.Millisecond
)

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
	t.Logf("at most %d requests in %v", mostWithin(limited, from, limitWindow), limitWindow)
	if most, allowed := mostWithin(limited, from, limitWindow), limitOverrun*limit*limitWindow.Seconds()+limitSlack; float64(most) > allowed {
		t.Errorf("an endpoint that names a limit of %g a second got %d requests in %v, of %.0f", limit, most, limitWindow, allowed)
	}
}

// askAtRate sends requests to the entries in turn, and returns when all are answered.
func (f *fleet) askAtRate(perSecond int, lasts time.Duration) {
	f.t.Helper()
	var asking sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; n < int(lasts.Seconds()*float64(perSecond)); n++ {
		<-ticker.C
		e := f.entries[n%len(f.entries)]
		asking.Go(func() {
			if a := f.ask(e, fmt.Sprint("/page/", n), ""); a.status != http.StatusOK {
				f.t.Errorf("request %d: status %d, code %s", n, a.status, a.header.Get("X-Foxcross-Code"))
			}
		})
	}
	asking.Wait()
}

// mostWithin returns the most requests that an endpoint got within a time, from a moment on.
func mostWithin(r *platformtest.Runner, from time.Time, window time.Duration) int {
	most := 0
	runs := r.Runs()
	for n, first := range runs {
		if first.At.Before(from) {
			continue
		}
		within := 0
		for _, x := range runs[n:] {
			if x.At.Sub(first.At) < window {
				within++
			}
		}
		most = max(most, within)
	}
	return most
}
