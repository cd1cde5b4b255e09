package simulation_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	trees "foxcross.dev/foxcross/examples/settings"
	"foxcross.dev/foxcross/internal/testing/history"
	"foxcross.dev/foxcross/internal/testing/simulation"
	"foxcross.dev/foxcross/internal/testing/standin"

	"foxcross.dev/coord/result"
)

// TestMemberListFails checks that the fleet continues to serve if the member list is empty or does not
// answer.
func TestMemberListFails(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		r.AddAgent("hall", "glaze-8b", newEngine())
		e := r.AddEntry("e")
		awaitAgents()
		for n, f := range []standin.Faults{{ListEmpty: true}, {ListDown: true}} {
			r.Store.SetFaults(f)
			time.Sleep(5 * time.Minute)
			if a := r.Chat(background, e, chatRequest(fmt.Sprint(n), 10)); a.Code != result.OK {
				t.Errorf("%+v: %v", f, a.Code)
			}
		}
		return history.Rules{}
	})
}

// TestNoRetryStorm kills a quarter of the agents at once. Their requests continue at other agents
// without multiplying.
func TestNoRetryStorm(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		var agents []*simulation.Agent
		for n := range 8 {
			agents = append(agents, r.AddAgent(fmt.Sprint("hall-", n), "glaze-8b", newEngine()))
		}
		r.AddEntry("e0")
		r.AddEntry("e1")
		awaitAgents()
		go func() {
			time.Sleep(5 * time.Second)
			r.Kill(agents[0])
			r.Kill(agents[1])
		}()
		results := r.Load(background, 1, 15*time.Second, ovenhuisLoad(0.5, 0.3, 0.2))
		sent, executed := 0, 0
		for _, f := range results {
			sent += f.Sent
			if f.OK != f.Sent {
				t.Errorf("%s: %d of %d answered: %v", f.Class, f.OK, f.Sent, f.Codes)
			}
		}
		for _, e := range r.Recorder.Events() {
			if _, ok := e.(history.Executed); ok {
				executed++
			}
		}
		if executed > sent*11/10 {
			t.Errorf("%d executions of %d requests", executed, sent)
		}
		return history.Rules{}
	})
}

// TestDataCentreLost kills the entry, the engines and the services of a data centre at once. Callers of
// other entries get complete responses, nothing runs twice, and only callers of the lost entry get no
// answer.
func TestDataCentreLost(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		for n := range 3 {
			r.AddAgent(fmt.Sprint("hall-", n), "glaze-8b", newEngine(), newEngine())
			r.AddService(fmt.Sprint("app-", n), "bookings", &standin.Service{Latency: 50 * time.Millisecond})
			r.AddEntry(fmt.Sprint("entry-", n))
		}
		awaitAgents()
		lost := r.Entries()[0]
		surviving := r.Entries()[1:]
		var all sync.WaitGroup
		for n := range 120 {
			time.Sleep(30 * time.Millisecond)
			if n == 60 {
				for _, a := range r.Agents() {
					if a.Name == "hall-0" || a.Name == "app-0" {
						r.Kill(a)
					}
				}
				r.KillEntry(lost)
			}
			e := surviving[n%2]
			if n < 60 && n%3 == 0 {
				e = lost
			}
			all.Go(func() {
				a := r.Chat(background, e, chatRequest(fmt.Sprint("chat-", n), 100))
				if e != lost && a.Code != result.OK {
					t.Errorf("chat %d through %s: %v", n, e.Name, a.Code)
				}
			})
			all.Go(func() {
				a := r.Call(background, surviving[n%2], bookingRequest(fmt.Sprint("book-", n)), http.MethodPost, "/confirmations")
				if a.Code != result.OK && a.Code != result.EndpointLost {
					t.Errorf("booking %d: %v", n, a.Code)
				}
			})
		}
		all.Wait()
		return history.Rules{}
	})
}
