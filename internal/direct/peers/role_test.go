package peers

import (
	"fmt"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/direct/directory"
)

// ranked returns a group whose own rank is behind the given peers, which are
// alive and in contact with the source.
func ranked(now time.Time, membersBefore int) (*Group, []*member) {
	g := &Group{options: Options{Name: "self"}, members: map[string]*member{}}
	var all []*member
	for n := 0; len(all) < membersBefore; n++ {
		name := fmt.Sprint("peer-", n)
		if rankOf(g.options.Name, 0).before(rankOf(name, 0)) {
			continue
		}
		p := &member{name: name, owner: 1, lastHeard: now, inContact: true, rank: rankOf(name, 0)}
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
	g, _ := ranked(now, 1)
	expectRole(t, "one before it", g.role(now), directory.Reader)

	g, before := ranked(now, 4)
	expectRole(t, "four before it", g.role(now), directory.Follower)
	for _, p := range before[:2] {
		p.storeLost = true
	}
	expectRole(t, "two of four have lost the source, two are to try", g.role(now), directory.Follower)
	before[2].storeLost = true
	expectRole(t, "three of four have lost it", g.role(now), directory.Standby)
	before[2].storeLost = false
	before[2].readingSince = now
	before[2].inContact = false
	expectRole(t, "one has just begun to ask", g.role(now), directory.Follower)
	later := now.Add(contactFor + time.Millisecond)
	for _, p := range before {
		p.lastHeard = later
	}
	expectRole(t, "it has asked in vain for long", g.role(later), directory.Standby)
	before[3].lastHeard = now.Add(-time.Minute)
	before[2].lastHeard = now.Add(-time.Minute)
	before[1].lastHeard = now.Add(-time.Minute)
	expectRole(t, "all but one are gone", g.role(later), directory.Reader)
}

func TestReadersGrowWithTheEntries(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const before = 5
	g, _ := ranked(now, before)
	grow := func(live int) {
		for n := 0; len(g.members)+1 < live; n++ {
			name := fmt.Sprint("later-", n)
			if rankOf(g.options.Name, 0).before(rankOf(name, 0)) {
				g.members[name] = &member{name: name, owner: 1, lastHeard: now, rank: rankOf(name, 0)}
			}
		}
	}
	grow(before * entriesPerReader)
	expectRole(t, "as many readers as are before it", g.role(now), directory.Follower)
	grow((before + 1) * entriesPerReader)
	expectRole(t, "one more", g.role(now), directory.Reader)
}

// TestThinEntriesReadLast has entries of thin links before this one by name, but not by
// what reading costs them.
func TestThinEntriesReadLast(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const wideMbps, thinMbps, wideShare, thinShare = 200, 10, 0.8, 0.144
	g, before := ranked(now, 4)
	g.options.ReadCost = ReadCost(wideMbps, wideShare)
	for _, m := range before {
		m.rank = rankOf(m.name, ReadCost(thinMbps, thinShare))
	}
	expectRole(t, "four thin ones", g.role(now), directory.Reader)
	for _, m := range before[:minReaders] {
		m.rank = rankOf(m.name, ReadCost(wideMbps, wideShare))
	}
	expectRole(t, "two like it are before it", g.role(now), directory.Follower)
	g.options.ReadCost = ReadCost(thinMbps, thinShare)
	for _, m := range before {
		m.rank = rankOf(m.name, ReadCost(wideMbps, wideShare))
	}
	expectRole(t, "thin among wide ones", g.role(now), directory.Follower)
	if cost := ReadCost(0, thinShare); cost != 0 {
		t.Errorf("a link that is not known costs %d ms", cost)
	}
}

func TestStandbyStaysForAWhile(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := &Group{}
	expectRole(t, "never needed", g.steadyRole(now, directory.Follower), directory.Follower)
	expectRole(t, "needed", g.steadyRole(now, directory.Standby), directory.Standby)
	expectRole(t, "just after", g.steadyRole(now.Add(time.Second), directory.Follower), directory.Standby)
	expectRole(t, "among the first", g.steadyRole(now.Add(time.Second), directory.Reader), directory.Reader)
	expectRole(t, "long after", g.steadyRole(now.Add(standbyFor), directory.Follower), directory.Follower)
}
