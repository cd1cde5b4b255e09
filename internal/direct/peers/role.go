// Who reads the platform's store.
//
// Rule: the first live entries by rank are readers, however many there are; the others
// are told by them. Entries whose link and processor take in large settings the fastest
// come first, and a hash of the name decides among equals. An entry after them becomes a
// standby and reads too while too few of those before it are answered by the store or
// have yet to try; it stays one for standbyFor after it was last needed.
// An entry that starts is told by others: it reads nothing for startWait, unless it is one
// of the seeds that all others try, and for meetingTime nothing while it hears of another
// one that reads and is answered. So of entries that start together few read.
// Inputs: the live members, what reading costs each, whether it reads the store and is
// answered, the seeds, the time.
// Units: entries.
// Never: entries do not agree on it; two views that differ cost some calls, not
// correctness.
// Measured: docs/EXPERIMENTS.md 20 (two readers).

package peers

import (
	"time"

	"foxcross.dev/coord/fanout"
	"foxcross.dev/coord/rendezvous"
	"foxcross.dev/foxcross/internal/direct/directory"
)

const (
	// readers is how many entries read the store: one may fail. What they read spreads
	// from entry to entry, so that more of them tell nobody sooner. EXPERIMENTS 20.
	readers = 2
	// startWait is how long an entry that starts waits for others to tell it. Chosen, not
	// measured: a seed that lives answers within some 10 ms, one that starts at the same
	// time within 300.
	startWait = 300 * time.Millisecond
	// contactFor is how long a reader may go without an answer of the store before it
	// counts as failing. Chosen, not measured: a watch of 0.7 s and its slack.
	contactFor = 1300 * time.Millisecond
	// standbyFor is how long a standby stays one after it was last needed. Chosen, not
	// measured: those before it may fail in turns.
	standbyFor = 3 * time.Second
)

// rankOf returns the rank of an entry, alike at all of them. The key's text is part of the
// protocol: entries of other versions use it too.
func rankOf(name string, cost int) fanout.Rank {
	return fanout.Rank{Cost: cost, Hash: rendezvous.Rank(rendezvous.Hash("sentinel"), rendezvous.Hash(name))}
}

const (
	// referenceMegabits is a large version of the settings on the wire: a megabyte.
	referenceMegabits = 8
	// referenceMS is the processor time, on a whole core, to read and compile it. By
	// BenchmarkRecompile and the reading of a configuration some 40 ms for 4,000 routes.
	referenceMS = 40
	// maxReadCost is the cost where link or processor are next to nothing, in ms.
	maxReadCost = 1_000_000
)

// ReadCost estimates the time, in ms, that an entry takes for a large version of the
// settings, by its link in 10^6 bits a second and its share of a core. It is 0, for not
// known, where either is not known. With it thin entries read the store only where there
// are no others: over 10 Mbit/s the store's form of 1 MB takes 1.1 s, over 200 Mbit/s
// 0.06 s, and what they pass on is compressed.
func ReadCost(linkMbps, processor float64) int {
	if linkMbps <= 0 || processor <= 0 {
		return 0
	}
	ms := referenceMegabits*1000/linkMbps + referenceMS/processor
	return int(min(ms, maxReadCost))
}

// fails tells whether the entry reads the store and is not answered.
func (m *member) fails(now time.Time) bool {
	if m.storeLost {
		return true
	}
	return !m.readingSince.IsZero() && now.Sub(m.readingSince) > contactFor && !m.inContact
}

// role returns what this entry is to do now.
func (g *Group) role(now time.Time) directory.Role {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := rankOf(g.options.Name, g.options.ReadCost)
	before, failing := 0, 0
	for _, m := range g.members {
		if !m.alive(now) || m.name == "" {
			continue
		}
		if !m.rank.Before(own) {
			continue
		}
		before++
		if m.fails(now) {
			failing++
		}
	}
	switch {
	case before < readers:
		return directory.Reader
	case before-failing < readers:
		return directory.Standby
	default:
		return directory.Follower
	}
}

// dueRole returns the role of this entry now.
func (g *Group) dueRole(now time.Time) directory.Role {
	r := g.steadyRole(now, g.role(now))
	if r != directory.Follower && g.isTold(now) {
		return directory.Follower
	}
	return r
}

// isTold tells whether this entry has started so lately that it waits for others.
func (g *Group) isTold(now time.Time) bool {
	life := now.Sub(g.began)
	if life < startWait {
		return !g.options.Seed && len(g.options.Seeds) > 0
	}
	if life > meetingTime || g.options.Directory.ReadsStore() {
		return false // one that reads goes on, or nobody would
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.alive(now) && !m.readingSince.IsZero() && m.inContact && !m.fails(now) {
			return true
		}
	}
	return false
}

// steadyRole keeps a standby for a while.
func (g *Group) steadyRole(now time.Time, r directory.Role) directory.Role {
	switch {
	case r == directory.Standby:
		g.standbySince = now
	case r == directory.Follower && now.Sub(g.standbySince) < standbyFor:
		return directory.Standby
	}
	return r
}
