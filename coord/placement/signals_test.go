package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

const (
	backoffDelay = 3 * time.Second
	drainGrace   = 2 * time.Second
)

// nonEngineTable returns a table of endpoints without a model, and their list.
func nonEngineTable(ids ...string) (*placement.Table, []placement.Endpoint) {
	t := &placement.Table{Self: 1, DrainGrace: drainGrace, Group: eligibility.Group{Self: 1, Entries: 1, Visible: 1}}
	t.SetServices([]placement.Service{{Name: "desk"}})
	var list []placement.Endpoint
	for _, id := range ids {
		list = append(list, placement.Endpoint{ID: id, Service: "desk", Slots: slotsPerEndpoint})
	}
	t.SetEndpoints(origin, list)
	return t, list
}

func seededRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// chosenEndpoint returns the endpoint that a request is sent to, or "" for none.
func chosenEndpoint(t *placement.Table, now time.Time, excluded ...string) string {
	tried := func(id string) bool {
		for _, x := range excluded {
			if x == id {
				return true
			}
		}
		return false
	}
	c, _ := t.Choose(now, placement.Request{Service: "desk", FirstEventTarget: time.Second}, tried, seededRandom())
	return c.Endpoint.ID
}

func TestEndpointInBackoffIsNotChosenAsLastResort(t *testing.T) {
	table, _ := nonEngineTable("a", "b")
	table.ApplyBackoff(origin, "a", backoffDelay, seededRandom())
	late := origin.Add(backoffDelay - 1)
	if got := chosenEndpoint(table, late); got != "b" {
		t.Errorf("%q is chosen", got)
	}
	if got := chosenEndpoint(table, late, "b"); got != "" {
		t.Errorf("%q is chosen for a retry", got)
	}
	if !table.Withdraw(late, "a") || table.Withdraw(late, "b") {
		t.Error("the placed request is not withdrawn")
	}
	table.ApplyBackoff(origin, "b", backoffDelay/2, seededRandom())
	o := table.Unavailability(origin, placement.Request{Service: "desk"})
	if o.Reason != eligibility.BackedOff || o.Endpoint != "b" || o.Wait < backoffDelay/2 || o.Delay != backoffDelay/2 {
		t.Errorf("the unavailability is %+v", o)
	}
}

func TestBackoffEndsWithTheIncarnation(t *testing.T) {
	table, list := nonEngineTable("a")
	table.ApplyBackoff(origin, "a", backoffDelay, seededRandom())
	list[0].StartedMS = 5
	table.SetEndpoints(origin, list)
	if got := chosenEndpoint(table, origin); got != "a" {
		t.Errorf("%q is chosen", got)
	}
}

func TestSignalsSurviveAnExpiredRecord(t *testing.T) {
	table, list := nonEngineTable("a", "b", "c")
	table.ApplyBackoff(origin, "a", backoffDelay, seededRandom())
	table.ApplyDrain(origin, "b", origin)
	table.ApplyLimit(origin, "c", eligibility.LimitUpdate{PerSecond: 1, Sent: origin, Received: origin})
	table.SetEndpoints(origin, nil)
	table.SetEndpoints(origin.Add(time.Second), list)
	for _, s := range table.States(origin.Add(time.Second)) {
		if s.BackoffMS == 0 && s.DrainingMS == 0 && s.Limit == 0 {
			t.Errorf("the signals of %s are lost", s.ID)
		}
	}
	if got := chosenEndpoint(table, origin.Add(drainGrace), "c"); got != "" {
		t.Errorf("%q is chosen", got)
	}
}

func TestBackoffForAnExpiredRecordIsKept(t *testing.T) {
	table, list := nonEngineTable("a")
	table.SetEndpoints(origin, nil)
	table.ApplyBackoff(origin, "a", backoffDelay, seededRandom())
	table.SetEndpoints(origin.Add(time.Second), list)
	if got := chosenEndpoint(table, origin.Add(backoffDelay-1)); got != "" {
		t.Errorf("%q is chosen", got)
	}
}

func TestDrainForAnUnlistedEndpointIsKept(t *testing.T) {
	table, list := nonEngineTable()
	table.ApplyDrain(origin, "a", origin)
	table.SetEndpoints(origin.Add(time.Second), append(list, placement.Endpoint{ID: "a", Service: "desk", Slots: 1}))
	if got := chosenEndpoint(table, origin.Add(drainGrace)); got != "" {
		t.Errorf("%q is chosen", got)
	}
}

func TestSnapshotContainsDrainingEndpoints(t *testing.T) {
	table, list := nonEngineTable("a", "b")
	table.ApplyDrain(origin, "a", origin)
	table.ApplyDrain(origin, "gone", origin)
	restored, _ := nonEngineTable("a", "b")
	restored.Restore(origin.Add(time.Second), table.Snapshot(origin.Add(time.Second)))
	restored.SetEndpoints(origin.Add(time.Second), append(list, placement.Endpoint{ID: "gone", Service: "desk", Slots: 1}))
	if got := chosenEndpoint(restored, origin.Add(drainGrace), "b"); got != "" {
		t.Errorf("%q is chosen", got)
	}
}

func TestDrainingEndpointIsTheLastResort(t *testing.T) {
	table, list := nonEngineTable("a", "b")
	table.ApplyDrain(origin, "a", origin)
	if got := chosenEndpoint(table, origin); got != "b" {
		t.Errorf("%q is chosen", got)
	}
	if got := chosenEndpoint(table, origin.Add(drainGrace-1), "b"); got != "a" {
		t.Errorf("within the grace period %q is chosen as last resort", got)
	}
	table.SetEndpoints(origin.Add(time.Second), list) // the record is still ready
	if got := chosenEndpoint(table, origin.Add(drainGrace), "b"); got != "" {
		t.Errorf("after the grace period %q is chosen", got)
	}
}

func TestLeavingIsNotRevoked(t *testing.T) {
	table, list := nonEngineTable("a")
	list[0].Leaving = true
	table.SetEndpoints(origin, list)
	list[0].Leaving = false
	table.SetEndpoints(origin.Add(time.Second), list)
	if got := chosenEndpoint(table, origin.Add(drainGrace)); got != "" {
		t.Errorf("%q is chosen", got)
	}
}

// Guards against an endpoint that all entries avoid after it rejected requests of one of them.
func TestBackoffResponseIsNoFailure(t *testing.T) {
	table, _ := nonEngineTable("a", "b")
	id := placement.AttemptID{Owner: 2, Number: 1}
	table.Place(origin, id, "a", placement.Request{Service: "desk"}, memory.Fetch{})
	table.End(origin, id, placement.PushedBack)
	for _, s := range table.States(origin) {
		if s.Failures != 0 {
			t.Errorf("the failure share of %s is %g", s.ID, s.Failures)
		}
	}
}

func TestEndpointInBackoffDoesNotCountAsCapacity(t *testing.T) {
	table, _ := nonEngineTable("a", "b")
	for n := range slotsPerEndpoint {
		table.Place(origin, placement.AttemptID{Owner: 2, Number: uint64(n + 1)}, "b", placement.Request{Service: "desk"}, memory.Fetch{})
	}
	table.ApplyBackoff(origin, "a", backoffDelay, seededRandom())
	c, ok := table.Choose(origin, placement.Request{Service: "desk", FirstEventTarget: time.Second}, func(string) bool { return false }, seededRandom())
	if !ok || c.BusyShare != 1 {
		t.Errorf("found %v, busy share %g", ok, c.BusyShare)
	}
}
