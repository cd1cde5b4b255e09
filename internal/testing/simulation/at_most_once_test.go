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

// TestBookingRunsAtMostOnce checks that a booking runs at most once, and that its response is true,
// if its agent is paused around the start or killed after it.
func TestBookingRunsAtMostOnce(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		services := []*simulation.Agent{
			r.AddService("app-0", "bookings", &standin.Service{Latency: 100 * time.Millisecond}),
			r.AddService("app-1", "bookings", &standin.Service{Latency: 100 * time.Millisecond}),
		}
		e := r.AddEntry("e")
		awaitAgents()
		var all sync.WaitGroup
		unknown := 0
		var mu sync.Mutex
		for n := range 200 {
			all.Go(func() {
				time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				a := r.Call(background, e, bookingRequest(fmt.Sprint("b", n)), http.MethodPost, "/confirmations")
				mu.Lock()
				defer mu.Unlock()
				if a.Code != result.OK {
					unknown++
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		go r.Network.Freeze("app-0", 10*time.Second)
		time.Sleep(time.Second)
		r.Kill(services[1])
		time.Sleep(time.Second)
		r.Restart(services[1])
		all.Wait()
		if unknown == 0 {
			t.Error("no booking was affected by a fault")
		}
		return history.Rules{}
	})
}

// TestIdempotencyKeyRunsOnce sends two copies of a booking with one key through two entries while the
// key-value service loses responses. One copy runs, the other is refused as a duplicate.
func TestIdempotencyKeyRunsOnce(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		r.AddService("app", "bookings", &standin.Service{})
		entries := []*simulation.Entry{r.AddEntry("e0"), r.AddEntry("e1")}
		awaitAgents()
		for n := range 30 {
			r.Store.SetFaults(standin.Faults{LoseSwaps: n % 3})
			q := bookingRequest(fmt.Sprint("k", n))
			q.Key = q.ID
			q.Copies = 2
			codes := map[result.Code]int{}
			var mu sync.Mutex
			var both sync.WaitGroup
			for _, e := range entries {
				both.Go(func() {
					a := r.Call(background, e, q, http.MethodPost, "/confirmations")
					mu.Lock()
					defer mu.Unlock()
					codes[a.Code]++
				})
			}
			both.Wait()
			if codes[result.OK] != 1 || codes[result.DuplicateKey] != 1 {
				t.Errorf("key %d: %v", n, codes)
			}
		}
		return history.Rules{}
	})
}

// TestServiceOutageAffectsOnlyKeyedBookings checks that with the key-value service down bookings with
// a key are refused as not run and all other requests are served.
func TestServiceOutageAffectsOnlyKeyedBookings(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		r.AddAgent("hall", "glaze-8b", newEngine())
		r.AddService("app", "bookings", &standin.Service{})
		e := r.AddEntry("e")
		awaitAgents()
		r.Store.SetFaults(standin.Faults{Down: true})
		keyed := bookingRequest("keyed")
		keyed.Key = "k"
		a := r.Call(background, e, keyed, http.MethodPost, "/confirmations")
		if a.Code != result.ClaimUnavailable || a.Run != result.NotRun {
			t.Errorf("with a key: %v, %v", a.Code, a.Run)
		}
		if a := r.Call(background, e, bookingRequest("plain"), http.MethodPost, "/confirmations"); a.Code != result.OK {
			t.Errorf("without a key: %v", a.Code)
		}
		if a := r.Chat(background, e, chatRequest("chat", 10)); a.Code != result.OK {
			t.Errorf("chat: %v", a.Code)
		}
		r.Store.SetFaults(standin.Faults{})
		time.Sleep(time.Second)
		again := bookingRequest("again")
		again.Key = "k"
		if a := r.Call(background, e, again, http.MethodPost, "/confirmations"); a.Code != result.OK {
			t.Errorf("the key of a booking that was not run: %v", a.Code)
		}
		return history.Rules{}
	})
}
