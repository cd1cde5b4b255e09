package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/placement"
)

// placeCopied places a request at an engine, with a copy at the engine that the table chooses.
func placeCopied(t *placement.Table, number int, at string, r placement.Request, random *rand.Rand) (string, placement.AttemptID) {
	id := placement.AttemptID{Owner: self, Number: uint64(number)}
	t.Place(origin, id, at, r, placement.Choice{}.Fetch)
	holder, ok := t.ChooseReplica(origin, r, at, random)
	if !ok {
		return "", id
	}
	t.PlaceReplica(id, holder.Incarnation())
	return holder.ID, id
}

func replicasOf(t *placement.Table) map[string]int {
	counts := map[string]int{}
	for _, s := range t.States(origin) {
		counts[s.ID] = s.Replicas
	}
	return counts
}

func TestCopiesAreSpreadAndEndWithTheirRuns(t *testing.T) {
	table := twoRegionTable()
	random := rand.New(rand.NewPCG(1, 2))
	var ids []placement.AttemptID
	for n := range 30 {
		running := fmt.Sprint("i-", n%6)
		holder, id := placeCopied(table, n, running, shortRequest(uint64(1000+n)), random)
		if holder == "" || holder == running {
			t.Fatalf("run %d at %s has its copy at %q", n, running, holder)
		}
		ids = append(ids, id)
	}
	for engine, n := range replicasOf(table) {
		if n < 3 || n > 7 {
			t.Errorf("%s holds %d of 30 copies, want about 5", engine, n)
		}
	}
	for _, id := range ids {
		table.End(origin, id, placement.Succeeded)
	}
	for engine, n := range replicasOf(table) {
		if n != 0 {
			t.Errorf("%s holds %d copies after all runs have ended", engine, n)
		}
	}
}

// TestCrashedEngineGetsNoCopies guards against copies that are lost from the start, while the list still has the engine.
func TestCrashedEngineGetsNoCopies(t *testing.T) {
	table := twoRegionTable()
	random := rand.New(rand.NewPCG(1, 2))
	const crashed = "i-1"
	table.RecordCrash(origin, crashed)
	for n := range 60 {
		if holder, _ := placeCopied(table, n, "i-0", shortRequest(uint64(1000+n)), random); holder == crashed {
			t.Fatalf("run %d has its copy at an engine that has crashed", n)
		}
	}
	id := placement.AttemptID{Owner: self, Number: 1000}
	table.Place(origin, id, crashed, shortRequest(1), placement.Choice{}.Fetch)
	table.End(origin, id, placement.Succeeded) // it has not crashed after all
	found := false
	for n := range 60 {
		holder, _ := placeCopied(table, 100+n, "i-0", shortRequest(uint64(2000+n)), random)
		found = found || holder == crashed
	}
	if !found {
		t.Error("an engine that responds gets no copies")
	}
}

// TestCopiesKeepTheRulesOfRequests guards against copies where the request itself may not go.
func TestCopiesKeepTheRulesOfRequests(t *testing.T) {
	r := shortRequest(9)
	held := func(table *placement.Table, r placement.Request) map[string]int {
		counts := map[string]int{}
		random := rand.New(rand.NewPCG(1, 2))
		for range 60 {
			if e, ok := table.ChooseReplica(origin, r, "i-0", random); ok {
				counts[e.ID]++
			}
		}
		return counts
	}
	for name, exclude := range map[string]func(t *placement.Table, r *placement.Request){
		"an evacuated data centre": func(t *placement.Table, _ *placement.Request) { t.SetEvacuated(origin, []string{"zone-2"}) },
		"another region":           func(_ *placement.Table, r *placement.Request) { r.Regions = r.Regions.Intersect([]string{"north"}) },
		"a draining engine": func(t *placement.Table, _ *placement.Request) {
			for _, id := range []string{"i-1", "i-3", "i-5"} {
				t.ApplyDrain(origin, id, origin)
			}
		},
		"an engine that asked for a backoff": func(t *placement.Table, _ *placement.Request) {
			for _, id := range []string{"i-1", "i-3", "i-5"} {
				t.ApplyBackoff(origin, id, time.Second, rand.New(rand.NewPCG(1, 2)))
			}
		},
		"an engine at its limit": func(t *placement.Table, _ *placement.Request) {
			for n, id := range []string{"i-1", "i-3", "i-5"} {
				t.ApplyLimit(origin, id, eligibility.LimitUpdate{PerSecond: 0.01, Sent: origin, Received: origin})
				for k := range 5 {
					t.Place(origin, placement.AttemptID{Owner: self, Number: uint64(500 + 10*n + k)}, id, r, placement.Choice{}.Fetch)
				}
			}
		},
	} {
		table := twoRegionTable()
		request := r
		exclude(table, &request)
		counts := held(table, request)
		if len(counts) == 0 || counts["i-1"]+counts["i-3"]+counts["i-5"] > 0 {
			t.Errorf("%s: copies at %v", name, counts)
		}
	}
}

func TestCopiesAreBoundedByMemoryAndNumber(t *testing.T) {
	table := twoRegionTable()
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 2000 {
		placeCopied(table, n, "i-0", longRequest(uint64(n), uint64(10_000+n)), random)
	}
	request := longRequest(1, 2)
	tokens := request.Prompt.Tokens + request.Prompt.ExpectedOutput()
	for engine, n := range replicasOf(table) {
		if n > 64 || n*tokens > 500_000/4 {
			t.Errorf("%s holds %d copies of %d tokens", engine, n, tokens)
		}
	}
}

func TestContinuationNeedsAnEngineThatMayTakeTheRequest(t *testing.T) {
	table := twoRegionTable()
	r := shortRequest(9)
	if c, ok := table.Continuation(origin, r, "i-1"); !ok || c.Endpoint.ID != "i-1" {
		t.Errorf("continues at %+v", c.Endpoint)
	}
	table.SetEvacuated(origin, []string{"zone-2"})
	for _, id := range []string{"i-1", "i-gone"} {
		if _, ok := table.Continuation(origin, r, id); ok {
			t.Errorf("continues at %s", id)
		}
	}
}

func TestCopyOfAnEngineThatWasListedAnewIsNotCountedTwice(t *testing.T) {
	table := twoRegionTable()
	id := placement.AttemptID{Owner: self, Number: 1}
	table.Place(origin, id, "i-0", shortRequest(9), placement.Choice{}.Fetch)
	table.PlaceReplica(id, "i-1")
	table.PlaceReplica(id, "i-2")
	all := twoRegionEngines()
	table.SetEndpoints(origin, append(all[:1:1], all[2:]...))
	table.SetEndpoints(origin, all)
	table.End(origin, id, placement.Succeeded)
	for engine, n := range replicasOf(table) {
		if n != 0 {
			t.Errorf("%s holds %d copies", engine, n)
		}
	}
}
