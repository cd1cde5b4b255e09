package subset_test

import (
	"fmt"
	"slices"
	"testing"

	"foxcross.dev/coord/subset"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSubset(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "subset")
}

// The size to design for.
const (
	entries = 620
	runners = 1600
	centres = 13
	most    = 24
)

func fleet() []subset.Agent {
	var all []subset.Agent
	for n := range runners {
		all = append(all, subset.Agent{Name: fmt.Sprint("runner-", n), DataCentre: fmt.Sprint("dc-", n%centres)})
	}
	return all
}

func chosenBy(n int, agents []subset.Agent) []subset.Agent {
	return subset.Choose(fmt.Sprint("entry-", n), fmt.Sprint("dc-", n%centres), agents, most)
}

var _ = Describe("Choose", func() {
	It("takes all agents of a small fleet", func() {
		Expect(subset.Choose("e", "dc-0", fleet()[:20], most)).To(HaveLen(20))
	})

	It("is bounded, without repeats, mostly near, and reaches other data centres", func() {
		for n := range entries {
			chosen := chosenBy(n, fleet())
			near := 0
			seen := map[string]bool{}
			reached := map[string]bool{}
			for _, a := range chosen {
				seen[a.Name] = true
				reached[a.DataCentre] = true
				if a.DataCentre == fmt.Sprint("dc-", n%centres) {
					near++
				}
			}
			Expect(seen).To(HaveLen(most))
			Expect(near).To(Equal(18))
			Expect(reached).To(HaveLen(7))
		}
	})

	It("gives every agent entries, none far too many", func() {
		counts := map[string]int{}
		for n := range entries {
			for _, a := range chosenBy(n, fleet()) {
				counts[a.Name]++
			}
		}
		Expect(counts).To(HaveLen(runners))
		largest := 0
		for _, c := range counts {
			largest = max(largest, c)
		}
		Expect(largest).To(BeNumerically("<=", 3*entries*most/runners))
	})

	It("changes little when an agent goes", func() {
		all := fleet()
		changed := 0
		for n := range entries {
			before := chosenBy(n, all)
			after := chosenBy(n, slices.Delete(slices.Clone(all), 7, 8))
			for _, a := range after {
				if !slices.Contains(before, a) {
					changed++
				}
			}
		}
		Expect(changed).To(BeNumerically("<=", 4*entries*most/runners))
	})

	It("fills up from afar when the own data centre is lost", func() {
		var left []subset.Agent
		for _, a := range fleet() {
			if a.DataCentre != "dc-0" {
				left = append(left, a)
			}
		}
		Expect(chosenBy(0, left)).To(HaveLen(most))
	})
})
