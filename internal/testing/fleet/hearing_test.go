package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// TestOthersHear holds that a content which one entry knows of is refused at all, and that
// no more than three endpoints crash under it.
func TestOthersHear(t *testing.T) {
	f := newFleet(t, 4, 4)
	for _, target := range []string{crashing, crashingOnce} {
		before := f.crashes.Load()
		f.askUntilHeld(f.entries[0], target)
		if n := f.crashes.Load() - before; n != 3 {
			t.Errorf("%s: %d endpoints have crashed until it was known", target, n)
		}
	}
	for _, e := range f.entries {
		f.eventuallyHeld(e, 2)
	}
	before := f.crashes.Load()
	for _, e := range f.entries {
		if a := f.ask(e, crashing, "crashes what runs it"); !a.isRefused() {
			t.Errorf("answered %d %v", a.status, a.header)
		}
	}
	if n := f.crashes.Load() - before; n != 0 {
		t.Errorf("%d endpoints have crashed under what all know of", n)
	}
	if a := f.ask(f.entries[0], crashing, "another body"); a.isRefused() {
		t.Error("another content is refused")
	}
}

// TestEntryThatStarts holds that an entry which starts knows what the others do by the snapshot
// of one of them. It hears of no other one, since it could be told again by them.
func TestEntryThatStarts(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.askUntilHeld(f.entries[0], crashing)
	e := f.addEntry(false)
	data, err := f.entries[0].gateway.Snapshot()
	f.check(err)
	f.check(e.gateway.Restore(data))
	f.isKnownAt(e)
}

// TestEntryThatHearsNoOther holds that an entry which is cut off from the others, and in
// touch with the store, sends a content once and then knows of it.
func TestEntryThatHearsNoOther(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.askUntilHeld(f.entries[0], crashing)
	f.eventuallyRecorded(1)
	alone := f.addEntry(false)
	before := f.crashes.Load()
	f.askUntilHeld(alone, crashing)
	if n := f.crashes.Load() - before; n != 1 {
		t.Errorf("%d endpoints have crashed under what the store knows of", n)
	}
}

// TestLossOfAllEntries holds that what is held outlasts all entries.
func TestLossOfAllEntries(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.askUntilHeld(f.entries[0], crashing)
	f.eventuallyRecorded(1)
	for _, e := range f.entries {
		e.end()
	}
	f.entries = nil
	first, second := f.addEntry(true), f.addEntry(true)
	for _, e := range f.entries {
		f.eventually("they have met", func() bool { return e.gateway.Dump().Entries == 2 })
	}
	first.gateway.LearnHeld(context.Background())
	f.isKnownAt(first)
	f.isKnownAt(second)
}

// TestTrial holds that one request tries a content whose hold is over, however many ask for
// it, at however many entries.
func TestTrial(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.holdOver(crashing)
	f.askAtOnce(crashing)
	if n := f.crashes.Load(); n != 1 {
		t.Errorf("%d endpoints have crashed at the trial", n)
	}
	for _, e := range f.entries {
		f.eventually("it is held for longer", func() bool {
			d := e.gateway.Dump()
			return len(d.Contents) == 1 && d.Contents[0].ForMS > 200_000
		})
	}
	f.eventuallyRecorded(1)
}

// TestTrialThatSucceeds holds that a content is cleared at all entries by a trial that
// succeeds.
func TestTrialThatSucceeds(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.holdOver("/chat/mended")
	f.askAtOnce("/chat/mended")
	for _, e := range f.entries {
		f.eventuallyHeld(e, 0)
	}
	f.eventuallyRecorded(0)
}

// TestTrialBesideAnotherThatSucceeded lets a content through, by another entry, while a trial of it
// is under way here. Of two entries that tried at once the second wrote its record after the first
// had dropped its own; nobody took it out, so that whoever started later held what was cleared. Seen once, as
// TestTrialThatSucceeds under load.
func TestTrialBesideAnotherThatSucceeded(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.holdOver("/chat/mended")
	hold := make(chan struct{})
	f.endpoints()[0].Next(platformtest.Events{To: 3, Hold: hold})
	answered := make(chan reply, 1)
	go func() { answered <- f.ask(f.entries[0], "/chat/mended", "crashes what runs it") }()
	f.eventuallyRecorded(1)
	f.eventually("it runs", func() bool { return len(f.endpoints()[0].Runs()) == 1 })
	k := quarantine.KeyOf("studio-1", "POST", host+"/chat/mended", []byte("crashes what runs it"))
	cleared := peers.Event{Kind: peers.ContentCleared, Runs: []quarantine.RunReport{{Content: k[:]}}}
	f.entries[0].gateway.Listener().TakeEvents(99, []peers.Event{cleared})
	f.eventuallyHeld(f.entries[0], 0)
	close(hold)
	if a := <-answered; a.status != http.StatusOK {
		t.Errorf("answered %d", a.status)
	}
	f.eventuallyRecorded(0)
}

