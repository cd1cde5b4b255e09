package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/admission"
	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

const (
	self  = uint64(1)
	other = uint64(2)
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engineTable returns a table of n engines.
func engineTable(n int) *placement.Table {
	t := &placement.Table{DataCentre: "zone-1", Self: self, ReuseWindow: 10 * time.Second}
	t.SetServices([]placement.Service{{Name: "pool", MemoryTokens: 500_000, EventTokens: 6, InterEventTarget: 150 * time.Millisecond}})
	t.SetEndpoints(origin, engines(n))
	return t
}

func engines(n int) []placement.Endpoint {
	var list []placement.Endpoint
	for i := range n {
		list = append(list, placement.Endpoint{
			ID: fmt.Sprintf("e-%d", i), Service: "pool", DataCentre: "zone-1", Slots: 48, Engine: true, Version: "v1",
		})
	}
	return list
}

// shortRequest returns a short request with a strict inter-event target.
func shortRequest(ownPart uint64) placement.Request {
	return placement.Request{
		Service: "pool", FirstEventTarget: 250 * time.Millisecond, InterEventTarget: 150 * time.Millisecond,
		Prompt: memory.Prompt{Tokens: 700, LikelyOutputTokens: 300, Parts: []memory.Part{{ID: 7, Tokens: 100}, {ID: ownPart, Tokens: 600}}},
	}
}

// longRequest returns a request with a long prompt.
func longRequest(sharedPart, ownPart uint64) placement.Request {
	return placement.Request{
		Service: "pool", FirstEventTarget: 2 * time.Second, InterEventTarget: 600 * time.Millisecond, Priority: 2,
		Prompt: memory.Prompt{Tokens: 12_000, LikelyOutputTokens: 380, Parts: []memory.Part{{ID: sharedPart, Tokens: 5_000}, {ID: ownPart, Tokens: 7_000}}},
	}
}

func excludeNone(string) bool { return false }

func mustChoose(t *placement.Table, now time.Time, r placement.Request) placement.Choice {
	c, ok := t.Choose(now, r, excludeNone, rand.New(rand.NewPCG(1, 2)))
	Expect(ok).To(BeTrue())
	return c
}

var _ = Describe("Choose", func() {
	It("returns false without endpoints or if all are excluded or leaving", func() {
		t := engineTable(0)
		_, ok := t.Choose(origin, shortRequest(1), excludeNone, rand.New(rand.NewPCG(1, 2)))
		Expect(ok).To(BeFalse())
		list := engines(2)
		list[0].Leaving = true
		t.SetEndpoints(origin, list)
		c := mustChoose(t, origin, shortRequest(1))
		Expect(c.Endpoint.ID).To(Equal("e-1"))
		_, ok = t.Choose(origin, shortRequest(1), func(id string) bool { return id == "e-1" }, rand.New(rand.NewPCG(1, 2)))
		Expect(ok).To(BeFalse())
	})

	It("sends a prompt to the engine that caches its shared part, whichever entry placed it", func() {
		t := engineTable(8)
		first := mustChoose(t, origin, longRequest(100, 1)).Endpoint.ID
		t.Place(origin, placement.AttemptID{Owner: other, Number: 1}, first, longRequest(100, 1), memory.Fetch{})
		t.FirstEvent(origin.Add(300*time.Millisecond), placement.AttemptID{Owner: other, Number: 1})
		c := mustChoose(t, origin.Add(time.Second), longRequest(100, 2))
		Expect(c.Endpoint.ID).To(Equal(first))
		Expect(c.PrefillTokens).To(Equal(7_000))
		Expect(c.RecomputedTokens).To(BeZero())
	})

	It("sends a shared part to the same endpoint after all state is lost", func() {
		homes := map[string]bool{}
		for sharedPart := uint64(100); sharedPart < 140; sharedPart++ {
			before := mustChoose(engineTable(8), origin, longRequest(sharedPart, 1)).Endpoint.ID
			after := mustChoose(engineTable(8), origin, longRequest(sharedPart, 2)).Endpoint.ID
			Expect(after).To(Equal(before))
			homes[before] = true
		}
		Expect(len(homes)).To(BeNumerically(">", 4), "shared parts are spread")
	})

	It("prefers a short wait to recomputing a shared part", func() {
		t := engineTable(2)
		first := mustChoose(t, origin, longRequest(100, 1)).Endpoint.ID
		t.Place(origin, placement.AttemptID{Owner: other, Number: 1}, first, longRequest(100, 1), memory.Fetch{})
		c := mustChoose(t, origin.Add(10*time.Millisecond), longRequest(100, 3))
		Expect(c.WaitMS).To(BeNumerically(">", 100))
		Expect(c.Endpoint.ID).To(Equal(first))
	})

	It("keeps a long prompt away from streams whose inter-event targets it would break", func() {
		t := engineTable(2)
		for n := range 4 {
			id := placement.AttemptID{Owner: other, Number: uint64(n + 1)}
			t.Place(origin, id, "e-0", shortRequest(uint64(n+10)), memory.Fetch{})
			t.FirstEvent(origin.Add(40*time.Millisecond), id)
		}
		Expect(mustChoose(t, origin.Add(50*time.Millisecond), longRequest(100, 1)).Endpoint.ID).To(Equal("e-1"))
	})

	It("keeps a short request away from engines that get long prompts", func() {
		t := engineTable(2)
		for n := range 4 {
			id := placement.AttemptID{Owner: other, Number: uint64(n + 1)}
			t.Place(origin, id, "e-0", longRequest(uint64(n+10), uint64(n+50)), memory.Fetch{})
		}
		Expect(mustChoose(t, origin.Add(50*time.Millisecond), shortRequest(1)).Endpoint.ID).To(Equal("e-1"))
	})

	It("has urgent prompts wait only for those of the same priority", func() {
		t := engineTable(1)
		t.Place(origin, placement.AttemptID{Owner: other, Number: 1}, "e-0", longRequest(1, 2), memory.Fetch{})
		Expect(mustChoose(t, origin, shortRequest(1)).WaitMS).To(BeZero())
		Expect(mustChoose(t, origin, longRequest(3, 4)).WaitMS).To(BeNumerically(">", 100))
	})

	It("avoids an unreachable endpoint and retries it later", func() {
		t := engineTable(2)
		id := placement.AttemptID{Owner: self, Number: 1}
		t.Place(origin, id, "e-0", shortRequest(1), memory.Fetch{})
		t.End(origin, id, placement.Unreachable)
		for n := range 5 {
			Expect(mustChoose(t, origin.Add(time.Duration(n)*50*time.Millisecond), shortRequest(uint64(n))).Endpoint.ID).To(Equal("e-1"))
		}
		for n := range 400 {
			id := placement.AttemptID{Owner: other, Number: uint64(n + 10)}
			t.Place(origin, id, "e-1", shortRequest(uint64(n+10)), memory.Fetch{})
		}
		Expect(mustChoose(t, origin.Add(time.Minute), shortRequest(1)).Endpoint.ID).To(Equal("e-0"))
	})

	It("avoids an endpoint that sends no events", func() {
		t := engineTable(2)
		t.Place(origin, placement.AttemptID{Owner: other, Number: 1}, "e-0", shortRequest(1), memory.Fetch{})
		c := mustChoose(t, origin.Add(time.Second), shortRequest(1)) // its shared part is cached at e-0
		Expect(c.Endpoint.ID).To(Equal("e-1"))
	})

	It("removes the attempts of an entry that is gone", func() {
		t := engineTable(1)
		t.Place(origin, placement.AttemptID{Owner: other, Number: 1}, "e-0", longRequest(1, 2), memory.Fetch{})
		Expect(mustChoose(t, origin, longRequest(3, 4)).WaitMS).To(BeNumerically(">", 100))
		t.DropOwner(origin, other)
		Expect(mustChoose(t, origin, longRequest(3, 4)).WaitMS).To(BeZero())
	})

	It("removes an attempt of another entry after its deadline if its end was not announced", func() {
		t := engineTable(2)
		request := longRequest(1, 2)
		request.TimeLeft = 5 * time.Second
		t.Place(origin, placement.AttemptID{Owner: other, Number: 1}, "e-0", request, memory.Fetch{}) // no event of it is announced
		t.Place(origin, placement.AttemptID{Owner: self, Number: 1}, "e-1", request, memory.Fetch{})
		t.Expire(origin.Add(5 * time.Second))
		Expect(t.Open()).To(Equal(2))
		t.Expire(origin.Add(7 * time.Second))
		Expect(t.Open()).To(Equal(1), "attempts of this entry do not expire")
		c, ok := t.Choose(origin.Add(8*time.Second), longRequest(1, 3), func(id string) bool { return id == "e-1" }, rand.New(rand.NewPCG(1, 2)))
		Expect(ok).To(BeTrue())
		Expect(c.WaitMS).To(BeZero())
		Expect(c.Terms.Unreliability).To(BeZero(), "no attempt is overdue")
	})

	It("bounds the open attempts and the recorded shared parts", func() {
		t := engineTable(1)
		for n := range 70_000 {
			t.Place(origin, placement.AttemptID{Owner: other, Number: uint64(n + 1)}, "e-0", longRequest(uint64(n+1000), 1), memory.Fetch{})
		}
		Expect(t.Open()).To(Equal(1 << 16))
		t.DropOwner(origin, other)
		for n := range 70_000 {
			id := placement.AttemptID{Owner: self, Number: uint64(n + 1)}
			t.Place(origin, id, "e-0", longRequest(uint64(n+100_000), 1), memory.Fetch{})
			t.End(origin, id, placement.Succeeded)
		}
		Expect(t.Shared()).To(Equal(1 << 16))
	})

	It("estimates the speed of a service and the slowdown of an endpoint", func() {
		t := engineTable(2)
		now := origin
		number := uint64(0)
		for range 150 {
			for _, e := range []struct {
				id   string
				slow float64
			}{{"e-0", 1}, {"e-1", 3}} {
				number++
				id := placement.AttemptID{Owner: self, Number: number}
				request := longRequest(number, number+1_000_000)
				request.Prompt.Tokens = 2_000 + int(number%7)*1_500
				t.Place(now, id, e.id, request, memory.Fetch{})
				ms := e.slow * (5 + 0.016*float64(request.Prompt.Tokens))
				t.FirstEvent(now.Add(time.Duration(ms*float64(time.Millisecond))), id)
				now = now.Add(2 * time.Second)
				t.End(now, id, placement.Succeeded)
			}
		}
		request := longRequest(900, 901)
		fast, _ := t.Choose(now, request, func(id string) bool { return id != "e-0" }, rand.New(rand.NewPCG(1, 2)))
		slow, _ := t.Choose(now, request, func(id string) bool { return id != "e-1" }, rand.New(rand.NewPCG(1, 2)))
		Expect(slow.FirstMS / fast.FirstMS).To(BeNumerically("~", 3, 0.6))
	})

	It("sends an endpoint at most MaxRequests open requests", func() {
		t := engineTable(1)
		t.SetServices([]placement.Service{{Name: "pool", MaxRequests: 3}})
		for n := range 3 {
			mustChoose(t, origin, shortRequest(1))
			t.Place(origin, placement.AttemptID{Owner: other, Number: uint64(n + 1)}, "e-0", shortRequest(1), memory.Fetch{})
		}
		_, ok := t.Choose(origin, shortRequest(1), excludeNone, rand.New(rand.NewPCG(1, 2)))
		Expect(ok).To(BeFalse())
		t.End(origin, placement.AttemptID{Owner: other, Number: 1}, placement.Succeeded)
		mustChoose(t, origin, shortRequest(1))
	})

	It("rejects long prompts sooner if most slots are busy", func() {
		t := engineTable(1)
		for n := range 30 {
			id := placement.AttemptID{Owner: other, Number: uint64(n + 1)}
			t.Place(origin, id, "e-0", shortRequest(uint64(n+10)), memory.Fetch{})
			t.FirstEvent(origin, id)
		}
		request := longRequest(1, 2)
		c := mustChoose(t, origin.Add(time.Second), request)
		Expect(c.BusyShare).To(BeNumerically(">", 0.5))
		retry, ok := admit(c, request, 15*time.Second)
		Expect(ok).To(BeFalse())
		Expect(retry).To(BeNumerically(">", 0))
	})

	It("spreads requests over endpoints without a model", func() {
		t := &placement.Table{Self: self}
		t.SetEndpoints(origin, []placement.Endpoint{{ID: "a", Service: "s", Slots: 2}, {ID: "b", Service: "s", Slots: 2}})
		counts := map[string]int{}
		for n := range 4 {
			c := mustChoose(t, origin, placement.Request{Service: "s", FirstEventTarget: time.Second})
			counts[c.Endpoint.ID]++
			t.Place(origin, placement.AttemptID{Owner: self, Number: uint64(n + 1)}, c.Endpoint.ID, placement.Request{Service: "s"}, memory.Fetch{})
		}
		Expect(counts).To(Equal(map[string]int{"a": 2, "b": 2}))
	})
})

// admit returns the decision of package admission, with the delay before a retry of a refused
// request.
func admit(c placement.Choice, r placement.Request, left time.Duration) (retryAfter time.Duration, ok bool) {
	refused, isRefused := admission.Decide(admission.Input{Choice: c, Request: r, Left: left}).(admission.Refuse)
	return refused.RetryAfter, !isRefused
}

var _ = Describe("admission", func() {
	It("rejects a long prompt that would miss its target, with a delay before a retry", func() {
		t := engineTable(1)
		for n := range 30 {
			t.Place(origin, placement.AttemptID{Owner: other, Number: uint64(n + 1)}, "e-0", longRequest(uint64(n+10), uint64(n+100)), memory.Fetch{})
		}
		request := longRequest(1, 2)
		c := mustChoose(t, origin, request)
		retry, ok := admit(c, request, 15*time.Second)
		Expect(ok).To(BeFalse())
		Expect(retry).To(BeNumerically(">", 0))
		Expect(retry).To(BeNumerically("<=", 15*time.Second/3), "callers wait for at most a third of their remaining time")
	})

	It("admits short requests and those with a short wait", func() {
		t := engineTable(1)
		request := longRequest(1, 2)
		_, ok := admit(mustChoose(t, origin, request), request, 15*time.Second)
		Expect(ok).To(BeTrue())
		for n := range 30 {
			t.Place(origin, placement.AttemptID{Owner: other, Number: uint64(n + 1)}, "e-0", longRequest(uint64(n+10), uint64(n+100)), memory.Fetch{})
		}
		s := shortRequest(1)
		s.Priority = 9
		_, ok = admit(mustChoose(t, origin, s), s, 15*time.Second)
		Expect(ok).To(BeTrue())
	})
})

// TestTableRemovesEndedAttempts applies random sequences of events. No attempt may be left once
// all requests have ended, and no unlisted endpoint may be chosen.
func TestTableRemovesEndedAttempts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		table := &placement.Table{DataCentre: "zone-1", Self: self, ReuseWindow: time.Second}
		table.SetServices([]placement.Service{{Name: "pool", MemoryTokens: 50_000, EventTokens: 6, InterEventTarget: 150 * time.Millisecond}})
		listed := rapid.IntRange(0, 6).Draw(r, "endpoints")
		table.SetEndpoints(origin, engines(listed))
		random := rand.New(rand.NewPCG(3, 4))
		now := origin
		var open []placement.AttemptID
		number := uint64(0)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0, 1:
				request := shortRequest(rapid.Uint64Range(1, 9).Draw(r, "own part"))
				if rapid.Bool().Draw(r, "long") {
					request = longRequest(rapid.Uint64Range(1, 9).Draw(r, "shared part"), 77)
				}
				c, ok := table.Choose(now, request, excludeNone, random)
				if ok != (listed > 0) {
					r.Fatalf("found %v with %d endpoints", ok, listed)
				}
				if !ok {
					continue
				}
				if !table.Listed(c.Endpoint.ID) || c.FirstMS < 0 || c.PrefillTokens < 0 {
					r.Fatalf("chose %+v", c)
				}
				number++
				id := placement.AttemptID{Owner: 1 + number%2, Number: number}
				table.Place(now, id, c.Endpoint.ID, request, memory.Fetch{})
				open = append(open, id)
			case 2:
				if len(open) > 0 {
					table.FirstEvent(now, open[rapid.IntRange(0, len(open)-1).Draw(r, "first event")])
				}
			case 3:
				if len(open) > 0 {
					n := rapid.IntRange(0, len(open)-1).Draw(r, "end")
					table.End(now, open[n], placement.Outcome(rapid.IntRange(0, 5).Draw(r, "outcome")))
					open = append(open[:n], open[n+1:]...)
				}
			case 4:
				listed = rapid.IntRange(0, 6).Draw(r, "endpoints")
				table.SetEndpoints(origin, engines(listed))
			}
		}
		for _, id := range open {
			table.End(now, id, placement.Succeeded)
		}
		if n := table.Open(); n != 0 {
			r.Fatalf("%d attempts are left", n)
		}
	})
}
