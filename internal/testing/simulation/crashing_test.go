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
	crashDelay     = 20 * time.Millisecond // from the start of such a run to the crash
	recoveryDelay  = 4 * time.Second       // from the start of such a run until the engine works again
)

// crashingFleet is a simulation whose engines crash on one prompt.
type crashingFleet struct {
	*simulation.Simulation
	entries []*simulation.Entry
	crashes atomic.Int64
	fixed   atomic.Bool // the prompt no longer crashes engines
}

func newCrashingFleet(r *simulation.Simulation, entries, engines int) *crashingFleet {
	f := &crashingFleet{Simulation: r}
	for n := range engines {
		e := newEngine()
		r.AddAgent(fmt.Sprint("agent-", n), "glaze-8b", e)
		e.OnStart = func(prompt string) {
			if !strings.Contains(prompt, crashingPrompt) || f.fixed.Load() {
				return
			}
			f.crashes.Add(1)
			time.AfterFunc(crashDelay, func() { e.SetBroken(true) })
			time.AfterFunc(recoveryDelay, func() { e.SetBroken(false) })
		}
	}
	for n := range entries {
		f.entries = append(f.entries, r.AddEntry(fmt.Sprint("entry-", n)))
	}
	awaitAgents()
	return f
}

// chat sends a prompt to an entry.
func (f *crashingFleet) chat(entry int, prompt string) caller.Answer {
	c := f.entries[entry%len(f.entries)].Caller
	c.Key = "gent-key"
	c.Class = "glaze-question"
	c.MaxTokens = 20
	return c.Chat(background, "glaze-8b", prompt)
}

// TestCrashingPromptIsHeld repeats a prompt that crashes each engine that runs it, at all
// entries in turn. It guards against retry decisions that use only the attempts of one request: a
// repeated prompt is a new request at another entry, so that 30 repetitions crash 30 engines and
// other prompts fail at the engines that are down.
func TestCrashingPromptIsHeld(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		f := newCrashingFleet(r, 3, 8)
		for n := range 30 {
			f.chat(n, crashingPrompt)
			time.Sleep(500 * time.Millisecond)
		}
		const allowed = 4 // three, and one whose retry starts before its entry learns of the third
		t.Logf("%d engines have crashed", f.crashes.Load())
		if n := f.crashes.Load(); n > allowed {
			t.Errorf("%d engines have crashed on one prompt", n)
		}
		if a := f.chat(0, crashingPrompt); a.Code != result.Quarantined {
			t.Errorf("answered %v", a.Code)
		}
		if a := f.chat(1, "another prompt"); a.Code != result.OK {
			t.Errorf("another prompt is answered %v", a.Code)
		}
		return history.Rules{}
	})
}

// TestNewEntryReceivesHeldPrompts checks that a new entry receives from the agents the prompts
// that crashed their engines.
func TestNewEntryReceivesHeldPrompts(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		f := newCrashingFleet(r, 1, 8)
		for range 10 {
			f.chat(0, crashingPrompt)
			time.Sleep(500 * time.Millisecond)
		}
		f.entries = append(f.entries, r.AddEntry("entry-late"))
		awaitAgents()
		before := f.crashes.Load()
		if a := f.chat(1, crashingPrompt); a.Code != result.Quarantined || f.crashes.Load() != before {
			t.Errorf("answered %v, %d engines have crashed", a.Code, f.crashes.Load()-before)
		}
		return history.Rules{}
	})
}

// TestHoldReachesEntriesWithOtherAgents checks that agents relay crashes between entries: in a
// large fleet an entry is connected to few of all agents, and an agent to few of all entries.
func TestHoldReachesEntriesWithOtherAgents(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		r.MaxAgentsPerEntry = 4
		f := newCrashingFleet(r, 8, 16)
		for range 10 {
			f.chat(0, crashingPrompt)
			time.Sleep(500 * time.Millisecond)
		}
		before := f.crashes.Load()
		for n, e := range f.entries {
			if a := f.chat(n, crashingPrompt); a.Code != result.Quarantined {
				t.Errorf("%s answers %v", e.Name, a.Code)
			}
		}
		if n := f.crashes.Load() - before; n != 0 {
			t.Errorf("%d engines have crashed at entries with other agents", n)
		}
		f.fixed.Store(true)
		if !f.entries[0].ReleaseContent(f.entries[0].Dump().Contents[0].Content) {
			t.Error("the content was not held")
		}
		time.Sleep(time.Second)
		for n, e := range f.entries {
			if a := f.chat(n, crashingPrompt); a.Code != result.OK {
				t.Errorf("%s answers %v after the release", e.Name, a.Code)
			}
		}
		return history.Rules{}
	})
}

// TestReleasedPromptIsServed checks that all entries serve a prompt after an operator has released it
// and it no longer crashes engines.
func TestReleasedPromptIsServed(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		f := newCrashingFleet(r, 3, 8)
		for n := range 10 {
			f.chat(n, crashingPrompt)
			time.Sleep(500 * time.Millisecond)
		}
		f.fixed.Store(true)
		held := f.entries[1].Dump().Contents
		if len(held) != 1 || !f.entries[1].ReleaseContent(held[0].Content) || f.entries[1].ReleaseContent(held[0].Content) {
			t.Errorf("the prompt could not be released exactly once: %+v", held)
		}
		time.Sleep(time.Second)
		for n := range f.entries {
			if a := f.chat(n, crashingPrompt); a.Code != result.OK {
				t.Errorf("entry %d answers %v", n, a.Code)
			}
		}
		return history.Rules{}
	})
}

// TestPopularPromptIsServed breaks engines in turn while they run a popular prompt. The prompt succeeds
// at other engines in between, so it is never held.
func TestPopularPromptIsServed(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		engines := []*standin.Engine{newEngine(), newEngine(), newEngine(), newEngine()}
		for n, e := range engines {
			r.AddAgent(fmt.Sprint("agent-", n), "glaze-8b", e)
			e.OnStart = nil // these requests have no ids
		}
		f := &crashingFleet{Simulation: r, entries: []*simulation.Entry{r.AddEntry("a"), r.AddEntry("b")}}
		awaitAgents()
		for n := range 40 {
			e := engines[n%len(engines)]
			time.AfterFunc(50*time.Millisecond, func() { e.SetBroken(true) })
			time.AfterFunc(250*time.Millisecond, func() { e.SetBroken(false) })
			if a := f.chat(n, "the same for all"); a.Code == result.Quarantined {
				t.Errorf("request %d: a popular prompt is held", n)
			}
			time.Sleep(300 * time.Millisecond)
		}
		return history.Rules{}
	})
}
