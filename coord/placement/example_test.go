package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

// A table is updated by each attempt that is placed: here a prompt is sent to the endpoint that
// caches its prefix.
func ExampleTable() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := placement.Table{Self: 1, ReuseWindow: 10 * time.Second}
	table.SetServices([]placement.Service{{Name: "pool", InterEventTarget: 150 * time.Millisecond}})
	table.SetEndpoints(now, []placement.Endpoint{
		{ID: "i-1", Service: "pool", Slots: 8, Engine: true},
		{ID: "i-2", Service: "pool", Slots: 8, Engine: true},
	})
	prompt := func(own uint64) memory.Prompt {
		return memory.Prompt{Tokens: 5100, MaxOutputTokens: 100, Parts: []memory.Part{{ID: 7, Tokens: 5000}, {ID: own, Tokens: 100}}}
	}
	request := placement.Request{Service: "pool", Prompt: prompt(1), FirstEventTarget: time.Second, InterEventTarget: 200 * time.Millisecond}
	table.Place(now, placement.AttemptID{Owner: 1, Number: 1}, "i-2", request, memory.Fetch{})

	request.Prompt = prompt(2)
	exclude := func(string) bool { return false }
	choice, ok := table.Choose(now.Add(time.Second), request, exclude, rand.New(rand.NewPCG(1, 2)))
	fmt.Println(ok, choice.Endpoint.ID, choice.PrefillTokens, "tokens to compute")
	// Output: true i-2 100 tokens to compute
}
