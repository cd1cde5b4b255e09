package fleet_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// longRun is longer than entries take to tell each other of a crash: what began after a crash is
// told from what began before by when it was heard of.
const longRun = 200 * time.Millisecond

// TestManyAtOnce lets many ask for a content that crashes what runs it in the same moment, at all
// entries, so that all endpoints crash together. When they ask again, one of them tries it.
func TestManyAtOnce(t *testing.T) {
	f := newFleet(t, 4, 8)
	f.askAtOnce(crashing)
	f.allHold(crashing)
	before := f.crashes.Load()
	f.askAtOnce(crashing)
	if n := f.crashes.Load() - before; n > 1 {
		t.Errorf("%d endpoints have crashed when it was asked for again", n)
	}
}

// TestManyAtOnceWithoutTheStore holds that each entry tries by itself what may only have met one
// misfortune, while nobody can agree on who does: it would be refused for as long as the store is
// away.
func TestManyAtOnceWithoutTheStore(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.crashTogether("/book/unlucky")
	f.allHold("/book/unlucky")
	f.store.SetFault(platformtest.Busy)
	if a := f.ask(f.entries[0], "/book/unlucky", "crashes what runs it"); a.status != http.StatusOK {
		t.Errorf("answered %d %v", a.status, a.header)
	}
	f.eventuallyHeld(f.entries[0], 0)
	f.eventuallyHeld(f.entries[1], 0)
}

// TestManyAtOnceOfWhatRunsElsewhere holds that a popular content is not held at all since
// endpoints that ran it crashed together, if a run of it elsewhere succeeds.
func TestManyAtOnceOfWhatRunsElsewhere(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.crashTogether("/book/popular")
	for _, e := range f.entries {
		f.eventually("the crashes are known", func() bool {
			d := e.gateway.Dump()
			return len(d.Contents) == 1 && len(d.Contents[0].Endpoints) >= 3
		})
	}
	if a := f.ask(f.entries[0], "/book/popular", "crashes what runs it"); a.status != http.StatusOK {
		t.Errorf("answered %d %v", a.status, a.header)
	}
	for _, e := range f.entries {
		f.eventually("it is cleared", func() bool { return e.gateway.Dump().Suspect == 0 })
	}
}

// allHold waits until all entries hold one content.
func (f *fleet) allHold(target string) {
	f.t.Helper()
	for _, e := range f.entries {
		f.eventually(target+" is held", func() bool {
			d := e.gateway.Dump()
			return len(d.Contents) == 1 && d.Contents[0].Held
		})
	}
}

// crashTogether lets a content run at three endpoints at least, which crash at once, as does a
// retry of a run.
func (f *fleet) crashTogether(target string) {
	f.t.Helper()
	const enough, most = 3, 16
	var all sync.WaitGroup
	crash := make(chan struct{})
	running := f.endpoints()
	platformtest.InTurn(running, slices.Repeat([]platformtest.Act{platformtest.Crash{After: crash}}, most)...)
	for n := range most {
		if endpointsInUse(running) >= enough {
			break
		}
		all.Go(func() { f.ask(f.entries[n%len(f.entries)], target, "crashes what runs it") })
		f.eventually("it runs", func() bool { return runsAt(running) == n+1 })
	}
	begun := time.Now()
	f.eventually("they have run for longer than it takes to tell of it", func() bool { return time.Since(begun) > longRun })
	close(crash)
	all.Wait()
	platformtest.InTurn(running) // those that no run reached
	f.eventually("the endpoints are back", func() bool { return len(f.endpoints()) == len(running) })
}

// runsAt returns how many runs have begun at endpoints.
func runsAt(all []*platformtest.Runner) int {
	n := 0
	for _, r := range all {
		n += len(r.Runs())
	}
	return n
}

// endpointsInUse returns at how many endpoints runs have begun.
func endpointsInUse(all []*platformtest.Runner) int {
	n := 0
	for _, r := range all {
		n += min(len(r.Runs()), 1)
	}
	return n
}
