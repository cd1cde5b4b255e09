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

// spread returns a table of engines in two data centres of two regions.
func spread() *placement.Table {
	t := fleetOf(0)
	t.Regions = map[string]string{"zone-1": "north", "zone-2": "south"}
	t.Group = eligibility.Group{Self: self, Entries: 1, Live: 1}
	t.SetServices([]placement.Service{{
		Name: "pool", MemoryTokens: 500_000, EventTokens: 6, BetweenTokens: 150 * time.Millisecond,
		MoveRate: memory.Rate{TokenBytes: 131072, LinkMbps: 370_000},
		Warmup:   eligibility.WarmupLimit{PerSecond: 4, Duration: 3 * time.Second},
	}})
	t.SetEndpoints(origin, spreadEngines())
	return t
}

func spreadEngines() []placement.Endpoint {
	var list []placement.Endpoint
	for n := range 6 {
		list = append(list, placement.Endpoint{
			ID: fmt.Sprint("i-", n), Service: "pool", Slots: 48, Engine: true, DataCentre: fmt.Sprint("zone-", 1+n%2),
		})
	}
	return list
}

// chosen returns the data centres that so many requests go to, by number.
func chosen(t *placement.Table, now time.Time, r placement.Request) map[string]int {
	random := rand.New(rand.NewPCG(1, 2))
	all := map[string]int{}
	for range 40 {
		if c, ok := t.Choose(now, r, never, random); ok {
			all[c.Endpoint.DataCentre]++
		}
	}
	return all
}

func TestNothingGoesToAnEvacuatedDataCentre(t *testing.T) {
	table := spread()
	r := plan(70, 71)
	home := "zone-1"
	if chosen(table, origin, r)[home] == 0 {
		home = "zone-2"
	}
	table.SetEvacuated(origin, []string{home})
	if got := chosen(table, origin, r); got[home] > 0 || len(got) != 1 {
		t.Errorf("requests go to %v, with %s evacuated", got, home)
	}
	table.SetEvacuated(origin, []string{"zone-1"})
	if got := chosen(table, origin, r); got["zone-1"] > 0 || got["zone-2"] != 40 {
		t.Errorf("requests go to %v", got)
	}
	table.SetEndpoints(origin, spreadEngines())
	if got := chosen(table, origin, r); got["zone-1"] > 0 {
		t.Errorf("after a new list requests go to %v", got)
	}
	if got := table.Obstacle(origin, r).Reason; got != eligibility.Eligible {
		t.Errorf("with endpoints left: %v", got)
	}
	table.SetEvacuated(origin, []string{"zone-1", "zone-2"})
	if got := chosen(table, origin, r); len(got) > 0 {
		t.Errorf("with all evacuated requests go to %v", got)
	}
	if got := table.Obstacle(origin, r).Reason; got != eligibility.Evacuated {
		t.Errorf("with all evacuated: %v", got)
	}
}

func TestRequestsStayInTheirRegions(t *testing.T) {
	table := spread()
	r := plan(70, 71)
	r.Regions = r.Regions.With([]string{"south"})
	if got := chosen(table, origin, r); got["zone-1"] > 0 || got["zone-2"] != 40 {
		t.Errorf("requests go to %v", got)
	}
	r.Regions = r.Regions.With([]string{"north"})
	if got := chosen(table, origin, r); len(got) > 0 {
		t.Errorf("without a common region requests go to %v", got)
	}
	if got := table.Obstacle(origin, r).Reason; got != eligibility.OutsideRegions {
		t.Errorf("without a common region: %v", got)
	}
}

// TestNothingIsFetchedFromWhereNothingMayBeSent has an engine of zone-1 keep a prompt's parts.
func TestNothingIsFetchedFromWhereNothingMayBeSent(t *testing.T) {
	fetches := func(change func(*placement.Table, *placement.Request)) bool {
		table := spread()
		now := origin
		kept := placement.AttemptID{Owner: self, Number: 1}
		table.Place(now, kept, "i-0", plan(100, 1), memory.Fetch{})
		now = now.Add(time.Second)
		table.FirstEvent(now, kept)
		table.End(now, kept, placement.Succeeded)
		r := plan(100, 2)
		change(table, &r)
		c, ok := table.Choose(now, r, func(id string) bool { return id != "i-1" }, rand.New(rand.NewPCG(1, 2)))
		if !ok {
			t.Fatal("there is no endpoint")
		}
		return c.Fetch.Any()
	}
	if !fetches(func(*placement.Table, *placement.Request) {}) {
		t.Fatal("nothing is fetched at all")
	}
	if fetches(func(table *placement.Table, _ *placement.Request) { table.SetEvacuated(origin, []string{"zone-1"}) }) {
		t.Error("memory is fetched from an evacuated data centre")
	}
	if fetches(func(_ *placement.Table, r *placement.Request) { r.Regions = r.Regions.With([]string{"south"}) }) {
		t.Error("memory is fetched from outside the regions")
	}
}

// TestGivenBackEndpointsAreCold sends requests one after the other to a data centre that is
// given back; the other one is still evacuated.
func TestGivenBackEndpointsAreCold(t *testing.T) {
	table := spread()
	table.SetEvacuated(origin, []string{"zone-1", "zone-2"})
	table.SetEvacuated(origin, []string{"zone-2"})
	if sent := sendFor(table, time.Second); sent < 10 || sent > 3*4 {
		t.Errorf("%d requests in the first second at 3 endpoints of 4 each", sent)
	}
	if got := table.Obstacle(origin.Add(time.Second-time.Millisecond), plan(70, 71)).Reason; got != eligibility.WarmingUp {
		t.Errorf("when they have got as much as they bear: %v", got)
	}
	late := origin.Add(4 * time.Second)
	if got := table.Obstacle(late, plan(70, 71)).Reason; got != eligibility.Eligible {
		t.Errorf("when they are warm: %v", got)
	}
}

// TestColdEndpoints reads of a warm-up in the list of endpoints, and hands it on to an entry
// that starts.
func TestColdEndpoints(t *testing.T) {
	table := spread()
	list := spreadEngines()
	for n := range list {
		list[n].WarmupLeft = 1500 * time.Millisecond
	}
	table.SetEndpoints(origin, list)
	started := spread()
	started.Restore(origin, table.Snapshot(origin))
	for name, x := range map[string]*placement.Table{"told by the list": table, "told by a snapshot": started} {
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

// sendFor sends 200 requests a second for so long, and returns how many found an endpoint.
func sendFor(t *placement.Table, d time.Duration) int {
	random := rand.New(rand.NewPCG(1, 2))
	sent := 0
	for now := origin; now.Before(origin.Add(d)); now = now.Add(5 * time.Millisecond) {
		c, ok := t.Choose(now, chat(uint64(sent+1)), never, random)
		if !ok {
			continue
		}
		sent++
		t.Place(now, placement.AttemptID{Owner: self, Number: uint64(sent)}, c.Endpoint.ID, chat(uint64(sent)), memory.Fetch{})
	}
	return sent
}
