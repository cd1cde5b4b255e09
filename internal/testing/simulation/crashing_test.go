package simulation_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	trees "foxcross.dev/foxcross/examples/settings"
	"foxcross.dev/foxcross/internal/testing/caller"
	"foxcross.dev/foxcross/internal/testing/history"
	"foxcross.dev/foxcross/internal/testing/simulation"
	"foxcross.dev/foxcross/internal/testing/standin"

	"foxcross.dev/coord/result"
)

const (
	crashingPrompt = "crashes what runs it"
	crashAfter     = 20 * time.Millisecond // of the beginning of such a run
	backAfter      = 4 * time.Second       // of its beginning an engine works again
)

// crashingFleet is a simulation whose engines crash under one prompt.
type crashingFleet struct {
	*simulation.Simulation
	entries []*simulation.Entry
	crashes atomic.Int64
	mended  atomic.Bool // no prompt crashes an engine any more
}

func newCrashingFleet(r *simulation.Simulation, entries, engines int) *crashingFleet {
	f := &crashingFleet{Simulation: r}
	for n := range engines {
		e := card()
		r.AddAgent(fmt.Sprint("agent-", n), "glaze-8b", e)
		e.OnStart = func(prompt string) {
			if !strings.Contains(prompt, crashingPrompt) || f.mended.Load() {
				return
			}
			f.crashes.Add(1)
			time.AfterFunc(crashAfter, func() { e.Break(true) })
			time.AfterFunc(backAfter, func() { e.Break(false) })
		}
	}
	for n := range entries {
		f.entries = append(f.entries, r.AddEntry(fmt.Sprint("entry-", n)))
	}
	ready()
	return f
}

// ask sends a prompt to an entry.
func (f *crashingFleet) ask(entry int, prompt string) caller.Answer {
	c := f.entries[entry%len(f.entries)].Caller
	c.Key = "gent-key"
	c.Class = "glaze-question"
	c.Most = 20
	return c.Chat(background, "glaze-8b", prompt)
}

// TestCrashingPromptIsHeld lets a caller come back with a prompt that crashes each engine that runs
// it, at all entries in turn.
//
// What a caller of another prompt would see: engines that crash one after the other, as long as
// somebody comes back. The cause: what follows an attempt is decided from one request's own
// attempts, and a caller's return is a new request at another entry. Evidence: on the code as it
// was 30 engines crash in 30 returns, and another prompt fails at those that are down.
func TestCrashingPromptIsHeld(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		f := newCrashingFleet(r, 3, 8)
		for n := range 30 {
			f.ask(n, crashingPrompt)
			time.Sleep(500 * time.Millisecond)
		}
		const borne = 4 // three, and one more whose retry began before its entry heard of the third
		t.Logf("%d engines have crashed", f.crashes.Load())
		if n := f.crashes.Load(); n > borne {
			t.Errorf("%d engines have crashed under one prompt", n)
		}
		if a := f.ask(0, crashingPrompt); a.Code != result.Quarantined {
			t.Errorf("answered %v", a.Code)
		}
		if a := f.ask(1, "another prompt"); a.Code != result.OK {
			t.Errorf("another prompt is answered %v", a.Code)
		}
		return history.Rules{}
	})
}

// TestEntryThatStartsHears holds that an entry which starts is told by the agents what crashed
// their engines.
func TestEntryThatStartsHears(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		f := newCrashingFleet(r, 1, 8)
		for range 10 {
			f.ask(0, crashingPrompt)
			time.Sleep(500 * time.Millisecond)
		}
		f.entries = append(f.entries, r.AddEntry("entry-late"))
		ready()
		before := f.crashes.Load()
		if a := f.ask(1, crashingPrompt); a.Code != result.Quarantined || f.crashes.Load() != before {
			t.Errorf("answered %v, %d engines have crashed", a.Code, f.crashes.Load()-before)
		}
		return history.Rules{}
	})
}

// TestEntriesOfOtherAgentsHear holds that a crash is told on from entry to entry by agents: in a large
// fleet an entry keeps few of all agents, and an agent few of all entries.
func TestEntriesOfOtherAgentsHear(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		r.Kept = 4
		f := newCrashingFleet(r, 8, 16)
		for range 10 {
			f.ask(0, crashingPrompt)
			time.Sleep(500 * time.Millisecond)
		}
		before := f.crashes.Load()
		for n, e := range f.entries {
			if a := f.ask(n, crashingPrompt); a.Code != result.Quarantined {
				t.Errorf("%s answers %v", e.Name, a.Code)
			}
		}
		if n := f.crashes.Load() - before; n != 0 {
			t.Errorf("%d engines have crashed at entries that keep other agents", n)
		}
		f.mended.Store(true)
		if !f.entries[0].ReleaseContent(f.entries[0].Dump().Contents[0].Content) {
			t.Error("nothing was held")
		}
		time.Sleep(time.Second)
		for n, e := range f.entries {
			if a := f.ask(n, crashingPrompt); a.Code != result.OK {
				t.Errorf("%s answers %v once it was let through", e.Name, a.Code)
			}
		}
		return history.Rules{}
	})
}

// TestReleaseOfAPrompt holds that an operator lets a prompt through at all entries, once it crashes
// nothing any more.
func TestReleaseOfAPrompt(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		f := newCrashingFleet(r, 3, 8)
		for n := range 10 {
			f.ask(n, crashingPrompt)
			time.Sleep(500 * time.Millisecond)
		}
		f.mended.Store(true)
		held := f.entries[1].Dump().Contents
		if len(held) != 1 || !f.entries[1].ReleaseContent(held[0].Content) || f.entries[1].ReleaseContent(held[0].Content) {
			t.Errorf("it could not be let through once: %+v", held)
		}
		time.Sleep(time.Second)
		for n := range f.entries {
			if a := f.ask(n, crashingPrompt); a.Code != result.OK {
				t.Errorf("entry %d answers %v", n, a.Code)
			}
		}
		return history.Rules{}
	})
}

// TestPopularPromptIsServed lets engines that run a popular prompt break in turn: it succeeds
// elsewhere in between, and is never held.
func TestPopularPromptIsServed(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		engines := []*standin.Engine{card(), card(), card(), card()}
		for n, e := range engines {
			r.AddAgent(fmt.Sprint("agent-", n), "glaze-8b", e)
			e.OnStart = nil // these requests have no ids
		}
		f := &crashingFleet{Simulation: r, entries: []*simulation.Entry{r.AddEntry("a"), r.AddEntry("b")}}
		ready()
		for n := range 40 {
			e := engines[n%len(engines)]
			time.AfterFunc(50*time.Millisecond, func() { e.Break(true) })
			time.AfterFunc(250*time.Millisecond, func() { e.Break(false) })
			if a := f.ask(n, "the same for all"); a.Code == result.Quarantined {
				t.Errorf("request %d: what many ask for is held", n)
			}
			time.Sleep(300 * time.Millisecond)
		}
		return history.Rules{}
	})
}