// TestTrialThatReachesNoEndpoint holds that a trial which tells nothing is given back: the
// content is tried again once an endpoint can be reached.
func TestTrialThatReachesNoEndpoint(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.holdOver("/chat/mended")
	f.store.Put("servers/i-1", map[string]any{
		"backend": service, "address": freeAddress(t), "zone": "zone-1", "slots": 8, "state": "ready",
	})
	for _, e := range f.entries {
		f.eventually("the address has changed", func() bool { return e.gateway.Directory().Endpoints().List[0].Born == 0 })
	}
	if a := f.ask(f.entries[0], "/chat/mended", "crashes what runs it"); a.status != http.StatusServiceUnavailable {
		t.Errorf("answered %d", a.status)
	}
	f.store.Enter(f.endpoints()[0], "ready")
	for _, e := range f.entries {
		f.eventually("it is served", func() bool {
			return f.ask(e, "/chat/mended", "crashes what runs it").status == http.StatusOK
		})
	}
}

// TestTrialGoesOnToTheNextEndpoint holds that a trial whose first endpoint can't be reached is
// not over: nobody else may try meanwhile, and its caller would be refused for nothing.
func TestTrialGoesOnToTheNextEndpoint(t *testing.T) {
	const unreachable = 3
	f := newFleet(t, 1, unreachable+1)
	f.holdOver("/chat/mended")
	for n := range unreachable {
		f.store.Put(fmt.Sprint("servers/i-", n+1), map[string]any{
			"backend": service, "address": freeAddress(t), "zone": "zone-1", "slots": 8, "state": "ready",
		})
	}
	e := f.entries[0]
	f.eventually("the addresses have changed", func() bool {
		changed := 0
		for _, x := range e.gateway.Directory().Endpoints().List {
			if x.Born == 0 {
				changed++
			}
		}
		return changed == unreachable
	})
	if a := f.ask(e, "/chat/mended", "crashes what runs it"); a.status != http.StatusOK {
		t.Errorf("answered %d", a.status)
	}
}

// TestNoTrialWithoutTheStore holds that a content stays held while nobody can agree on who
// tries it.
func TestNoTrialWithoutTheStore(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.holdOver(crashing)
	f.store.SetFault(platformtest.Busy)
	for _, e := range f.entries {
		if a := f.ask(e, crashing, "crashes what runs it"); !a.isRefused() {
			t.Errorf("answered %d %v", a.status, a.header)
		}
	}
	if n := f.crashes.Load(); n != 0 {
		t.Errorf("%d endpoints have crashed", n)
	}
}

// TestRelease holds that an operator lets a content through at all entries.
func TestRelease(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.askUntilHeld(f.entries[0], crashing)
	f.eventuallyHeld(f.entries[1], 1)
	f.eventuallyRecorded(1)
	content := f.entries[1].gateway.Dump().Contents[0].Content
	if !f.entries[1].gateway.ReleaseContent(content) {
		t.Error("nothing was held")
	}
	for _, e := range f.entries {
		f.eventuallyHeld(e, 0)
	}
	f.eventuallyRecorded(0)
}

// askAtOnce lets many ask for a content at all entries in the same moment.
func (f *fleet) askAtOnce(target string) {
	const asking = 12
	var all sync.WaitGroup
	for n := range asking {
		all.Go(func() { f.ask(f.entries[n%len(f.entries)], target, "crashes what runs it") })
	}
	all.Wait()
}

// holdOver lets all entries believe that a content was held, and is not any more.
func (f *fleet) holdOver(target string) {
	f.t.Helper()
	k := quarantine.KeyOf("studio-1", "POST", host+target, []byte("crashes what runs it"))
	told := peers.Event{Kind: peers.ContentHeld, Holds: []quarantine.HoldReport{{Content: k[:], Crashes: 3, ForMS: 0}}}
	for _, e := range f.entries {
		e.gateway.Listener().TakeEvents(99, []peers.Event{told})
	}
}

// isKnownAt waits until an entry holds a content, and expects that it refuses it.
func (f *fleet) isKnownAt(e *entry) {
	f.t.Helper()
	f.eventuallyHeld(e, 1)
	before := f.crashes.Load()
	if a := f.ask(e, crashing, "crashes what runs it"); !a.isRefused() || f.crashes.Load() != before {
		f.t.Errorf("answered %d, %d endpoints crashed", a.status, f.crashes.Load()-before)
	}
}

// eventuallyRecorded waits until the store has so many records of held contents.
func (f *fleet) eventuallyRecorded(contents int) {
	f.t.Helper()
	f.eventually("the held contents are recorded", func() bool { return len(f.store.Keys("foxcross/quarantine/")) == contents })
}
