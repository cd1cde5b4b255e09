package peers

import (
	"fmt"
	"testing"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
)

// newRankedGroup returns a group that ranks behind the given number of members, which are live
// and get responses from the store.
func newRankedGroup(now time.Time, membersBefore int) (*Group, []*member) {
	g := &Group{options: Options{Name: "self"}, members: map[string]*member{}}
	var all []*member
	for n := 0; len(all) < membersBefore; n++ {
		name := fmt.Sprint("peer-", n)
		if rankOf(g.options.Name, 0).Before(rankOf(name, 0)) {
			continue
		}
		p := &member{name: name, owner: 1, lastSeen: now, storeResponded: true, rank: rankOf(name, 0)}
		g.members[name] = p
		all = append(all, p)
	}
	return g, all
}

func expectRole(t *testing.T, when string, got, want directory.Role) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %v, want %v", when, got, want)
	}
}

func TestRole(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g, _ := newRankedGroup(now, 1)
	expectRole(t, "one member before it", g.roleByRank(now), directory.Reader)

	g, before := newRankedGroup(now, 4)
	expectRole(t, "four members before it", g.roleByRank(now), directory.Follower)
	for _, p := range before[:2] {
		p.storeLost = true
	}
	expectRole(t, "two of four get no response from the store, two may try", g.roleByRank(now), directory.Follower)
	before[2].storeLost = true
	expectRole(t, "three of four get no response", g.roleByRank(now), directory.Standby)
	before[2].storeLost = false
	before[2].readingSince = now
	before[2].storeResponded = false
	expectRole(t, "one has just started to read", g.roleByRank(now), directory.Follower)
	later := now.Add(storeTimeout + time.Millisecond)
	for _, p := range before {
		p.lastSeen = later
	}
	expectRole(t, "it got no response within storeTimeout", g.roleByRank(later), directory.Standby)
	before[3].lastSeen = now.Add(-time.Minute)
	before[2].lastSeen = now.Add(-time.Minute)
	before[1].lastSeen = now.Add(-time.Minute)
	expectRole(t, "all but one are gone", g.roleByRank(later), directory.Reader)
}

// TestStandbysTryOneAfterTheOther covers a store that responds to no peer: few peers try at the same
// time, and the others one after the other.
func TestStandbysTryOneAfterTheOther(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, before := range []int{readerCount, immediateStandbys, immediateStandbys + 1, 100} {
		g, all := newRankedGroup(now, before)
		for _, m := range all {
			m.storeLost = true
		}
		at := now
		for g.roleByRank(at) != directory.Standby {
			at = at.Add(heartbeatInterval)
			for _, m := range all {
				m.lastSeen = at
			}
		}
		if late, due := at.Sub(now), standbyDelay(before); late < due || late > due+heartbeatInterval {
			t.Errorf("behind %d members it tries after %v, want %v", before, late, due)
		}
	}
}

// TestReaderCountIsIndependentOfGroupSize checks that more peers do not mean more readers: what
// one reads spreads from peer to peer, so more readers would only cost calls to the store.
func TestReaderCountIsIndependentOfGroupSize(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, before := range []int{1, 2, 100, 619} {
		g, _ := newRankedGroup(now, before)
		want := directory.Follower
		if before < readerCount {
			want = directory.Reader
		}
		expectRole(t, fmt.Sprint(before, " members before it"), g.roleByRank(now), want)
	}
}

