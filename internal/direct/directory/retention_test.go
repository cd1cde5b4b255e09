package directory_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
)

// endpointRecorder records the endpoints that a directory passes to onEndpoints.
type endpointRecorder struct {
	mu   sync.Mutex
	list []string
}

func (r *endpointRecorder) record(list []placement.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = r.list[:0]
	for _, e := range list {
		r.list = append(r.list, e.ID)
	}
	slices.Sort(r.list)
}

func (r *endpointRecorder) expect(t *testing.T, when string, want ...string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(r.list, want) {
		t.Errorf("%s: endpoints %v in use, want %v", when, r.list, want)
	}
}

func endpointsOf(ids ...string) []placement.Endpoint {
	var list []placement.Endpoint
	for _, id := range ids {
		list = append(list, placement.Endpoint{ID: id, Service: "pool"})
	}
	return list
}

// withRetention runs the test in virtual time with a directory that follows the store.
// leaveWithin is the time after which no new requests go to an endpoint that left.
func withRetention(t *testing.T, s *fakeStore, leaveWithin time.Duration, test func(r *endpointRecorder)) {
	synctest.Test(t, func(t *testing.T) {
		r := &endpointRecorder{}
		d := directory.New(func(directory.ActiveSettings) {}, r.record, func([]string) {})
		d.SetBounds(driver.Bounds{LeaveWithin: leaveWithin})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Follow(ctx, s)
		}()
		time.Sleep(100 * time.Millisecond)
		test(r)
		cancel()
		<-done
		time.Sleep(5 * time.Second) // the retention of endpoints ends
	})
}

// outage makes the store unavailable for 4 s. It recovers with the given list.
func (s *fakeStore) outage(list []placement.Endpoint) {
	s.set(func() { s.down = true })
	time.Sleep(4 * time.Second)
	s.set(func() {
		s.down, s.endpointsHistoryGone = false, true
		s.revision++
		s.list = list
	})
	time.Sleep(time.Second)
}

func TestRetainedEndpointsStayInUse(t *testing.T) {
	s := &fakeStore{version: 1, revision: 3, list: endpointsOf("a", "b")}
	withRetention(t, s, 2*time.Second, func(r *endpointRecorder) {
		s.outage(nil)
		r.expect(t, "just after the outage", "a", "b")
		s.set(func() { s.revision++; s.list = endpointsOf("a") })
		time.Sleep(200 * time.Millisecond)
		r.expect(t, "one endpoint is listed again", "a", "b")
		time.Sleep(3 * time.Second)
		r.expect(t, "the other one is not", "a")
	})
}

func TestRetentionIsBoundedByLeaveWithin(t *testing.T) {
	s := &fakeStore{version: 1, revision: 3, list: endpointsOf("a")}
	withRetention(t, s, 500*time.Millisecond, func(r *endpointRecorder) {
		s.outage(nil)
		// The recovery is noticed after a retry delay of up to 0.75 s. The endpoint is
		// retained for 0.4 s from then on; without the bound it would be 2.3 s.
		time.Sleep(200 * time.Millisecond)
		r.expect(t, "after the time allowed for an endpoint that left")
	})
}

func TestLeavingEndpointsAreNotRetained(t *testing.T) {
	list := endpointsOf("a")
	list[0].Leaving = true
	s := &fakeStore{version: 1, revision: 3, list: list}
	withRetention(t, s, 2*time.Second, func(r *endpointRecorder) {
		s.outage(nil)
		r.expect(t, "an endpoint that announced that it leaves")
	})
}

func TestNoRetentionWithoutOutage(t *testing.T) {
	s := &fakeStore{version: 1, revision: 3, list: endpointsOf("a", "b")}
	withRetention(t, s, 2*time.Second, func(r *endpointRecorder) {
		s.set(func() { s.endpointsHistoryGone = true; s.revision++; s.list = endpointsOf("b") })
		time.Sleep(200 * time.Millisecond)
		r.expect(t, "removed while the store responds", "b")
		s.outage(endpointsOf("b"))
		time.Sleep(3 * time.Second)
		s.set(func() { s.endpointsHistoryGone = true; s.revision++; s.list = nil })
		time.Sleep(200 * time.Millisecond)
		r.expect(t, "removed long after an outage")
	})
}

func TestEndpointsRetainedByPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &endpointRecorder{}
		d := directory.New(func(directory.ActiveSettings) {}, r.record, func([]string) {})
		d.ReplaceEndpointsFromPeer(driver.Endpoints{Revision: 1, List: endpointsOf("a", "b", "c")}, nil)
		d.ReplaceEndpointsFromPeer(driver.Endpoints{Revision: 2, List: endpointsOf("a")}, map[string]time.Duration{"b": time.Second})
		r.expect(t, "the peer retains one endpoint", "a", "b")
		if list := d.Endpoints().List; len(list) != 1 {
			t.Errorf("endpoint list %v, want one endpoint", list)
		}
		time.Sleep(1100 * time.Millisecond)
		r.expect(t, "after the retention", "a")
	})
}
