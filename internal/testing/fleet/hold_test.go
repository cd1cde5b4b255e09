package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// TestOtherEntriesReceiveHold checks that a content that one entry holds is refused at all
// entries, and that three endpoints crash under it.
func TestOtherEntriesReceiveHold(t *testing.T) {
	f := newFleet(t, 4, 4)
	for _, target := range []string{crashingPath, crashingOncePath} {
		before := f.crashes()
		f.requestUntilHeld(f.entries[0], target)
		if n := f.crashes() - before; n != 3 {
			t.Errorf("%s: %d endpoints have crashed before the hold", target, n)
		}
	}
	for _, e := range f.entries {
		f.awaitHeld(e, 2)
	}
	before := f.crashes()
	for _, e := range f.entries {
		if a := f.request(e, crashingPath, "crashes what runs it"); !a.isHeld() {
			t.Errorf("answered %d %v", a.status, a.header)
		}
	}
	if n := f.crashes() - before; n != 0 {
		t.Errorf("%d endpoints have crashed under a held content", n)
	}
	if a := f.request(f.entries[0], crashingPath, "another body"); a.isHeld() {
		t.Error("another content is refused")
	}
}

// TestNewEntryRestoresHold checks that a new entry restores the hold from the snapshot of
// another entry. It does not join the group, whose members could send it the same events.
func TestNewEntryRestoresHold(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.requestUntilHeld(f.entries[0], crashingPath)
	e := f.addEntry(false)
	data, err := f.entries[0].gateway.Snapshot()
	f.mustSucceed(err)
	f.mustSucceed(e.gateway.Restore(steady.Now(), data))
	f.checkHeldAt(e)
}

// TestIsolatedEntryLearnsFromStore checks that an entry that reaches the store but no other entry
// forwards a content that the store records as held once, and then refuses it.
func TestIsolatedEntryLearnsFromStore(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.requestUntilHeld(f.entries[0], crashingPath)
	f.awaitRecorded(1)
	alone := f.addEntry(false)
	before := f.crashes()
	f.requestUntilHeld(alone, crashingPath)
	if n := f.crashes() - before; n != 1 {
		t.Errorf("%d endpoints have crashed under a content that the store records", n)
	}
}

// TestHoldOutlastsAllEntries checks that the hold survives the loss of all entries.
func TestHoldOutlastsAllEntries(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.requestUntilHeld(f.entries[0], crashingPath)
	f.awaitRecorded(1)
	for _, e := range f.entries {
		e.stop()
	}
	f.entries = nil
	first, second := f.addEntry(true), f.addEntry(true)
	for _, e := range f.entries {
		f.eventually("the entries have joined", func() bool { return e.gateway.Dump().LiveEntries == 2 })
	}
	first.gateway.LoadHolds(context.Background())
	f.checkHeldAt(first)
	f.checkHeldAt(second)
}

// TestTrial checks that exactly one of many concurrent requests, at several entries, runs a content
// whose hold has expired.
func TestTrial(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.expireHold(crashingPath)
	f.requestConcurrently(crashingPath)
	if n := f.crashes(); n != 1 {
		t.Errorf("%d endpoints have crashed in the trial", n)
	}
	for _, e := range f.entries {
		f.eventually("the hold is extended", func() bool {
			d := e.gateway.Dump()
			return len(d.Contents) == 1 && d.Contents[0].ForMS > 200_000
		})
	}
	f.awaitRecorded(1)
}

// TestTrialThatSucceeds checks that a successful trial clears a content at all entries.
func TestTrialThatSucceeds(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.expireHold("/chat/mended")
	f.requestConcurrently("/chat/mended")
	for _, e := range f.entries {
		f.awaitHeld(e, 0)
	}
	f.awaitRecorded(0)
}

// TestConcurrentSuccessClearsTrialRecord clears a content by an event of another entry while a trial of
// it runs here. It guards against a stale record in the store: of two entries that run a trial at the
// same time the second writes its record after the first has deleted its own. If that record is
// not deleted, entries that start later hold a cleared content. The same fault makes
// TestTrialThatSucceeds fail under load.
func TestConcurrentSuccessClearsTrialRecord(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.expireHold("/chat/mended")
	hold := make(chan struct{})
	f.endpoints()[0].Enqueue(platformtest.Events{To: 3, Hold: hold})
	answered := make(chan response, 1)
	go func() { answered <- f.request(f.entries[0], "/chat/mended", "crashes what runs it") }()
	f.awaitRecorded(1)
	f.eventually("the trial runs", func() bool { return len(f.endpoints()[0].Runs()) == 1 })
	k := quarantine.KeyOf("studio-1", "POST", host+"/chat/mended", []byte("crashes what runs it"))
	cleared := peers.Event{Kind: peers.ContentCleared, Runs: []quarantine.RunReport{{Content: k[:]}}}
	f.entries[0].gateway.EventReceiver().HandleEvents(99, []peers.Event{cleared})
	f.awaitHeld(f.entries[0], 0)
	close(hold)
	if a := <-answered; a.status != http.StatusOK {
		t.Errorf("answered %d", a.status)
	}
	f.awaitRecorded(0)
}

