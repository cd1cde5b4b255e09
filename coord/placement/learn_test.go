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

// perTokenMS is what a token takes at the engines of these tests.
const perTokenMS = 0.021

// longEstimate returns what a prompt of 12,000 tokens is expected to take at an idle engine.
func longEstimate(t *testing.T, table *placement.Table, now time.Time) float64 {
	t.Helper()
	c, found := table.Choose(now, plan(9000, 9001), nothingExcluded, rand.New(rand.NewPCG(1, 2)))
	if !found {
		t.Fatal("there is no engine")
	}
	return c.FirstMS - c.WaitMS
}

// TestPrefillIsLearnedOfPromptsThatNothingJoined lets each long prompt be joined by another
// entry's, so that both take twice as long, and then none. What a token takes stays as it is:
// with all prompts learned, 548 ms are expected in place of 260.
func TestPrefillIsLearnedOfPromptsThatNothingJoined(t *testing.T) {
	table := fleetOf(8)
	now := origin
	number := uint64(0)
	play := func(joined bool) {
		for range 300 {
			number++
			engine := fmt.Sprint("e-", number%8)
			own := placement.AttemptID{Owner: self, Number: number}
			table.Place(now, own, engine, plan(2*number, 100_000+number), memory.Fetch{})
			took := 12_000 * perTokenMS
			if joined {
				took *= 2
				theirs := placement.AttemptID{Owner: other, Number: number}
				table.Place(now.Add(5*time.Millisecond), theirs, engine, plan(2*number+1, 200_000+number), memory.Fetch{})
				table.End(now.Add(time.Second), theirs, placement.Succeeded)
			}
			first := now.Add(time.Duration((8 + took) * float64(time.Millisecond)))
			table.FirstEvent(first, own)
			table.End(first.Add(time.Second), own, placement.Succeeded)
			now = now.Add(2 * time.Second)
		}
	}
	play(true)
	want := 8 + 12_000*perTokenMS
	// An engine at which first events come late is slower all the same.
	if got := longEstimate(t, table, now) / table.States(now)[0].Slowdown; math.Abs(got/want-1) > 0.1 {
		t.Errorf("%.0f ms are expected at an engine as fast as the mean, want %.0f", got, want)
	}
	play(false)
	if got := longEstimate(t, table, now); math.Abs(got/want-1) > 0.1 {
		t.Errorf("%.0f ms are expected after the burst, want %.0f", got, want)
	}
}

// TestOverrunIsOfThePriority lets long prompts of a low priority take three times as long as
// expected and short urgent ones as long.
func TestOverrunIsOfThePriority(t *testing.T) {
	table := fleetOf(8)
	now := origin
	for number := range uint64(400) {
		engine := fmt.Sprint("e-", number%8)
		id := placement.AttemptID{Owner: other, Number: number}
		request, factor := plan(2*number, 100_000+number), 3.0
		if number%2 == 0 {
			request, factor = chat(100_000+number), 1
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
	if late, sound := overrun(plan(1, 2)), overrun(chat(3)); late < 1.5 || sound > 1.2 {
		t.Errorf("long prompts overrun by %.2f, want over 1.5; urgent ones by %.2f, want 1", late, sound)
	}
}
