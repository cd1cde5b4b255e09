package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

// snapshotTable returns a table of engines of one service.
func snapshotTable(engines int, self uint64) *placement.Table {
	t := &placement.Table{Self: self, ReuseWindow: 10 * time.Second, Restoring: true}
	t.SetServices([]placement.Service{{Name: "pool", MemoryTokens: 400_000, EventTokens: 14, InterEventTarget: 300 * time.Millisecond}})
	var list []placement.Endpoint
	for n := range engines {
		list = append(list, placement.Endpoint{ID: fmt.Sprint("i-", n), Service: "pool", Slots: 24, Engine: true, Version: "v1"})
	}
	t.SetEndpoints(origin, list)
	return t
}

// requestFor returns a request whose prompt has a shared part and one of its own.
func requestFor(sharedPart, ownPart uint64) placement.Request {
	return placement.Request{
		Service: "pool", FirstEventTarget: 2 * time.Second, InterEventTarget: time.Second, TimeLeft: 10 * time.Second,
		Prompt: memory.Prompt{Tokens: 6000, MaxOutputTokens: 100, Parts: []memory.Part{{ID: sharedPart, Tokens: 5000}, {ID: ownPart, Tokens: 1000}}},
	}
}

// A restored table sends prompts to the engines that cache their shared parts, and includes the
// load of attempts sent before it started. A table without the snapshot does neither.
func TestRestoredTablePlacesLikeTheOriginal(t *testing.T) {
	const engines, sharedParts = 20, 40
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	original := snapshotTable(engines, 1)
	random := rand.New(rand.NewPCG(1, 2))
	cachedAt := map[uint64]string{}
	number := uint64(0)
	for sharedPart := range uint64(sharedParts) {
		number++
		engine := fmt.Sprint("i-", sharedPart%engines) // mostly not the home of the shared part
		id := placement.AttemptID{Owner: 1, Number: number}
		original.Place(now, id, engine, requestFor(sharedPart, 1000+number), memory.Fetch{})
		original.FirstEvent(now.Add(100*time.Millisecond), id)
		original.End(now.Add(200*time.Millisecond), id, placement.Succeeded)
		cachedAt[sharedPart] = engine
		now = now.Add(210 * time.Millisecond)
	}
	openID := placement.AttemptID{Owner: 1, Number: 999}
	original.Place(now, openID, "i-3", requestFor(5000, 5001), memory.Fetch{})
	endedID := placement.AttemptID{Owner: 1, Number: 998}
	original.Place(now, endedID, "i-4", requestFor(5000, 5002), memory.Fetch{})
	snapshot := original.Snapshot(now)

	restored, empty := snapshotTable(engines, 2), snapshotTable(engines, 3)
	restored.End(now, endedID, placement.Succeeded) // received while the snapshot was in transit
	restored.Restore(now, snapshot)
	if got := restored.Open(); got != 1 {
		t.Errorf("%d attempts are open, want 1, the one that has not ended", got)
	}
	cacheHits := func(table *placement.Table) int {
		n := 0
		for sharedPart, engine := range cachedAt {
			c, _ := table.Choose(now, requestFor(sharedPart, 9000+sharedPart), func(string) bool { return false }, random)
			if c.Endpoint.ID == engine {
				n++
			}
		}
		return n
	}
	if got := cacheHits(restored); got < sharedParts*9/10 {
		t.Errorf("%d of %d prompts are sent to the engine that caches their shared part", got, sharedParts)
	}
	if got := cacheHits(empty); got > sharedParts/2 {
		t.Errorf("without a snapshot %d of %d are; the test proves nothing", got, sharedParts)
	}
	for _, e := range restored.States(now) {
		if e.ID == "i-3" && e.Requests != 1 {
			t.Errorf("the engine with one open attempt has %d", e.Requests)
		}
	}
}

// Parts that were not used recently, or by a single request only, are not transferred.
func TestSnapshotIsBoundedByRecentTraffic(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	original := snapshotTable(4, 1)
	for n := range uint64(3000) {
		id := placement.AttemptID{Owner: 1, Number: n + 1}
		original.Place(now, id, fmt.Sprint("i-", n%4), requestFor(n, 100_000+n), memory.Fetch{})
		original.FirstEvent(now, id)
		original.End(now, id, placement.Succeeded)
		now = now.Add(20 * time.Millisecond)
	}
	s := original.Snapshot(now)
	if len(s.Parts) == 0 || len(s.Parts) > 500 {
		t.Errorf("%d parts are transferred, want at most those of the last 500 requests", len(s.Parts))
	}
}

func TestRestoreOfAnInvalidSnapshot(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := snapshotTable(2, 2)
	table.Restore(now, placement.Snapshot{
		Parts:     []memory.Part{{ID: 1, Tokens: 10}},
		Endpoints: []placement.EndpointSnapshot{{ID: "i-0", CachedParts: []int{7, -1, 0}, Slowdown: -4, Failures: 9, Backlog: make([]float64, 99)}, {ID: "nobody"}},
		Services:  []placement.ServiceSnapshot{{Name: "nothing"}},
	})
	if _, ok := table.Choose(now, requestFor(1, 2), func(string) bool { return false }, rand.New(rand.NewPCG(1, 2))); !ok {
		t.Error("no engine is chosen")
	}
}

// Parts that an engine reports as cached attract prompts, as if they had been sent there
// before.
func TestAddCached(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := snapshotTable(20, 2)
	random := rand.New(rand.NewPCG(1, 2))
	table.AddCached(now, "i-7", []memory.Part{{ID: 11, Tokens: 5000}})
	table.AddCached(now, "nobody", []memory.Part{{ID: 12, Tokens: 5000}})
	c, _ := table.Choose(now, requestFor(11, 900), func(string) bool { return false }, random)
	if c.Endpoint.ID != "i-7" || c.PrefillTokens != 1000 {
		t.Errorf("the prompt is sent to %s, where %d tokens are computed", c.Endpoint.ID, c.PrefillTokens)
	}
}
