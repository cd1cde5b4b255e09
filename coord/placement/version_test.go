package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"foxcross.dev/coord/memory"
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

// TestStreamIsResumedAtItsVersionOnly guards against resumptions at other versions, in small and in sampled services.
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

// TestCopyIsHeldAtTheVersionOfItsRun guards against runs that continue from the memory of another version.
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

// TestNoCopyIsHeldWhereVersionsAreUnknown guards against copies between versions that an older build left out.
func TestNoCopyIsHeldWhereVersionsAreUnknown(t *testing.T) {
	table := engineTable(0)
	table.SetEndpoints(origin, []placement.Endpoint{
		{ID: "i-0", Service: "pool", Slots: 48, Engine: true}, {ID: "i-1", Service: "pool", Slots: 48, Engine: true},
	})
	if holder, _ := placeCopied(table, 1, "i-0", shortRequest(1), rand.New(rand.NewPCG(1, 2))); holder != "" {
		t.Errorf("the run has its copy at %s", holder)
	}
}

// TestMemoryIsFetchedWithinAVersionOnly guards against prompts that use the memory of another version.
func TestMemoryIsFetchedWithinAVersionOnly(t *testing.T) {
	for _, x := range []struct {
		from, to string
		fetches  bool
	}{{"v1", "v1", true}, {"v1", "v2", false}, {"", "", false}} {
		table := transferTable(2)
		list := engines(2)
		list[0].Version, list[1].Version = x.from, x.to
		table.SetEndpoints(origin, list)
		id := placement.AttemptID{Owner: other, Number: 1}
		table.Place(origin, id, "e-0", longRequest(100, 1), memory.Fetch{})
		table.FirstEvent(origin.Add(150*time.Millisecond), id)
		table.End(origin.Add(time.Second), id, placement.Succeeded)
		exceptFirst := func(id string) bool { return id == "e-0" }
		c, ok := table.Choose(origin.Add(2*time.Second), longRequest(100, 2), exceptFirst, rand.New(rand.NewPCG(1, 2)))
		if !ok || c.Fetch.Any() != x.fetches {
			t.Errorf("an engine of version %q fetches %+v from one of %q", x.to, c.Fetch, x.from)
		}
	}
}

// TestStreamIsResumedAtLeavingEngineOnlyWhileNoneElseHasItsVersion guards against refusals while the version still serves.
func TestStreamIsResumedAtLeavingEngineOnlyWhileNoneElseHasItsVersion(t *testing.T) {
	table := versionTable(6, 3)
	table.DrainGrace = 1900 * time.Millisecond
	leave := func(now time.Time, ids ...string) {
		var list []placement.Endpoint
		for n := range 6 {
			e := placement.Endpoint{ID: fmt.Sprint("i-", n), Service: "pool", Slots: 48, Engine: true, DataCentre: "zone-1", Version: "v2"}
			if n%3 == 0 {
				e.Version = "v1"
			}
			e.Leaving = slices.Contains(ids, e.ID)
			list = append(list, e)
		}
		table.SetEndpoints(now, list)
	}
	resumedAt := func(now time.Time, resumes bool) string {
		r := placement.Request{Service: "pool", Resumes: resumes, Version: "v1"}
		c, _ := table.Choose(now, r, func(id string) bool { return !resumes && id != "i-0" && id != "i-3" }, rand.New(rand.NewPCG(1, 2)))
		return c.Endpoint.ID
	}
	leave(origin, "i-0")
	if got := resumedAt(origin, true); got != "i-3" {
		t.Errorf("with one engine left it is resumed at %q", got)
	}
	leave(origin.Add(time.Second), "i-0", "i-3")
	for after, want := range map[time.Duration]string{1100 * time.Millisecond: "i-3", 1700 * time.Millisecond: ""} {
		if got := resumedAt(origin.Add(after), true); got != want {
			t.Errorf("after %v it is resumed at %q, want %q", after, got, want)
		}
	}
	if got := resumedAt(origin.Add(1100*time.Millisecond), false); got != "" {
		t.Errorf("a new request is sent to %q", got)
	}
}

// TestStreamIsTakenLaterByFullEnginesOfItsVersion guards against refusals at once while an engine of the version is only full.
func TestStreamIsTakenLaterByFullEnginesOfItsVersion(t *testing.T) {
	none := func(string) bool { return false }
	r := placement.Request{Service: "pool", Resumes: true, Version: "v1"}
	table := versionTable(6, 6) // i-0 at v1
	service := table.ServiceSettings("pool")
	service.MaxRequests = 1
	table.SetServices([]placement.Service{service})
	table.Place(origin, placement.AttemptID{Owner: other, Number: 1}, "i-0", r, memory.Fetch{})
	if c, ok := table.Choose(origin, r, none, rand.New(rand.NewPCG(1, 2))); ok {
		t.Fatalf("chose %+v", c.Endpoint)
	}
	for _, c := range []struct {
		name    string
		version string
		exclude func(string) bool
		want    bool
	}{
		{"while it is full", "v1", none, true},
		{"after it has been tried", "v1", func(id string) bool { return id == "i-0" }, false},
		{"of a version that none runs", "v0", none, false},
	} {
		r.Version = c.version
		if got := table.MayTakeLater(origin, r, c.exclude); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
