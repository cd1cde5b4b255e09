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

// TestRollingRestart stops and restarts every agent and entry under load. No response is truncated and
// no leaving agent gets new work.
func TestRollingRestart(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		for n := range 3 {
			r.AddAgent(fmt.Sprint("hall-", n), "glaze-8b", newEngine(), newEngine())
			r.AddService(fmt.Sprint("app-", n), "bookings", &standin.Service{Latency: 20 * time.Millisecond})
		}
		for n := range 2 {
			r.AddEntry(fmt.Sprint("entry-", n))
		}
		awaitAgents()
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
			awaitAgents()
			if err := r.StopEntry(background, e); err != nil {
				t.Error(err)
			}
		}
		all.Wait()
		return history.Rules{LeaveGracePeriod: 3 * time.Second}
	})
}

// TestLeavingAgentGetsNoNewWork checks that an agent that leaves during long responses gets no new
// requests, whether it announces that itself or only the member list does.
func TestLeavingAgentGetsNoNewWork(t *testing.T) {
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
			runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
				leaving := r.AddAgent("hall-0", "glaze-8b", newEngine())
				r.AddAgent("hall-1", "glaze-8b", newEngine())
				e := r.AddEntry("e")
				awaitAgents()
				var all sync.WaitGroup
				for n := range 4 {
					all.Go(func() { r.Chat(background, e, chatRequest(fmt.Sprint("long-", n), 1000)) })
				}
				time.Sleep(time.Second)
				all.Go(func() { f(r, leaving) })
				all.Go(func() { r.Load(background, 1, 8*time.Second, ovenhuisLoad(0.1, 0.1, 0.1)) })
				all.Wait()
				return history.Rules{LeaveGracePeriod: within[name]}
			})
		})
	}
}
