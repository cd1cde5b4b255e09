package fleet_test

import (
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// leaveWithin is the time after the first sign of draining in which an endpoint may get requests.
const leaveWithin = time.Second

// Guards against requests to an endpoint that drains by its responses and is ready by its record.
func TestDrainingEndpointGetsNothingAfterTheGracePeriod(t *testing.T) {
	const perSecond = 100
	f := newFleet(t, 5, 4)
	f.respondWithin(busyTime)
	draining := f.endpoints()[0]
	draining.Drain("1")
	for _, e := range f.entries[:1] {
		f.eventually("the entry has passed such a response on", func() bool {
			return f.ask(e, "/page/first", "").header.Get(platformtest.DrainingField) != ""
		})
	}
	from := time.Now().Add(leaveWithin)
	f.askEachAtRate("page", perSecond, leaveWithin+2*time.Second)
	if late := times(draining, from); len(late) > 0 {
		t.Errorf("it got %d requests, the last one %v after the grace period", len(late), late[len(late)-1].Sub(from))
	}
}
