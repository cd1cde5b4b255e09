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

// The design size of a deployment.
const (
	entryCount  = 620
	agentCount  = 1600
	dataCentres = 13
	limit       = 24
)

func allAgents() []subset.Agent {
	var all []subset.Agent
	for n := range agentCount {
		all = append(all, subset.Agent{Name: fmt.Sprint("runner-", n), DataCentre: fmt.Sprint("dc-", n%dataCentres)})
	}
	return all
}

func chosenBy(n int, agents []subset.Agent) []subset.Agent {
	return subset.Choose(fmt.Sprint("entry-", n), fmt.Sprint("dc-", n%dataCentres), agents, limit)
}

var _ = Describe("Choose", func() {
	It("chooses all agents of a small deployment", func() {
		Expect(subset.Choose("e", "dc-0", allAgents()[:20], limit)).To(HaveLen(20))
	})

	It("chooses distinct agents, mostly local, within the limit, and from several other data centres", func() {
		for n := range entryCount {
			chosen := chosenBy(n, allAgents())
			local := 0
			seen := map[string]bool{}
			reached := map[string]bool{}
			for _, a := range chosen {
				seen[a.Name] = true
				reached[a.DataCentre] = true
				if a.DataCentre == fmt.Sprint("dc-", n%dataCentres) {
					local++
				}
			}
			Expect(seen).To(HaveLen(limit))
			Expect(local).To(Equal(18))
			Expect(reached).To(HaveLen(7))
		}
	})

	It("assigns entries to every agent, and to none far more than the average", func() {
		counts := map[string]int{}
		for n := range entryCount {
			for _, a := range chosenBy(n, allAgents()) {
				counts[a.Name]++
			}
		}
		Expect(counts).To(HaveLen(agentCount))
		largest := 0
		for _, c := range counts {
			largest = max(largest, c)
		}
		Expect(largest).To(BeNumerically("<=", 3*entryCount*limit/agentCount))
	})

	It("changes few choices when an agent is removed", func() {
		all := allAgents()
		changed := 0
		for n := range entryCount {
			before := chosenBy(n, all)
			after := chosenBy(n, slices.Delete(slices.Clone(all), 7, 8))
			for _, a := range after {
				if !slices.Contains(before, a) {
					changed++
				}
			}
		}
		Expect(changed).To(BeNumerically("<=", 4*entryCount*limit/agentCount))
	})

	It("chooses remote agents if the own data centre has none", func() {
		var remaining []subset.Agent
		for _, a := range allAgents() {
			if a.DataCentre != "dc-0" {
				remaining = append(remaining, a)
			}
		}
		Expect(chosenBy(0, remaining)).To(HaveLen(limit))
	})
})
