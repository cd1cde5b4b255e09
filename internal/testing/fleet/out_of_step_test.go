package fleet_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// newFleetWithLateEntry returns a fleet with streams and an entry that has received nothing about them.
func newFleetWithLateEntry(t *testing.T) (f *fleet, late *entry, streams []*brokenStream) {
	t.Helper()
	f = newMixedFleet(t, 2, 2, "v1", "v2")
	streams = f.beginStreams(f.entries[0], 12, 2)
	late = f.addEntry(true)
	f.eventually("the entry knows the others", func() bool { return late.gateway.Dump().LiveEntries == 3 })
	f.entries[0].stop()
	f.silent.Store(true)
	return f, late, streams
}

// TestStreamsGoOnOncePeersAnswerAgain guards against refusals by an entry whose peers are out of touch for a moment.
func TestStreamsGoOnOncePeersAnswerAgain(t *testing.T) {
	f, late, streams := newFleetWithLateEntry(t)
	var callers sync.WaitGroup
	for _, s := range streams {
		callers.Go(func() { checkResumed(t, s, f.resume(late, s)) })
	}
	f.eventually("peers were asked", func() bool { return f.unanswered.Load() > 0 })
	f.silent.Store(false)
	callers.Wait()
}

// TestEntryOutOfTouchSendsCallersToOthers guards against streams that are given up since one entry is out of touch.
func TestEntryOutOfTouchSendsCallersToOthers(t *testing.T) {
	f, late, streams := newFleetWithLateEntry(t)
	a := f.resume(late, streams[0])
	if a.status != http.StatusServiceUnavailable || a.header.Get("X-Foxcross-Code") != "1311" || a.header.Get("X-Foxcross-Run") != "not run" || a.header.Get("Retry-After") == "" {
		t.Fatalf("status %d, header %v", a.status, a.header)
	}
	checkResumed(t, streams[0], f.resume(f.entries[1], streams[0]))
}

// TestStreamsOfVersionThatJoinsAreNotGoneAtEntryWithOldList guards against "version gone" by a list that is old.
func TestStreamsOfVersionThatJoinsAreNotGoneAtEntryWithOldList(t *testing.T) {
	f := newMixedFleet(t, 3, 2, "v1")
	began, behind := f.entries[0], f.entries[2]
	f.listsHeld.Store(true)
	behind.unfollow()
	for n := range 4 {
		f.addEngine(fmt.Sprint("i-v2-", n+1), "v2", platformtest.Events{To: longStream, Pause: eventPause})
	}
	f.eventually("the others list the new engines", func() bool {
		return len(began.gateway.Dump().Endpoints) == 6 && len(f.entries[1].gateway.Dump().Endpoints) == 6
	})
	streams := f.beginStreams(began, 12, 2)
	began.stop()
	var callers sync.WaitGroup
	for _, s := range streams {
		callers.Go(func() { checkResumed(t, s, f.resume(behind, s)) })
	}
	f.eventually("streams wait for a list, or have an answer", func() bool { return behind.gateway.Dump().OpenRequests >= 1 })
	f.listsHeld.Store(false)
	defer behind.follow()()
	callers.Wait()
}
