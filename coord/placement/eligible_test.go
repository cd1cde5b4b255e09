package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

// twoRegionTable returns a table of engines in two data centres of two regions.
func twoRegionTable() *placement.Table {
	t := engineTable(0)
	t.Regions = map[string]string{"zone-1": "north", "zone-2": "south"}
	t.Group = eligibility.Group{Self: self, Entries: 1, Visible: 1}
	t.SetServices([]placement.Service{{
		Name: "pool", MemoryTokens: 500_000, EventTokens: 6, InterEventTarget: 150 * time.Millisecond,
		TransferRate: memory.Rate{TokenBytes: 131072, LinkMbps: 370_000},
		Warmup:       eligibility.WarmupLimit{PerSecond: 4, Duration: 3 * time.Second},
	}})
	t.SetEndpoints(origin, twoRegionEngines())
	return t
}

func twoRegionEngines() []placement.Endpoint {
	var list []placement.Endpoint
	for n := range 6 {
		list = append(list, placement.Endpoint{
			ID: fmt.Sprint("i-", n), Service: "pool", Slots: 48, Engine: true, Version: "v1", DataCentre: fmt.Sprint("zone-", 1+n%2),
		})
	}
	return list
}

// choicesByDataCentre returns the number of requests sent to each data centre.
func choicesByDataCentre(t *placement.Table, now time.Time, r placement.Request) map[string]int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range 40 {
		if c, ok := t.Choose(now, r, excludeNone, random); ok {
			counts[c.Endpoint.DataCentre]++
		}
	}
	return counts
}

func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	table := twoRegionTable()
	r := longRequest(70, 71)
	home := "zone-1"
	if choicesByDataCentre(table, origin, r)[home] == 0 {
		home = "zone-2"
	}
	table.SetEvacuated(origin, []string{home})
	if got := choicesByDataCentre(table, origin, r); got[home] > 0 || len(got) != 1 {
		t.Errorf("requests are sent to %v with %s evacuated", got, home)
	}
	table.SetEvacuated(origin, []string{"zone-1"})
	if got := choicesByDataCentre(table, origin, r); got["zone-1"] > 0 || got["zone-2"] != 40 {
		t.Errorf("requests are sent to %v", got)
	}
	table.SetEndpoints(origin, twoRegionEngines())
	if got := choicesByDataCentre(table, origin, r); got["zone-1"] > 0 {
		t.Errorf("after a new list requests are sent to %v", got)
	}
	if got := table.Unavailability(origin, r).Reason; got != eligibility.Eligible {
		t.Errorf("with eligible endpoints: %v", got)
	}
	table.SetEvacuated(origin, []string{"zone-1", "zone-2"})
	if got := choicesByDataCentre(table, origin, r); len(got) > 0 {
		t.Errorf("with all evacuated requests are sent to %v", got)
	}
	if got := table.Unavailability(origin, r).Reason; got != eligibility.Evacuated {
		t.Errorf("with all evacuated: %v", got)
	}
}

func TestRequestsStayInTheirRegions(t *testing.T) {
	table := twoRegionTable()
	r := longRequest(70, 71)
	r.Regions = r.Regions.Intersect([]string{"south"})
	if got := choicesByDataCentre(table, origin, r); got["zone-1"] > 0 || got["zone-2"] != 40 {
		t.Errorf("requests are sent to %v", got)
	}
	r.Regions = r.Regions.Intersect([]string{"north"})
	if got := choicesByDataCentre(table, origin, r); len(got) > 0 {
		t.Errorf("without a common region requests are sent to %v", got)
	}
	if got := table.Unavailability(origin, r).Reason; got != eligibility.OutsideRegions {
		t.Errorf("without a common region: %v", got)
	}
}

