package fleet_test

import (
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// drainGracePeriod is the time after the first response that announces draining in which an endpoint
// may still get requests.
const drainGracePeriod = time.Second

// TestDrainingEndpointGetsNoRequestsAfterGracePeriod guards against requests to an endpoint that drains
// according to its responses although its record says that it is ready.
func TestDrainingEndpointGetsNoRequestsAfterGracePeriod(t *testing.T) {
	const perSecond = 100
	f := newFleet(t, 5, 4)
	f.delayResponses(busyDuration)
	draining := f.endpoints()[0]
	draining.Drain("1")
	for _, e := range f.entries[:1] {
		f.eventually("the entry has passed on a response that announces draining", func() bool {
			return f.request(e, "/page/first", "").header.Get(platformtest.DrainingField) != ""
		})
	}
	from := time.Now().Add(drainGracePeriod)
	f.requestKindAtRate("page", perSecond, drainGracePeriod+2*time.Second)
	if late := arrivalTimes(draining, from); len(late) > 0 {
		t.Errorf("got %d requests after the grace period, the last one %v after it", len(late), late[len(late)-1].Sub(from))
	}
}
