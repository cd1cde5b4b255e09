package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

// BenchmarkDecision measures the work of an entry for one request: choose, place, first event,
// end. Each of the given number of engines has ten running requests. On a shared machine it
// takes 23 to 38 µs at 160 engines, 24 to 29 at 400, 39 to 50 at 1,600, and 210 to 270 at 200
// if all engines are considered. With the logarithms of the slowdowns stored it takes 68 µs at
// 1,600, against 105 without (medians of 7 pairs on a shared machine).
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{48, 160, 400, 1600} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) { benchmarkDecision(b, engines, 0, memory.Rate{}) })
	}
}

// BenchmarkDecisionWithFetches is the same with engines that fetch from each other. On a shared
// machine it takes 0.21 to 0.34 ms and 7 allocations, against 0.21 to 0.27 ms and 5 without
// fetches. Most of the time is spent on the estimates for each of the 200 engines.
func BenchmarkDecisionWithFetches(b *testing.B) {
	benchmarkDecision(b, 200, 0, memory.Rate{TokenBytes: 163_840, LinkMbps: 260_000})
}

// BenchmarkDecisionWithLimits is the same with the given number of 1,600 engines that advertise
// a limit of 2 requests per second to 620 entries. Medians of 5 on a shared machine: 74 µs
// without limits, 73 with 160, 83 without support for limits.
func BenchmarkDecisionWithLimits(b *testing.B) {
	for _, limited := range []int{0, 160} {
		b.Run(fmt.Sprint(limited, " limited"), func(b *testing.B) { benchmarkDecision(b, 1600, limited, memory.Rate{}) })
	}
}

// BenchmarkChooseReplica measures the choice of the engine that holds a copy, which adds to
// BenchmarkDecision, at engines with ten running requests each.
func BenchmarkChooseReplica(b *testing.B) {
	for _, engines := range []int{160, 1600} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			var t placement.Table
			t.SetServices([]placement.Service{{Name: "pool", MemoryTokens: 500_000}})
			list := make([]placement.Endpoint, engines)
			for n := range list {
				list[n] = placement.Endpoint{ID: fmt.Sprint("i-", n), Service: "pool", Slots: 48, Engine: true, Version: "v1"}
			}
			t.SetEndpoints(now, list)
			r := placement.Request{Service: "pool", Prompt: memory.Prompt{Tokens: 600, MaxOutputTokens: 300}}
			for n := range 10 * engines {
				t.Place(now, placement.AttemptID{Owner: 1, Number: uint64(n)}, list[n%engines].ID, r, memory.Fetch{})
			}
			random := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if _, ok := t.ChooseReplica(now, r, list[n%engines].ID, random); !ok {
					b.Fatal("no engine")
				}
			}
		})
	}
}

// BenchmarkDecisionWithEngineSpeeds is the same with engines whose speeds are learned.
func BenchmarkDecisionWithEngineSpeeds(b *testing.B) {
	learn := func(s *placement.Service) { s.EngineSpeeds = true }
	for _, engines := range []int{48, 160, 1600} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) { benchmarkDecision(b, engines, 0, memory.Rate{}, learn) })
	}
}

// benchmarkDecision measures decisions at engines that transfer memory at the rate. The first
// limited endpoints advertise a limit.
func benchmarkDecision(b *testing.B, endpoints, limited int, rate memory.Rate, options ...func(*placement.Service)) {
	running := 10 * endpoints
	now := time.Unix(1_000_000, 0)
	var t placement.Table
	t.Self = 1
	t.ReuseWindow = 10 * time.Second
	service := placement.Service{
		Name: "pool", MemoryTokens: 500_000, EventTokens: 6, InterEventTarget: 150 * time.Millisecond, TransferRate: rate,
	}
	for _, set := range options {
		set(&service)
	}
	t.SetServices([]placement.Service{service})
	list := make([]placement.Endpoint, endpoints)
	for n := range list {
		list[n] = placement.Endpoint{ID: fmt.Sprint("i-", n), Service: "pool", Slots: 48, Engine: true, Version: "v1"}
	}
	t.SetEndpoints(now, list)
	t.Group = eligibility.Group{Self: 1, Entries: 620, Visible: 620}
	for _, e := range list[:limited] {
		t.ApplyLimit(now, e.ID, eligibility.LimitUpdate{PerSecond: 2, Sent: now, Received: now})
	}
	random := rand.New(rand.NewPCG(1, 2))
	request := func(n int) placement.Request {
		tokens := 600
		if n%4 == 0 {
			tokens = 6000
		}
		return placement.Request{
			Service: "pool", FirstEventTarget: 250 * time.Millisecond, InterEventTarget: 150 * time.Millisecond, Priority: n % 3,
			Prompt: memory.Prompt{Tokens: tokens, MaxOutputTokens: 300, Parts: []memory.Part{{ID: uint64(n % 50), Tokens: 200}, {ID: uint64(1000 + n), Tokens: tokens - 200}}},
		}
	}
	place := func(n int) {
		now = now.Add(time.Millisecond)
		c, ok := t.Choose(now, request(n), func(string) bool { return false }, random)
		if !ok {
			b.Fatal("no endpoint")
		}
		id := placement.AttemptID{Owner: 1, Number: uint64(n)}
		t.Place(now, id, c.Endpoint.ID, request(n), c.Fetch)
		t.FirstEvent(now.Add(20*time.Millisecond), id)
	}
	for n := range running {
		place(n)
	}
	b.ReportAllocs()
	for n := running; b.Loop(); n++ {
		place(n)
		t.End(now, placement.AttemptID{Owner: 1, Number: uint64(n - running)}, placement.Succeeded)
	}
}
