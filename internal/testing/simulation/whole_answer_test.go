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

// An agent that dies mid-answer: the caller gets the whole answer all the same,
// and no token is made twice.
func TestWholeAnswerAfterACrash(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		engines := []*standin.Engine{card(), card()}
		agents := []*simulation.Agent{r.AddAgent("a", "glaze-8b", engines[0]), r.AddAgent("b", "glaze-8b", engines[1])}
		e := r.AddEntry("e")
		ready()
		var all sync.WaitGroup
		for n := range 8 {
			all.Go(func() {
				if a := r.Chat(background, e, glaze(fmt.Sprint(n), 100)); a.Code != result.OK {
					t.Errorf("request %d ended with %v", n, a.Code)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		r.Kill(agents[0])
		all.Wait()
		if made := engines[0].Tokens() + engines[1].Tokens(); made > 8*100+8 {
			t.Errorf("%d tokens were made for 800", made)
		}
		return history.Rules{}
	})
}

// An engine that stands still mid-answer: the answer goes on elsewhere.
func TestWholeAnswerAfterAStall(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		engines := []*standin.Engine{card(), card()}
		r.AddAgent("a", "glaze-8b", engines...)
		e := r.AddEntry("e")
		ready()
		var thaw func()
		time.AfterFunc(300*time.Millisecond, func() {
			for _, x := range engines {
				if x.Running() > 0 {
					thaw = x.Freeze()
				}
			}
		})
		if a := r.Chat(background, e, glaze("1", 100)); a.Code != result.OK || a.Whole > 15*time.Second {
			t.Errorf("ended with %v after %v", a.Code, a.Whole)
		}
		thaw()
		return history.Rules{}
	})
}

// A caller that hangs up stops its work.
func TestHangupStopsTheWork(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		engine := card()
		r.AddAgent("hall", "glaze-8b", engine)
		e := r.AddEntry("e")
		ready()
		ctx, cancel := context.WithTimeout(background, 200*time.Millisecond)
		defer cancel()
		r.Chat(ctx, e, glaze("1", 1000))
		time.Sleep(100 * time.Millisecond)
		if n := engine.Running(); n != 0 {
			t.Errorf("%d requests still run", n)
		}
		return history.Rules{}
	})
}
