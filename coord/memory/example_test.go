package memory_test

import (
	"fmt"
	"time"

	"foxcross.dev/coord/memory"
)

func ExamplePrompt_ExpectedOutput() {
	fmt.Println(memory.Prompt{MaxOutputTokens: 300}.ExpectedOutput(), memory.Prompt{MaxOutputTokens: 300, LikelyOutputTokens: 40}.ExpectedOutput())
	// Output: 300 40
}

// If two engines cache the prompt, the source is the one whose link is free.
func ExampleBest() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rate := memory.Rate{TokenBytes: 163_840, LinkMbps: 260_000}
	var busy, free, own memory.Link
	memory.Occupy(now, &busy, &memory.Link{}, 25)
	sources := []memory.Source{
		{ID: "i-1", Version: "v1", CachedTokens: 6000, Link: &busy, MissRate: &memory.MissRate{}},
		{ID: "i-2", Version: "v1", CachedTokens: 6000, Link: &free, MissRate: &memory.MissRate{}},
	}
	f := memory.Best(now, rate, sources, memory.Target{ID: "i-3", Version: "v1", Link: &own, ComputeMS: 0.016})
	fmt.Printf("%d tokens from %s in %.0f ms\n", f.Tokens, f.Source, f.MS())
	// Output: 6000 tokens from i-2 in 33 ms
}
