package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

// perTokenMS is the prefill time per token of the simulated engines.
const perTokenMS = 0.021

// estimatedLongPrefill returns the expected time to the first event of a prompt of 12,000
// tokens at an idle engine.
func estimatedLongPrefill(t *testing.T, table *placement.Table, now time.Time) float64 {
	t.Helper()
	c, found := table.Choose(now, longRequest(9000, 9001), nothingExcluded, rand.New(rand.NewPCG(1, 2)))
	if !found {
		t.Fatal("no engine is chosen")
	}
	return c.FirstMS - c.WaitMS
}

// TestPrefillModelIgnoresOverlappingPrompts first has a prompt of another entry overlap each
// long prompt, so that both take twice as long, and then none. The estimated time per token
// must stay the same. If the model used all prompts, the estimate would be 548 ms instead of
// 260.
func TestPrefillModelIgnoresOverlappingPrompts(t *testing.T) {
	table := engineTable(8)
	now := origin
	number := uint64(0)
	place := func(overlapping bool) {
		for range 300 {
			number++
			engine := fmt.Sprint("e-", number%8)
			ownID := placement.AttemptID{Owner: self, Number: number}
			table.Place(now, ownID, engine, longRequest(2*number, 100_000+number), memory.Fetch{})
			prefillMS := 12_000 * perTokenMS
			if overlapping {
				prefillMS *= 2
				otherID := placement.AttemptID{Owner: other, Number: number}
				table.Place(now.Add(5*time.Millisecond), otherID, engine, longRequest(2*number+1, 200_000+number), memory.Fetch{})
				table.End(now.Add(time.Second), otherID, placement.Succeeded)
			}
			first := now.Add(time.Duration((8 + prefillMS) * float64(time.Millisecond)))
			table.FirstEvent(first, ownID)
			table.End(first.Add(time.Second), ownID, placement.Succeeded)
			now = now.Add(2 * time.Second)
		}
	}
	place(true)
	want := 8 + 12_000*perTokenMS
	// The slowdown still accounts for the late first events.
	if got := estimatedLongPrefill(t, table, now) / table.States(now)[0].Slowdown; math.Abs(got/want-1) > 0.1 {
		t.Errorf("the estimate at an engine of mean speed is %.0f ms, want %.0f", got, want)
	}
	place(false)
	if got := estimatedLongPrefill(t, table, now); math.Abs(got/want-1) > 0.1 {
		t.Errorf("the estimate after the burst is %.0f ms, want %.0f", got, want)
	}
}

// TestOverrunIsTrackedPerPriority has long prompts of a low priority take three times as long
// as expected, and short urgent ones as long as expected.
func TestOverrunIsTrackedPerPriority(t *testing.T) {
	table := engineTable(8)
	now := origin
	for number := range uint64(400) {
		engine := fmt.Sprint("e-", number%8)
		id := placement.AttemptID{Owner: other, Number: number}
		request, factor := longRequest(2*number, 100_000+number), 3.0
		if number%2 == 0 {
			request, factor = shortRequest(100_000+number), 1
			request.Prompt.Tokens = 6000
			request.Prompt.Parts[1].Tokens = 5900
		}
		c, _ := table.Choose(now, request, func(id string) bool { return id != engine }, rand.New(rand.NewPCG(1, 2)))
		table.Place(now, id, engine, request, memory.Fetch{})
		first := now.Add(time.Duration(factor * c.FirstMS * float64(time.Millisecond)))
		table.FirstEvent(first, id)
		table.End(first, id, placement.Succeeded)
		now = now.Add(5 * time.Second)
	}
	overrun := func(r placement.Request) float64 {
		c, _ := table.Choose(now, r, nothingExcluded, rand.New(rand.NewPCG(1, 2)))
		return c.Overrun
	}
	if long, urgent := overrun(longRequest(1, 2)), overrun(shortRequest(3)); long < 1.5 || urgent > 1.2 {
		t.Errorf("the overrun of long prompts is %.2f, want over 1.5; of urgent ones %.2f, want 1", long, urgent)
	}
}
