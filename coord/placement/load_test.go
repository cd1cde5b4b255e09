package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

// TestLoadCountsEnginesThatMakeRoom checks that an engine that takes no requests adds nothing to
// the capacity.
func TestLoadCountsEnginesThatMakeRoom(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := placement.Table{Group: eligibility.Group{Entries: 1, Visible: 1}}
	var list []placement.Endpoint
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		list = append(list, placement.Endpoint{ID: id, Service: "pool", Engine: true, Slots: 8, Leaving: id == "e"})
	}
	table.SetEndpoints(now, append(list, placement.Endpoint{ID: "no-engine", Service: "pool"}))
	table.ApplyBackoff(now, "b", 2*time.Second, rand.New(rand.NewPCG(1, 1)))
	table.ApplyLimit(now, "c", eligibility.LimitUpdate{PerSecond: 1, Sent: now, Received: now})
	if got := table.Load(now, "pool").Capacity; got != 2 {
		t.Errorf("capacity %v with one engine in backoff, one limited, one leaving, want 2", got)
	}
	if got := table.Load(now.Add(3*time.Second), "pool").Capacity; got != 3 {
		t.Errorf("capacity %v after the backoff, want 3", got)
	}
}

// TestLoadCountsRefusedPrompts checks that sent and refused prompts raise the demand, which decays.
func TestLoadCountsRefusedPrompts(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var table placement.Table
	table.SetEndpoints(now, []placement.Endpoint{{ID: "a", Service: "pool", Engine: true}})
	r := placement.Request{Service: "pool", Prompt: memory.Prompt{Tokens: 15_000}}
	table.RecordRefused(now, r)
	refused := table.Load(now, "pool")
	table.Place(now, placement.AttemptID{Owner: 1, Number: 1}, "a", r, memory.Fetch{})
	both := table.Load(now, "pool")
	if refused.Asked <= 0 || math.Abs(both.Asked-2*refused.Asked) > 1e-9 {
		t.Errorf("asked %v after a refusal, %v after a send like it", refused.Asked, both.Asked)
	}
	if refused.WaitingMS != 0 || both.WaitingMS <= 0 {
		t.Errorf("%v ms wait after a refusal, %v after a send", refused.WaitingMS, both.WaitingMS)
	}
	if later := table.Load(now.Add(5*time.Second), "pool"); later.Asked > both.Asked/20 {
		t.Errorf("asked %v after 5 s, %v before", later.Asked, both.Asked)
	}
}
