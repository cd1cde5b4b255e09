package fanout_test

import (
	"fmt"
	"slices"
	"testing"

	"foxcross.dev/coord/fanout"
	"foxcross.dev/coord/rendezvous"

	"pgregory.net/rapid"
)

func member(name, centre string) fanout.Member {
	return fanout.Member{Address: name, DataCentre: centre, Rank: fanout.Rank{Hash: rendezvous.Hash(name)}}
}

// membersOf returns the given number of members in each data centre.
func membersOf(sizes ...int) []fanout.Member {
	var all []fanout.Member
	for centre, size := range sizes {
		for n := range size {
			all = append(all, member(fmt.Sprintf("%c%d", 'a'+centre, n), fmt.Sprintf("%c", 'a'+centre)))
		}
	}
	return all
}

// plans returns the plan of each member, by address.
func plans(all []fanout.Member) map[string]fanout.Plan {
	byAddress := map[string]fanout.Plan{}
	for n, m := range all {
		others := slices.Concat(all[:n], all[n+1:])
		byAddress[m.Address] = fanout.PlanFor(m, others)
	}
	return byAddress
}

// broadcast sends a message of one member to all others. It returns how many copies each receives,
// and how many copies are sent between data centres.
func broadcast(from string, all []fanout.Member, byAddress map[string]fanout.Plan) (received map[string]int, crossings int) {
	received = map[string]int{}
	relay := from
	if r := byAddress[from].Relay; r != "" {
		relay = r
	}
	received[relay]++
	for _, a := range byAddress[relay].Local {
		received[a]++
	}
	for _, a := range byAddress[relay].Remote {
		crossings++
		received[a]++
		for _, b := range byAddress[a].Local {
			received[b]++
		}
	}
	return received, crossings
}

// TestEachMemberReceivesOneCopy checks that, if all have the same view of the members, each receives
// one copy, and one copy is sent into each other data centre, whatever the sizes.
func TestEachMemberReceivesOneCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 20), 1, 7).Draw(t, "sizes")
		all := membersOf(sizes...)
		byAddress := plans(all)
		from := all[rapid.IntRange(0, len(all)-1).Draw(t, "from")].Address
		received, crossings := broadcast(from, all, byAddress)
		for _, m := range all {
			if received[m.Address] != 1 {
				t.Fatalf("%s receives %d copies from %s", m.Address, received[m.Address], from)
			}
		}
		if crossings != len(sizes)-1 {
			t.Fatalf("%d copies are sent between %d data centres", crossings, len(sizes))
		}
	})
}

func TestSilentRelaysAreSkipped(t *testing.T) {
	all := membersOf(6, 6)
	self := all[0]
	others := all[1:]
	before := fanout.PlanFor(self, others)
	silent := slices.Clone(others)
	for n := range silent {
		silent[n].Silent = silent[n].Address == before.Remote[0]
	}
	after := fanout.PlanFor(self, silent)
	if after.Remote[0] == before.Remote[0] {
		t.Errorf("the silent relay %s is still a recipient", before.Remote[0])
	}
	if after.Relays() && !slices.Contains(after.Probed, before.Remote[0]) {
		t.Errorf("the silent relay is no longer probed: %v", after.Probed)
	}
	for n := range silent {
		silent[n].Silent = true
	}
	if none := fanout.PlanFor(self, silent); len(none.Remote) != 1 || none.Relay != "" {
		t.Errorf("plan among silent members: %+v, want it to relay itself, and one remote relay", none)
	}
}

func TestSingleMember(t *testing.T) {
	p := fanout.PlanFor(member("a", "x"), nil)
	if !p.Relays() || len(p.Local)+len(p.Remote)+len(p.Probed) > 0 {
		t.Errorf("plan of a single member: %+v", p)
	}
}

// TestRelaysHaveLowestCost checks that the members with the lowest transfer cost are relays.
func TestRelaysHaveLowestCost(t *testing.T) {
	all := membersOf(8)
	for n := range all {
		all[n].Rank.Cost = 300
	}
	all[5].Rank.Cost, all[6].Rank.Cost = 40, 40
	for address, p := range plans(all) {
		if p.Relays() != (address == "a5" || address == "a6") {
			t.Errorf("%s is a relay: %v", address, p.Relays())
		}
	}
}

// TestRecipientsOfMember checks that the copies that one member sends and receives do not grow with
// the number of data centres, except for a relay's one copy into each.
func TestRecipientsOfMember(t *testing.T) {
	for _, centres := range []int{2, 6, 13} {
		sizes := slices.Repeat([]int{17}, centres)
		for address, p := range plans(membersOf(sizes...)) {
			if len(p.Local) != 16 || len(p.Remote) != centres-1 {
				t.Fatalf("%s of %d data centres sends to %d local and %d remote members", address, centres, len(p.Local), len(p.Remote))
			}
			if !p.Relays() && len(p.Probed) > 2 {
				t.Fatalf("%s probes %d members", address, len(p.Probed))
			}
		}
	}
}
