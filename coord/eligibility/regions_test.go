package eligibility_test

import (
	"fmt"
	"testing"

	"foxcross.dev/coord/eligibility"
)

// A request is restricted to the regions of its class and to those of its team.
func ExampleRegions() {
	class := eligibility.Regions{}.Intersect([]string{"north", "south"})
	both := class.Intersect([]string{"south", "west"})
	for _, region := range []string{"north", "south", "west", ""} {
		fmt.Println(region, class.Allows(region), both.Allows(region))
	}
	// Output:
	// north true false
	// south true true
	// west false false
	//  false false
}

func TestCheck(t *testing.T) {
	north := eligibility.Regions{}.Intersect([]string{"north"})
	nowhere := north.Intersect([]string{"south"})
	for _, c := range []struct {
		name    string
		allowed eligibility.Regions
		at      eligibility.Location
		want    eligibility.Reason
	}{
		{"no restriction", eligibility.Regions{}, eligibility.Location{}, eligibility.Eligible},
		{"an empty list adds no restriction", eligibility.Regions{}.Intersect(nil), eligibility.Location{Region: "west"}, eligibility.Eligible},
		{"in the region", north, eligibility.Location{Region: "north"}, eligibility.Eligible},
		{"in another region", north, eligibility.Location{Region: "south"}, eligibility.OutsideRegions},
		{"in an unknown region", north, eligibility.Location{}, eligibility.OutsideRegions},
		{"two restrictions without a common region", nowhere, eligibility.Location{Region: "north"}, eligibility.OutsideRegions},
		{"evacuated", eligibility.Regions{}, eligibility.Location{Region: "north", Evacuated: true}, eligibility.Evacuated},
		{"evacuated and in another region", north, eligibility.Location{Region: "south", Evacuated: true}, eligibility.OutsideRegions},
	} {
		if got := eligibility.Check(c.allowed, c.at); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestRegionsAreImmutable derives two restrictions from the same value.
func TestRegionsAreImmutable(t *testing.T) {
	common := eligibility.Regions{}.Intersect([]string{"a", "b"}).Intersect([]string{"a", "b", "c"})
	first, second := common.Intersect([]string{"a"}), common.Intersect([]string{"b"})
	if !first.Allows("a") || first.Allows("b") || second.Allows("a") || !second.Allows("b") {
		t.Error("one list replaced the other")
	}
}
