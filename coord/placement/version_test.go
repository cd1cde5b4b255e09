package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"foxcross.dev/coord/placement"
)

// versionTable returns a table of engines, one in a number of them at v1 and the others at v2.
func versionTable(engines, oneIn int) *placement.Table {
	t := engineTable(0)
	var list []placement.Endpoint
	for n := range engines {
		version := "v2"
		if n%oneIn == 0 {
			version = "v1"
		}
		list = append(list, placement.Endpoint{
			ID: fmt.Sprint("i-", n), Service: "pool", Slots: 48, Engine: true, DataCentre: "zone-1", Version: version,
		})
	}
	t.SetEndpoints(origin, list)
	return t
}

// TestStreamIsResumedAtItsVersionOnly guards against streams that go on at another version of their
// engine's software, in services that are scanned and in those that are sampled.
func TestStreamIsResumedAtItsVersionOnly(t *testing.T) {
	for _, engines := range []int{6, 200} {
		table := versionTable(engines, 3)
		random := rand.New(rand.NewPCG(1, 2))
		got := map[string]int{}
		for range 100 {
			r := placement.Request{Service: "pool", Resumes: true, Version: "v1"}
			c, ok := table.Choose(origin, r, func(string) bool { return false }, random)
			if !ok || c.Endpoint.Version != "v1" {
				t.Fatalf("of %d engines: chose %+v, %v", engines, c.Endpoint, ok)
			}
			got[c.Endpoint.ID]++
		}
		if len(got) < 2 {
			t.Errorf("of %d engines: all streams were resumed at %v", engines, got)
		}
	}
}

// TestStreamOfGoneVersionIsResumedNowhere guards against a last resort at another version.
func TestStreamOfGoneVersionIsResumedNowhere(t *testing.T) {
	table := versionTable(6, 3)
	r := placement.Request{Service: "pool", Resumes: true, Version: "v0"}
	if c, ok := table.Choose(origin, r, func(string) bool { return false }, rand.New(rand.NewPCG(1, 2))); ok {
		t.Errorf("chose %+v", c.Endpoint)
	}
}

// TestCopyIsHeldAtTheVersionOfItsRun guards against runs that continue from the memory that another
// version wrote.
func TestCopyIsHeldAtTheVersionOfItsRun(t *testing.T) {
	table := versionTable(6, 3) // i-0 and i-3 at v1
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 40 {
		running := fmt.Sprint("i-", n%6)
		holder, _ := placeCopied(table, n, running, shortRequest(uint64(1000+n)), random)
		ofV1 := holder == "i-0" || holder == "i-3"
		if holder == "" || ofV1 != (running == "i-0" || running == "i-3") {
			t.Errorf("the run at %s has its copy at %q", running, holder)
		}
	}
}
