package peers

import (
	"fmt"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/direct/directory"
)

// ranked returns a group whose own rank is behind the given peers, which are
// alive and in contact with the source.
func ranked(now time.Time, peersBefore int) (*Group, []*peer) {
	g := &Group{name: "self", peers: map[string]*peer{}}
	var all []*peer
	for n := 0; len(all) < peersBefore; n++ {
		name := fmt.Sprint("peer-", n)
		if rankOf(name) > rankOf(g.name) {
			continue
		}
		p := &peer{name: name, owner: 1, heard: now, fresh: true, rank: rankOf(name)}
		g.peers[name] = p
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
	expectRole(t, "one before it", g.role(now), directory.Sentinel)

	g, before := ranked(now, 4)
	expectRole(t, "four before it", g.role(now), directory.Relaxed)
	for _, p := range before[:2] {
		p.lost = true
	}
	expectRole(t, "two of four have lost the source, two are to try", g.role(now), directory.Relaxed)
	before[2].lost = true
	expectRole(t, "three of four have lost it", g.role(now), directory.Substitute)
	before[2].lost = false
	before[2].asking = now
	before[2].fresh = false
	expectRole(t, "one has just begun to ask", g.role(now), directory.Relaxed)
	later := now.Add(contactFor + time.Millisecond)
	for _, p := range before {
		p.heard = later
	}
	expectRole(t, "it has asked in vain for long", g.role(later), directory.Substitute)
	before[3].heard = now.Add(-time.Minute)
	before[2].heard = now.Add(-time.Minute)
	before[1].heard = now.Add(-time.Minute)
	expectRole(t, "all but one are gone", g.role(later), directory.Sentinel)
}

func TestSentinelsGrowWithTheEntries(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const before = 5
	g, _ := ranked(now, before)
	grow := func(live int) {
		for n := 0; len(g.peers)+1 < live; n++ {
			name := fmt.Sprint("later-", n)
			if rankOf(name) > rankOf(g.name) {
				g.peers[name] = &peer{name: name, owner: 1, heard: now, rank: rankOf(name)}
			}
		}
	}
	grow(before * toldByOne)
	expectRole(t, "as many sentinels as are before it", g.role(now), directory.Relaxed)
	grow((before + 1) * toldByOne)
	expectRole(t, "one more", g.role(now), directory.Sentinel)
}

func TestSubstituteStaysForAWhile(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := &Group{}
	expectRole(t, "never needed", g.steady(now, directory.Relaxed), directory.Relaxed)
	expectRole(t, "needed", g.steady(now, directory.Substitute), directory.Substitute)
	expectRole(t, "just after", g.steady(now.Add(time.Second), directory.Relaxed), directory.Substitute)
	expectRole(t, "among the first", g.steady(now.Add(time.Second), directory.Sentinel), directory.Sentinel)
	expectRole(t, "long after", g.steady(now.Add(substituteFor), directory.Relaxed), directory.Relaxed)
}
