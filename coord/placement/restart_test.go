package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

// TestRestartedEndpointHasNoState restarts an engine under the same id. The state of the
// previous incarnation must be dropped, and late events for it must have no effect.
func TestRestartedEndpointHasNoState(t *testing.T) {
	now := origin
	table := engineTable(0)
	list := func(startedMS int64) []placement.Endpoint {
		return []placement.Endpoint{{ID: "e-0", Service: "pool", DataCentre: "zone-1", Slots: 48, Engine: true, Version: "v1", StartedMS: startedMS}}
	}
	before, after := list(1)[0].Incarnation(), list(2)[0].Incarnation()
	random := rand.New(rand.NewPCG(1, 2))
	table.SetEndpoints(now, list(1))
	first, last := placement.AttemptID{Owner: self, Number: 1}, placement.AttemptID{Owner: other, Number: 2}
	table.Place(now, first, before, longRequest(70, 71), memory.Fetch{})
	table.FirstEvent(now.Add(3*time.Second), first) // far slower than expected
	table.End(now.Add(3*time.Second), first, placement.Broken)
	table.Place(now.Add(3*time.Second), last, before, longRequest(70, 72), memory.Fetch{})
	snapshot := table.Snapshot(now.Add(3 * time.Second))

	expectNoState := func(table *placement.Table, what string) {
		t.Helper()
		c, found := table.Choose(now.Add(4*time.Second), longRequest(70, 73), nothingExcluded, random)
		state := table.States(now.Add(4 * time.Second))[0]
		if !found || c.PrefillTokens != 12_000 || c.WaitMS != 0 || c.Slowdown != 1 || state.Requests != 0 || state.Failures != 0 {
			t.Errorf("%s: %d tokens to compute, a wait of %v ms, slowdown %v, %+v", what, c.PrefillTokens, c.WaitMS, c.Slowdown, state)
		}
	}
	table.SetEndpoints(now, list(2))
	expectNoState(table, "after the restart")
	table.Place(now.Add(4*time.Second), placement.AttemptID{Owner: other, Number: 3}, before, longRequest(70, 74), memory.Fetch{})
	table.FirstEvent(now.Add(4*time.Second), last)
	table.End(now.Add(4*time.Second), last, placement.Broken)
	table.AddCached(now.Add(4*time.Second), before, []memory.Part{{ID: 70, Tokens: 5000}})
	expectNoState(table, "after late events of the previous incarnation")

	restored := engineTable(0)
	restored.Restoring = true
	restored.SetEndpoints(now, list(2))
	restored.Restore(now.Add(4*time.Second), snapshot)
	expectNoState(restored, "after a snapshot with the previous incarnation")

	table.AddCached(now.Add(4*time.Second), after, []memory.Part{{ID: 70, Tokens: 5000}})
	if c, _ := table.Choose(now.Add(4*time.Second), longRequest(70, 75), nothingExcluded, random); c.PrefillTokens != 7_000 {
		t.Errorf("%d tokens to compute where the new incarnation caches 5,000 of 12,000", c.PrefillTokens)
	}
}

func nothingExcluded(string) bool { return false }
