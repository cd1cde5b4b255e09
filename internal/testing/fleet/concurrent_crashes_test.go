package fleet_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// longRunDuration is longer than the delivery of a crash event. Runs that begin after a crash are
// distinguished from earlier ones by the time at which their events arrive.
const longRunDuration = 200 * time.Millisecond

// TestConcurrentCrashes sends concurrent requests for a content that crashes its endpoints, at all
// entries, so that all endpoints crash at once. Of the requests that follow only one runs the content.
func TestConcurrentCrashes(t *testing.T) {
	f := newFleet(t, 4, 8)
	f.requestConcurrently(crashingPath)
	f.awaitAllHeld(crashingPath)
	before := f.crashes()
	f.requestConcurrently(crashingPath)
	if n := f.crashes() - before; n > 1 {
		t.Errorf("%d endpoints have crashed when the content was requested again", n)
	}
}

// TestConcurrentCrashesWithoutStore checks that each entry runs its own trial of a content whose only
// crashes were concurrent, which may have another cause, while the entries cannot agree on one trial.
// Otherwise the content would be refused for as long as the store is unavailable.
func TestConcurrentCrashesWithoutStore(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.crashConcurrently("/book/unlucky")
	f.awaitAllHeld("/book/unlucky")
	f.store.SetFault(platformtest.Busy)
	if a := f.request(f.entries[0], "/book/unlucky", "crashes what runs it"); a.status != http.StatusOK {
		t.Errorf("answered %d %v", a.status, a.header)
	}
	f.awaitHeld(f.entries[0], 0)
	f.awaitHeld(f.entries[1], 0)
}

// TestConcurrentCrashesOfContentThatRunsElsewhere checks that a popular content is not held
// because endpoints that ran it crashed at once, if a run at another endpoint succeeds.
func TestConcurrentCrashesOfContentThatRunsElsewhere(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.crashConcurrently("/book/popular")
	for _, e := range f.entries {
		f.eventually("the crashes are attributed", func() bool {
			d := e.gateway.Dump()
			return len(d.Contents) == 1 && len(d.Contents[0].Endpoints) >= 3
		})
	}
	if a := f.request(f.entries[0], "/book/popular", "crashes what runs it"); a.status != http.StatusOK {
		t.Errorf("answered %d %v", a.status, a.header)
	}
	for _, e := range f.entries {
		f.eventually("the content is cleared", func() bool { return e.gateway.Dump().SuspectContents == 0 })
	}
}

// awaitAllHeld waits until all entries hold one content.
func (f *fleet) awaitAllHeld(target string) {
	f.t.Helper()
	for _, e := range f.entries {
		f.eventually(target+" is held", func() bool {
			d := e.gateway.Dump()
			return len(d.Contents) == 1 && d.Contents[0].Held
		})
	}
}

// crashConcurrently runs a content at three endpoints at least, which crash at once, as do the endpoints
// of the retries.
func (f *fleet) crashConcurrently(target string) {
	f.t.Helper()
	const minEndpoints, maxRequests = 3, 16
	var all sync.WaitGroup
	crash := make(chan struct{})
	running := f.endpoints()
	platformtest.ShareScript(running, slices.Repeat([]platformtest.Behavior{platformtest.Crash{After: crash}}, maxRequests)...)
	for n := range maxRequests {
		if usedEndpointCount(running) >= minEndpoints {
			break
		}
		all.Go(func() { f.request(f.entries[n%len(f.entries)], target, "crashes what runs it") })
		f.eventually("the request runs", func() bool { return runCount(running) == n+1 })
	}
	startedAt := time.Now()
	f.eventually("the runs are longer than the delivery of an event", func() bool { return time.Since(startedAt) > longRunDuration })
	close(crash)
	all.Wait()
	platformtest.ShareScript(running) // clears the behaviors of endpoints that no run reached
	f.eventually("the endpoints are back", func() bool { return len(f.endpoints()) == len(running) })
}

// runCount returns the number of runs that have begun at the endpoints.
func runCount(all []*platformtest.Runner) int {
	n := 0
	for _, r := range all {
		n += len(r.Runs())
	}
	return n
}

// usedEndpointCount returns the number of endpoints at which runs have begun.
func usedEndpointCount(all []*platformtest.Runner) int {
	n := 0
	for _, r := range all {
		n += min(len(r.Runs()), 1)
	}
	return n
}