// TestTrialThatReachesNoEndpoint checks that a trial without a result is released: the content is
// tried again once an endpoint can be reached.
func TestTrialThatReachesNoEndpoint(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.expireHold("/chat/mended")
	f.store.Put("servers/i-1", map[string]any{
		"backend": service, "address": freeAddress(t), "zone": "zone-1", "slots": 8, "state": "ready",
	})
	for _, e := range f.entries {
		f.eventually("the address has changed", func() bool { return e.gateway.Directory().Endpoints().List[0].StartedMS == 0 })
	}
	if a := f.request(f.entries[0], "/chat/mended", "crashes what runs it"); a.status != http.StatusServiceUnavailable {
		t.Errorf("answered %d", a.status)
	}
	f.store.PutEndpoint(f.endpoints()[0], "ready")
	for _, e := range f.entries {
		f.eventually("the content is served", func() bool {
			return f.request(e, "/chat/mended", "crashes what runs it").status == http.StatusOK
		})
	}
}

// TestTrialContinuesAtNextEndpoint checks that a trial whose first endpoint can't be reached continues
// at another one. Otherwise its caller would be refused without need, since no other request may try
// the content in the meantime.
func TestTrialContinuesAtNextEndpoint(t *testing.T) {
	const unreachable = 3
	f := newFleet(t, 1, unreachable+1)
	f.expireHold("/chat/mended")
	for n := range unreachable {
		f.store.Put(fmt.Sprint("servers/i-", n+1), map[string]any{
			"backend": service, "address": freeAddress(t), "zone": "zone-1", "slots": 8, "state": "ready",
		})
	}
	e := f.entries[0]
	f.eventually("the addresses have changed", func() bool {
		changed := 0
		for _, x := range e.gateway.Directory().Endpoints().List {
			if x.StartedMS == 0 {
				changed++
			}
		}
		return changed == unreachable
	})
	if a := f.request(e, "/chat/mended", "crashes what runs it"); a.status != http.StatusOK {
		t.Errorf("answered %d", a.status)
	}
}

// TestNoTrialWithoutTheStore checks that a content stays held while the entries cannot agree
// which of them runs the trial.
func TestNoTrialWithoutTheStore(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.expireHold(crashingPath)
	f.store.SetFault(platformtest.Busy)
	for _, e := range f.entries {
		if a := f.request(e, crashingPath, "crashes what runs it"); !a.isHeld() {
			t.Errorf("answered %d %v", a.status, a.header)
		}
	}
	if n := f.crashes(); n != 0 {
		t.Errorf("%d endpoints have crashed", n)
	}
}

// TestRelease checks that an operator can release a content at all entries.
func TestRelease(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.requestUntilHeld(f.entries[0], crashingPath)
	f.awaitHeld(f.entries[1], 1)
	f.awaitRecorded(1)
	content := f.entries[1].gateway.Dump().Contents[0].Content
	if !f.entries[1].gateway.ReleaseContent(content) {
		t.Error("the content was not held")
	}
	for _, e := range f.entries {
		f.awaitHeld(e, 0)
	}
	f.awaitRecorded(0)
}

// requestConcurrently sends many requests for a content at once, at all entries.
func (f *fleet) requestConcurrently(target string) {
	const requests = 12
	var pending sync.WaitGroup
	for n := range requests {
		pending.Go(func() { f.request(f.entries[n%len(f.entries)], target, "crashes what runs it") })
	}
	pending.Wait()
}

// expireHold sends all entries the event of a hold that has expired.
func (f *fleet) expireHold(target string) {
	f.t.Helper()
	k := quarantine.KeyOf("studio-1", "POST", host+target, []byte("crashes what runs it"))
	event := peers.Event{Kind: peers.ContentHeld, Holds: []quarantine.HoldReport{{Content: k[:], Crashes: 3, ForMS: 0}}}
	for _, e := range f.entries {
		e.gateway.EventReceiver().HandleEvents(99, []peers.Event{event})
	}
}

// checkHeldAt waits until an entry holds a content, and checks that it refuses it.
func (f *fleet) checkHeldAt(e *entry) {
	f.t.Helper()
	f.awaitHeld(e, 1)
	before := f.crashes()
	if a := f.request(e, crashingPath, "crashes what runs it"); !a.isHeld() || f.crashes() != before {
		f.t.Errorf("answered %d, %d endpoints crashed", a.status, f.crashes()-before)
	}
}

// awaitRecorded waits until the store has a number of records of held contents.
func (f *fleet) awaitRecorded(contents int) {
	f.t.Helper()
	f.eventually("the held contents are recorded", func() bool { return len(f.store.Keys("foxcross/quarantine/")) == contents })
}
