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
	signalDelay = 3 * time.Second
	signalGrace = 2 * time.Second
)

// deskTable returns a table of plain endpoints, and their list.
func deskTable(ids ...string) (*placement.Table, []placement.Endpoint) {
	t := &placement.Table{Self: 1, DrainGrace: signalGrace, Group: eligibility.Group{Self: 1, Entries: 1, Live: 1}}
	t.SetServices([]placement.Service{{Name: "desk"}})
	var list []placement.Endpoint
	for _, id := range ids {
		list = append(list, placement.Endpoint{ID: id, Service: "desk", Slots: overloadSlots})
	}
	t.SetEndpoints(origin, list)
	return t, list
}

func deskRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// deskChoice returns the endpoint that a request is sent to, empty for none.
func deskChoice(t *placement.Table, now time.Time, excluded ...string) string {
	tried := func(id string) bool {
		for _, x := range excluded {
			if x == id {
				return true
			}
		}
		return false
	}
	c, _ := t.Choose(now, placement.Request{Service: "desk", FirstToken: time.Second}, tried, deskRandom())
	return c.Endpoint.ID
}

func TestEndpointInBackoffIsNotChosenWhereNoOtherIsLeft(t *testing.T) {
	table, _ := deskTable("a", "b")
	table.ApplyBackoff(origin, "a", signalDelay, deskRandom())
	late := origin.Add(signalDelay - 1)
	if got := deskChoice(table, late); got != "b" {
		t.Errorf("%q is chosen", got)
	}
	if got := deskChoice(table, late, "b"); got != "" {
		t.Errorf("%q is chosen for a retry", got)
	}
	if !table.Withdraw(late, "a") || table.Withdraw(late, "b") {
		t.Error("what was placed before is not withdrawn")
	}
	table.ApplyBackoff(origin, "b", signalDelay/2, deskRandom())
	o := table.Obstacle(origin, placement.Request{Service: "desk"})
	if o.Reason != eligibility.BackedOff || o.Endpoint != "b" || o.Wait < signalDelay/2 || o.Delay != signalDelay/2 {
		t.Errorf("the obstacle is %+v", o)
	}
}

func TestBackoffEndsWithTheIncarnation(t *testing.T) {
	table, list := deskTable("a")
	table.ApplyBackoff(origin, "a", signalDelay, deskRandom())
	list[0].Born = 5
	table.SetEndpoints(origin, list)
	if got := deskChoice(table, origin); got != "a" {
		t.Errorf("%q is chosen", got)
	}
}

func TestSignalsOutlastALapsedRecord(t *testing.T) {
	table, list := deskTable("a", "b", "c")
	table.ApplyBackoff(origin, "a", signalDelay, deskRandom())
	table.ApplyDrain(origin, "b", origin)
	table.ApplyLimit(origin, "c", eligibility.LimitUpdate{PerSecond: 1, Sent: origin, Received: origin})
	table.SetEndpoints(origin, nil)
	table.SetEndpoints(origin.Add(time.Second), list)
	for _, s := range table.States(origin.Add(time.Second)) {
		if s.BackoffMS == 0 && s.DrainingMS == 0 && s.Limit == 0 {
			t.Errorf("nothing is known of %s any more", s.ID)
		}
	}
	if got := deskChoice(table, origin.Add(signalGrace), "c"); got != "" {
		t.Errorf("%q is chosen", got)
	}
}

func TestBackoffOfAnEndpointWhoseRecordHasLapsedIsKept(t *testing.T) {
	table, list := deskTable("a")
	table.SetEndpoints(origin, nil)
	table.ApplyBackoff(origin, "a", signalDelay, deskRandom())
	table.SetEndpoints(origin.Add(time.Second), list)
	if got := deskChoice(table, origin.Add(signalDelay-1)); got != "" {
		t.Errorf("%q is chosen", got)
	}
}

func TestAnnouncedDrainOfAnEndpointThatIsNotListedYetIsKept(t *testing.T) {
	table, list := deskTable()
	table.ApplyDrain(origin, "a", origin)
	table.SetEndpoints(origin.Add(time.Second), append(list, placement.Endpoint{ID: "a", Service: "desk", Slots: 1}))
	if got := deskChoice(table, origin.Add(signalGrace)); got != "" {
		t.Errorf("%q is chosen", got)
	}
}

func TestSnapshotTellsWhichEndpointsDrain(t *testing.T) {
	table, list := deskTable("a", "b")
	table.ApplyDrain(origin, "a", origin)
	table.ApplyDrain(origin, "gone", origin)
	started, _ := deskTable("a", "b")
	started.Restore(origin.Add(time.Second), table.Snapshot(origin.Add(time.Second)))
	started.SetEndpoints(origin.Add(time.Second), append(list, placement.Endpoint{ID: "gone", Service: "desk", Slots: 1}))
	if got := deskChoice(started, origin.Add(signalGrace), "b"); got != "" {
		t.Errorf("%q is chosen", got)
	}
}

func TestDrainingEndpointIsTheLastResort(t *testing.T) {
	table, list := deskTable("a", "b")
	table.ApplyDrain(origin, "a", origin)
	if got := deskChoice(table, origin); got != "b" {
		t.Errorf("%q is chosen", got)
	}
	if got := deskChoice(table, origin.Add(signalGrace-1), "b"); got != "a" {
		t.Errorf("within the grace period %q is chosen where no other is left", got)
	}
	table.SetEndpoints(origin.Add(time.Second), list) // the record is still ready
	if got := deskChoice(table, origin.Add(signalGrace), "b"); got != "" {
		t.Errorf("after the grace period %q is chosen", got)
	}
}

func TestLeavingRecordIsNotTakenBack(t *testing.T) {
	table, list := deskTable("a")
	list[0].Leaving = true
	table.SetEndpoints(origin, list)
	list[0].Leaving = false
	table.SetEndpoints(origin.Add(time.Second), list)
	if got := deskChoice(table, origin.Add(signalGrace)); got != "" {
		t.Errorf("%q is chosen", got)
	}
}

// Guards against an endpoint that no entry uses since it has refused one of them.
func TestRequestForBackoffIsNoFailure(t *testing.T) {
	table, _ := deskTable("a", "b")
	id := placement.AttemptID{Owner: 2, Number: 1}
	table.Place(origin, id, "a", placement.Request{Service: "desk"}, memory.Fetch{})
	table.End(origin, id, placement.PushedBack)
	for _, s := range table.States(origin) {
		if s.Failures != 0 {
			t.Errorf("%s has a share of failures of %g", s.ID, s.Failures)
		}
	}
}

func TestEndpointInBackoffIsNoCapacity(t *testing.T) {
	table, _ := deskTable("a", "b")
	for n := range overloadSlots {
		table.Place(origin, placement.AttemptID{Owner: 2, Number: uint64(n + 1)}, "b", placement.Request{Service: "desk"}, memory.Fetch{})
	}
	table.ApplyBackoff(origin, "a", signalDelay, deskRandom())
	c, ok := table.Choose(origin, placement.Request{Service: "desk", FirstToken: time.Second}, func(string) bool { return false }, deskRandom())
	if !ok || c.BusyShare != 1 {
		t.Errorf("found %v, a share of %g is busy", ok, c.BusyShare)
	}
}