func TestRoleAtStart(t *testing.T) {
	startedAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	start := func(o Options) *Group {
		o.Name = "self"
		d := directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
		d.SetRole(directory.Follower)
		o.Directory = d
		return &Group{options: o, members: map[string]*member{}, startedAt: startedAt}
	}
	seeds := []string{"other"}
	expectRole(t, "it has no seeds", start(Options{}).currentRole(startedAt), directory.Reader)
	expectRole(t, "it is a seed", start(Options{Seed: true, Seeds: seeds}).currentRole(startedAt), directory.Reader)
	first := start(Options{Seeds: seeds, FirstStart: true})
	expectRole(t, "first start of the fleet", first.currentRole(startedAt.Add(firstStartWait-1)), directory.Follower)
	expectRole(t, "first start, no peers found", first.currentRole(startedAt.Add(firstStartWait)), directory.Starter)

	g := start(Options{Seeds: seeds})
	expectRole(t, "seeds may still respond", g.currentRole(startedAt.Add(startWait-1)), directory.Follower)
	later := startedAt.Add(startWait)
	expectRole(t, "no seed responded", g.currentRole(later), directory.Starter)
	g.members["met"] = &member{name: "met", owner: 2, lastSeen: later}
	expectRole(t, "a known peer may still respond", g.currentRole(later), directory.Follower)
	delete(g.members, "met")
	d := g.options.Directory.(*directory.Directory)
	d.ApplySettings(3, settings.NewTree(map[string]settings.Node{"": {}}), "test")
	d.ReplaceEndpoints(driver.Endpoints{Revision: 5}, "test")
	expectRole(t, "it has read once and knows no peers", g.currentRole(later), directory.Follower)
	expectRole(t, "it still knows no peers", g.currentRole(startedAt.Add(isolatedWait)), directory.Reader)
	reader := &member{name: "reader", owner: 1, lastSeen: later, readingSince: later, storeResponded: true, rank: rankOf("reader", 1)}
	g.members["reader"] = reader
	expectRole(t, "another peer reads", g.currentRole(later), directory.Follower)
	reader.storeLost = true
	expectRole(t, "the other peer gets no response", g.currentRole(later), directory.Reader)
	reader.storeLost = false
	d.SetRole(directory.Reader)
	expectRole(t, "both read, it ranks first", g.currentRole(later), directory.Reader)
	reader.rank = rankOf("reader", -1)
	expectRole(t, "both read, the other ranks first", g.currentRole(later), directory.Follower)
	d.SetRole(directory.Follower)
	settled := startedAt.Add(discoveryPeriod)
	reader.lastSeen = settled
	expectRole(t, "discovery is over, it ranks second", g.currentRole(settled), directory.Reader)
}

// TestPeersWithThinLinksReadLast has members with thin links that come before this process by
// name, but not by read cost.
func TestPeersWithThinLinksReadLast(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const wideMbps, thinMbps, wideShare, thinShare = 200, 10, 0.8, 0.144
	g, before := newRankedGroup(now, 4)
	g.options.ReadCost = ReadCost(wideMbps, wideShare)
	for _, m := range before {
		m.rank = rankOf(m.name, ReadCost(thinMbps, thinShare))
	}
	expectRole(t, "four members with thin links", g.roleByRank(now), directory.Reader)
	for _, m := range before[:readerCount] {
		m.rank = rankOf(m.name, ReadCost(wideMbps, wideShare))
	}
	expectRole(t, "two equal members before it", g.roleByRank(now), directory.Follower)
	g.options.ReadCost = ReadCost(thinMbps, thinShare)
	for _, m := range before {
		m.rank = rankOf(m.name, ReadCost(wideMbps, wideShare))
	}
	expectRole(t, "thin link among wide ones", g.roleByRank(now), directory.Follower)
	if cost := ReadCost(0, thinShare); cost != 0 {
		t.Errorf("an unknown link costs %d ms", cost)
	}
}

func TestStandbyIsHeld(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := &Group{}
	expectRole(t, "never needed", g.holdStandby(now, directory.Follower), directory.Follower)
	expectRole(t, "needed", g.holdStandby(now, directory.Standby), directory.Standby)
	expectRole(t, "just after it was needed", g.holdStandby(now.Add(time.Second), directory.Follower), directory.Standby)
	expectRole(t, "ranked as a reader", g.holdStandby(now.Add(time.Second), directory.Reader), directory.Reader)
	expectRole(t, "after standbyDuration", g.holdStandby(now.Add(standbyDuration), directory.Follower), directory.Follower)
}
