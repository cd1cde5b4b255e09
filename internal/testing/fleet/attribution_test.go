package fleet_test

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// TestPopularContentIsServed checks that a content requested by many callers is not held while
// endpoints crash repeatedly, under another request and without a cause.
func TestPopularContentIsServed(t *testing.T) {
	const callers, requestsPerCaller = 4, 40
	f := newFleet(t, 3, 6)
	var all sync.WaitGroup
	stop := make(chan struct{})
	for n := range callers {
		all.Go(func() {
			for range requestsPerCaller {
				a := f.request(f.entries[n%len(f.entries)], "/page/popular", "the same for all")
				if a.header.Get("X-Foxcross-Code") == "1307" {
					t.Error("a popular content is refused")
				}
			}
		})
	}
	go func() {
		defer close(stop)
		for n := range 12 {
			f.request(f.entries[n%len(f.entries)], crashingPath, "crashes what runs it")
			f.endpoints()[0].Close()
		}
	}()
	all.Wait()
	<-stop
	f.eventually("the content is served", func() bool {
		return f.request(f.entries[0], "/page/popular", "the same for all").status == http.StatusOK
	})
}

// TestOtherFailuresAreNotCrashes checks failures that are no crash of an endpoint: a broken connection,
// a truncated response, bytes that are no response, and a failure status.
func TestOtherFailuresAreNotCrashes(t *testing.T) {
	f := newFleet(t, 2, 3)
	for _, behavior := range []platformtest.Behavior{
		platformtest.ResetConnection{}, platformtest.Truncate{}, platformtest.Garbage{}, platformtest.Fail{Status: 500},
		platformtest.Events{To: 2, Broken: true}, platformtest.Refuse{Status: 503},
	} {
		for n := range 4 {
			platformtest.ShareScript(f.endpoints(), behavior, behavior)
			f.request(f.entries[n%2], "/book/1", "fails")
			f.request(f.entries[n%2], "/chat/1", "fails")
		}
	}
	platformtest.ShareScript(f.endpoints())
	for _, e := range f.entries {
		if d := e.gateway.Dump(); d.SuspectContents != 0 {
			t.Errorf("%d contents are suspect: %v", d.SuspectContents, d.Contents)
		}
	}
}

// TestAnnouncedEndsAreNotCrashes checks that the end of an endpoint that has announced that it leaves
// is no crash, even with a request in flight.
func TestAnnouncedEndsAreNotCrashes(t *testing.T) {
	f := newFleet(t, 2, 1)
	leaving := f.endpoints()[0]
	end := make(chan struct{})
	leaving.Enqueue(platformtest.Crash{After: end})
	answered := make(chan response, 1)
	go func() { answered <- f.request(f.entries[0], "/book/1", "under way") }()
	f.eventually("it runs", func() bool { return len(leaving.Runs()) == 1 })
	f.store.PutEndpoint(leaving, "draining")
	for _, e := range f.entries {
		f.eventually("the endpoint is known to leave", func() bool { return e.gateway.Dump().Endpoints[0].Leaving })
	}
	close(end)
	if a := <-answered; a.status != http.StatusBadGateway {
		t.Errorf("answered %d", a.status)
	}
	if d := f.entries[0].gateway.Dump(); d.SuspectContents != 0 {
		t.Errorf("suspect: %v", d.Contents)
	}
}

// TestCrashAfterCallerDisconnectCounts checks that a crash is attributed to a content whose caller
// disconnects before the endpoint crashes.
func TestCrashAfterCallerDisconnectCounts(t *testing.T) {
	f := newFleet(t, 2, 1)
	for n := range 3 {
		f.eventually("the endpoint is back", func() bool { return len(f.endpoints()) == 1 })
		r := f.endpoints()[0]
		end := make(chan struct{})
		r.Enqueue(platformtest.Crash{After: end})
		f.eventually("the endpoint is used", func() bool {
			e := f.entries[0].gateway.Directory().Endpoints().List
			return len(e) == 1 && e[0].StartedMS == r.StartedMS
		})
		ctx, disconnect := context.WithCancel(context.Background())
		done := make(chan response, 1)
		go func() { done <- f.requestWithContext(ctx, f.entries[0], "/chat/left", "crashes what runs it") }()
		f.eventually("it runs", func() bool { return len(r.Runs()) == 1 })
		disconnect()
		<-done
		f.eventually("the attempt has ended", func() bool { return f.entries[0].gateway.Dump().OpenRequests == 0 })
		close(end)
		<-r.Ended()
		f.eventually("the crash is attributed", func() bool {
			d := f.entries[0].gateway.Dump()
			return len(d.Contents) == 1 && d.Contents[0].Crashes == n+1
		})
	}
	for _, e := range f.entries {
		f.awaitHeld(e, 1)
	}
}
