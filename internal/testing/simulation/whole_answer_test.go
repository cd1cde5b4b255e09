package simulation_test

import (
	"context"
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

// TestWholeAnswerAfterACrash kills an agent during its responses. The callers get complete responses, and
// no token is generated twice.
func TestWholeAnswerAfterACrash(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		engines := []*standin.Engine{newEngine(), newEngine()}
		agents := []*simulation.Agent{r.AddAgent("a", "glaze-8b", engines[0]), r.AddAgent("b", "glaze-8b", engines[1])}
		e := r.AddEntry("e")
		awaitAgents()
		var all sync.WaitGroup
		for n := range 8 {
			all.Go(func() {
				if a := r.Chat(background, e, chatRequest(fmt.Sprint(n), 100)); a.Code != result.OK {
					t.Errorf("request %d ended with %v", n, a.Code)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		r.Kill(agents[0])
		all.Wait()
		if made := engines[0].Tokens() + engines[1].Tokens(); made > 8*100+8 {
			t.Errorf("%d tokens were generated for 800", made)
		}
		return history.Rules{}
	})
}

// TestWholeAnswerAfterAStall freezes an engine during its response. The response continues at another
// engine.
func TestWholeAnswerAfterAStall(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		engines := []*standin.Engine{newEngine(), newEngine()}
		r.AddAgent("a", "glaze-8b", engines...)
		e := r.AddEntry("e")
		awaitAgents()
		var thaw func()
		time.AfterFunc(300*time.Millisecond, func() {
			for _, x := range engines {
				if x.Running() > 0 {
					thaw = x.Freeze()
				}
			}
		})
		if a := r.Chat(background, e, chatRequest("1", 100)); a.Code != result.OK || a.Total > 15*time.Second {
			t.Errorf("ended with %v after %v", a.Code, a.Total)
		}
		thaw()
		return history.Rules{}
	})
}

// TestCallerDisconnectStopsWork checks that the request of a caller that disconnects is stopped.
func TestCallerDisconnectStopsWork(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		engine := newEngine()
		r.AddAgent("hall", "glaze-8b", engine)
		e := r.AddEntry("e")
		awaitAgents()
		ctx, cancel := context.WithTimeout(background, 200*time.Millisecond)
		defer cancel()
		r.Chat(ctx, e, chatRequest("1", 1000))
		time.Sleep(100 * time.Millisecond)
		if n := engine.Running(); n != 0 {
			t.Errorf("%d requests still run", n)
		}
		return history.Rules{}
	})
}
