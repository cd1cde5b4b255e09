package subset_test

import (
	"fmt"

	"foxcross.dev/coord/subset"
)

// Three quarters of the chosen agents are in the entry's own data centre.
func ExampleChoose() {
	var agents []subset.Agent
	for n := range 40 {
		agents = append(agents, subset.Agent{Name: fmt.Sprint("agent-", n), DataCentre: fmt.Sprint("dc-", n%2)})
	}
	local := 0
	chosen := subset.Choose("entry-1", "dc-0", agents, 8)
	for _, a := range chosen {
		if a.DataCentre == "dc-0" {
			local++
		}
	}
	fmt.Println(len(chosen), local)
	// Output: 8 6
}
