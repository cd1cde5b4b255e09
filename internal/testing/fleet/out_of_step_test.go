package fleet_test

import (
	"net/http"
	"sync"
	"testing"
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
