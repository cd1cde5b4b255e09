package trial

import (
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/binding"
)

// Late is late binding as the product does it.
var Late = Variant{Name: "late d=3", Fanout: 3}

// Baselines are simpler ways, to compare with.
var Baselines = []Variant{
	{Name: "round robin", Choose: roundRobin},
	{Name: "least loaded", Choose: leastLoaded},
	{Name: "two choices", Choose: twoChoices},
	{Name: "late, FIFO", Fanout: 3, FIFO: true},
}

func roundRobin(entry int) binding.Chooser {
	next := entry
	return func(all []binding.Candidate) int {
		next++
		return next % len(all)
	}
}

// waitOf is the wait of the lowest tier, the whole queue.
func waitOf(c binding.Candidate) time.Duration {
	return c.Load.Wait[len(c.Load.Wait)-1]
}

func leastLoaded(int) binding.Chooser {
	return func(all []binding.Candidate) int {
		best := 0
		for n := range all {
			if waitOf(all[n]) < waitOf(all[best]) {
				best = n
			}
		}
		return best
	}
}

func twoChoices(entry int) binding.Chooser {
	random := rand.New(rand.NewPCG(uint64(entry), 2))
	return func(all []binding.Candidate) int {
		a := random.IntN(len(all))
		b := random.IntN(len(all))
		if waitOf(all[b]) < waitOf(all[a]) {
			return b
		}
		return a
	}
}
