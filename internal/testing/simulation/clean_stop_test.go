package simulation_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	trees "foxcross.dev/foxcross/examples/settings"
	"foxcross.dev/foxcross/internal/testing/history"
	"foxcross.dev/foxcross/internal/testing/simulation"
	"foxcross.dev/foxcross/internal/testing/standin"
)

// Every agent and entry is stopped and started again under load: no answer is
// cut off and no leaving agent gets new work.
func TestRollingRestart(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		for n := range 3 {
			r.AddAgent(fmt.Sprint("hall-", n), "glaze-8b", card(), card())
			r.AddService(fmt.Sprint("app-", n), "bookings", &standin.Service{Takes: 20 * time.Millisecond})
		}
		for n := range 2 {
			r.AddEntry(fmt.Sprint("entry-", n))
		}
		ready()
		var all sync.WaitGroup
		all.Go(func() {
			for _, f := range r.Load(background, 1, 30*time.Second, ovenhuisLoad(0.3, 0.2, 0.1)) {
				if f.OK != f.Sent {
					t.Errorf("%s: %d of %d answered: %v", f.Class, f.OK, f.Sent, f.Codes)
				}
			}
		})
		for _, a := range r.Agents() {
			if err := r.Stop(background, a); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Second)
			r.Restart(a)
			time.Sleep(2 * time.Second) // entries dial again within a second and a half
		}
		for n, e := range r.Entries() {
			r.AddEntry(fmt.Sprint("entry-new-", n))
			ready()
			if err := r.StopEntry(background, e); err != nil {
				t.Error(err)
			}
		}
		all.Wait()
		return history.Rules{LeaveWithin: 3 * time.Second}
	})
}

// An agent that leaves while long answers run gets nothing new, whether it says
// so itself or only the list does.
func TestLeavingGetsNothingNew(t *testing.T) {
	leave := map[string]func(r *simulation.Simulation, a *simulation.Agent){
		"own frame": func(r *simulation.Simulation, a *simulation.Agent) {
			if err := r.Stop(background, a); err != nil {
				t.Error(err)
			}
		},
		"list only": func(r *simulation.Simulation, a *simulation.Agent) { r.MarkLeaving(a) },
	}
	within := map[string]time.Duration{"own frame": 100 * time.Millisecond, "list only": 3 * time.Second}
	for name, f := range leave {
		t.Run(name, func(t *testing.T) {
			deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
				leaving := r.AddAgent("hall-0", "glaze-8b", card())
				r.AddAgent("hall-1", "glaze-8b", card())
				e := r.AddEntry("e")
				ready()
				var all sync.WaitGroup
				for n := range 4 {
					all.Go(func() { r.Chat(background, e, glaze(fmt.Sprint("long-", n), 1000)) })
				}
				time.Sleep(time.Second)
				all.Go(func() { f(r, leaving) })
				all.Go(func() { r.Load(background, 1, 8*time.Second, ovenhuisLoad(0.1, 0.1, 0.1)) })
				all.Wait()
				return history.Rules{LeaveWithin: within[name]}
			})
		})
	}
}
