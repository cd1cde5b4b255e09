package fleet_test

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// TestPopularContentIsServed lets many callers ask the same thing while endpoints crash under
// another request, again and again, and for no reason at all.
func TestPopularContentIsServed(t *testing.T) {
	const callers, each = 4, 40
	f := newFleet(t, 3, 6)
	var all sync.WaitGroup
	stop := make(chan struct{})
	for n := range callers {
		all.Go(func() {
			for range each {
				a := f.ask(f.entries[n%len(f.entries)], "/page/popular", "the same for all")
				if a.header.Get("X-Foxcross-Code") == "1307" {
					t.Error("what many ask for is refused")
				}
			}
		})
	}
	go func() {
		defer close(stop)
		for n := range 12 {
			f.ask(f.entries[n%len(f.entries)], crashing, "crashes what runs it")
			f.endpoints()[0].Close()
		}
	}()
	all.Wait()
	<-stop
	f.eventually("it is served", func() bool {
		return f.ask(f.entries[0], "/page/popular", "the same for all").status == http.StatusOK
	})
}

// TestOtherFailuresDoNotCount lets requests meet what is no crash of an endpoint: a connection
// that breaks, an answer that breaks off, bytes that are none, a failure of its own.
func TestOtherFailuresDoNotCount(t *testing.T) {
	f := newFleet(t, 2, 3)
	for _, act := range []platformtest.Act{
		platformtest.Break{}, platformtest.Cut{}, platformtest.Garbage{}, platformtest.Fail{Status: 500},
		platformtest.Events{To: 2, Broken: true}, platformtest.Refuse{Status: 503},
	} {
		for n := range 4 {
			platformtest.InTurn(f.endpoints(), act, act)
			f.ask(f.entries[n%2], "/book/1", "fails")
			f.ask(f.entries[n%2], "/chat/1", "fails")
		}
	}
	platformtest.InTurn(f.endpoints())
	for _, e := range f.entries {
		if d := e.gateway.Dump(); d.Suspect != 0 {
			t.Errorf("%d contents are suspect: %v", d.Suspect, d.Contents)
		}
	}
}

// TestAnnouncedEndsDoNotCount lets an endpoint that has said that it leaves end with a
// request under way.
func TestAnnouncedEndsDoNotCount(t *testing.T) {
	f := newFleet(t, 2, 1)
	leaving := f.endpoints()[0]
	end := make(chan struct{})
	leaving.Next(platformtest.Crash{After: end})
	answered := make(chan reply, 1)
	go func() { answered <- f.ask(f.entries[0], "/book/1", "under way") }()
	f.eventually("it runs", func() bool { return len(leaving.Runs()) == 1 })
	f.store.Enter(leaving, "draining")
	for _, e := range f.entries {
		f.eventually("the leaving is known", func() bool { return e.gateway.Dump().Endpoints[0].Leaving })
	}
	close(end)
	if a := <-answered; a.status != http.StatusBadGateway {
		t.Errorf("answered %d", a.status)
	}
	if d := f.entries[0].gateway.Dump(); d.Suspect != 0 {
		t.Errorf("suspect: %v", d.Contents)
	}
}

// TestCallerThatLeaves holds that a content counts also if its caller is gone when the
// endpoint crashes: it is asked for, left at once, and the endpoint crashes later.
func TestCallerThatLeaves(t *testing.T) {
	f := newFleet(t, 2, 1)
	for n := range 3 {
		f.eventually("the endpoint is back", func() bool { return len(f.endpoints()) == 1 })
		r := f.endpoints()[0]
		end := make(chan struct{})
		r.Next(platformtest.Crash{After: end})
		f.eventually("the endpoint is used", func() bool {
			e := f.entries[0].gateway.Directory().Endpoints().List
			return len(e) == 1 && e[0].Born == r.Born
		})
		ctx, leave := context.WithCancel(context.Background())
		gone := make(chan reply, 1)
		go func() { gone <- f.askFor(ctx, f.entries[0], "/chat/left", "crashes what runs it") }()
		f.eventually("it runs", func() bool { return len(r.Runs()) == 1 })
		leave()
		<-gone
		f.eventually("the attempt has ended", func() bool { return f.entries[0].gateway.Dump().Open == 0 })
		close(end)
		<-r.Ended()
		f.eventually("the crash is known", func() bool {
			d := f.entries[0].gateway.Dump()
			return len(d.Contents) == 1 && d.Contents[0].Crashes == n+1
		})
	}
	for _, e := range f.entries {
		f.eventuallyHeld(e, 1)
	}
}
