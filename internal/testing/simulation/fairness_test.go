package simulation_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	trees "foxcross.dev/foxcross/examples/settings"
	"foxcross.dev/foxcross/internal/testing/history"
	"foxcross.dev/foxcross/internal/testing/simulation"
	"foxcross.dev/foxcross/internal/testing/standin"

	"foxcross.dev/coord/result"
)

// TestDonorTagsDoNotStarve checks that donor tags start within twice their bound although chat
// exceeds the capacity of the engines for minutes.
func TestDonorTagsDoNotStarve(t *testing.T) {
	tree := bytes.Replace(trees.Alumni, []byte(`"starve_after_ms": 120000`), []byte(`"starve_after_ms": 10000`), 1)
	runSimulation(t, tree, func(r *simulation.Simulation) history.Rules {
		r.AddAgent("zona-4", "memoria-7b", &standin.Engine{Card: standin.Card{Step: 25 * time.Millisecond}})
		e := r.AddEntry("e")
		awaitAgents()
		var all sync.WaitGroup
		all.Go(func() {
			r.Load(background, 1, 2*time.Minute, []simulation.ClassLoad{
				{Class: "member-chat", Teams: []string{"members"}, Rate: 14, Prompt: 200, Tokens: 60},
			})
		})
		time.Sleep(10 * time.Second)
		for n := range 6 {
			all.Go(func() {
				q := simulation.Request{ID: fmt.Sprint("tag-", n), Class: "donor-tag", Team: "nightly", PromptBytes: 200, Tokens: 30}
				if a := r.Chat(background, e, q); a.Code != result.OK {
					t.Errorf("tag %d: %v", n, a.Code)
				}
			})
			time.Sleep(15 * time.Second)
		}
		all.Wait()
		return history.Rules{StartWithin: map[string]time.Duration{"donor-tag": 21 * time.Second}}
	})
}

// TestTeamLimitAcrossEntries checks that two entries share the limits of a team.
func TestTeamLimitAcrossEntries(t *testing.T) {
	runSimulation(t, trees.Alumni, func(r *simulation.Simulation) history.Rules {
		r.AddAgent("zona-4", "memoria-7b", newEngine(), newEngine())
		r.AddEntry("e0")
		r.AddEntry("e1")
		awaitAgents()
		f := r.Load(background, 1, 20*time.Second, []simulation.ClassLoad{
			{Class: "member-chat", Teams: []string{"board"}, Rate: 60, Prompt: 100, Tokens: 5},
		})[0]
		if want := 20 * 20; f.OK < want*9/10 || f.OK > want*11/10+20 {
			t.Errorf("%d requests were served, the limit is about %d", f.OK, want)
		}
		if f.Codes[result.TeamLimit] != f.Sent-f.OK {
			t.Errorf("codes: %v", f.Codes)
		}
		return history.Rules{}
	})
}