// TestIneligibleEndpointIsNoFetchSource has an engine of zone-1 cache a prompt's parts.
func TestIneligibleEndpointIsNoFetchSource(t *testing.T) {
	fetches := func(change func(*placement.Table, *placement.Request)) bool {
		table := twoRegionTable()
		now := origin
		id := placement.AttemptID{Owner: self, Number: 1}
		table.Place(now, id, "i-0", longRequest(100, 1), memory.Fetch{})
		now = now.Add(time.Second)
		table.FirstEvent(now, id)
		table.End(now, id, placement.Succeeded)
		r := longRequest(100, 2)
		change(table, &r)
		c, ok := table.Choose(now, r, func(id string) bool { return id != "i-1" }, rand.New(rand.NewPCG(1, 2)))
		if !ok {
			t.Fatal("no endpoint is chosen")
		}
		return c.Fetch.Any()
	}
	if !fetches(func(*placement.Table, *placement.Request) {}) {
		t.Fatal("nothing is fetched")
	}
	if fetches(func(table *placement.Table, _ *placement.Request) { table.SetEvacuated(origin, []string{"zone-1"}) }) {
		t.Error("memory is fetched from an evacuated data centre")
	}
	if fetches(func(_ *placement.Table, r *placement.Request) { r.Regions = r.Regions.Intersect([]string{"south"}) }) {
		t.Error("memory is fetched from outside the regions")
	}
}

// TestEndpointsAreColdAfterEvacuation sends requests one after the other to a data centre whose
// evacuation has ended. The other one is still evacuated.
func TestEndpointsAreColdAfterEvacuation(t *testing.T) {
	table := twoRegionTable()
	table.SetEvacuated(origin, []string{"zone-1", "zone-2"})
	table.SetEvacuated(origin, []string{"zone-2"})
	if sent := sendFor(table, time.Second); sent < 10 || sent > 3*4 {
		t.Errorf("%d requests in the first second at 3 endpoints of 4 each", sent)
	}
	if got := table.Unavailability(origin.Add(time.Second-time.Millisecond), longRequest(70, 71)).Reason; got != eligibility.WarmingUp {
		t.Errorf("when the warm-up rate is used up: %v", got)
	}
	late := origin.Add(4 * time.Second)
	if got := table.Unavailability(late, longRequest(70, 71)).Reason; got != eligibility.Eligible {
		t.Errorf("after the warm-up: %v", got)
	}
}

// TestColdEndpointsGetFewRequests sets a warm-up by the list of endpoints, and by a snapshot at
// an entry that starts.
func TestColdEndpointsGetFewRequests(t *testing.T) {
	table := twoRegionTable()
	list := twoRegionEngines()
	for n := range list {
		list[n].WarmupLeft = 1500 * time.Millisecond
	}
	table.SetEndpoints(origin, list)
	restored := twoRegionTable()
	restored.Restore(origin, table.Snapshot(origin))
	for name, x := range map[string]*placement.Table{"warm-up in the list": table, "warm-up in a snapshot": restored} {
		if sent := sendFor(x, time.Second); sent < 20 || sent > 6*4 {
			t.Errorf("%s: %d requests in the first second at 6 endpoints of 4 each", name, sent)
		}
		if states := x.States(origin.Add(time.Second)); !states[0].Warming {
			t.Errorf("%s: %+v", name, states[0])
		}
		if states := x.States(origin.Add(1600 * time.Millisecond)); states[0].Warming {
			t.Errorf("%s: still warming up", name)
		}
	}
}

// sendFor sends 200 requests per second for d and returns how many found an endpoint.
func sendFor(t *placement.Table, d time.Duration) int {
	random := rand.New(rand.NewPCG(1, 2))
	sent := 0
	for now := origin; now.Before(origin.Add(d)); now = now.Add(5 * time.Millisecond) {
		c, ok := t.Choose(now, shortRequest(uint64(sent+1)), excludeNone, random)
		if !ok {
			continue
		}
		sent++
		t.Place(now, placement.AttemptID{Owner: self, Number: uint64(sent)}, c.Endpoint.ID, shortRequest(uint64(sent)), memory.Fetch{})
	}
	return sent
}
