// Who reads the platform's store.
//
// Rule: the first live entries by rank are readers, at least minReaders and one for
// each entriesPerReader; the others are told by them. An entry after them becomes a
// standby and reads too while too few of those before it are answered by the store or
// have yet to try; it stays one for standbyFor after it was last needed.
// Inputs: the live members, whether each reads the store and is answered, the time.
// Units: entries.
// Never: entries do not agree on it; two views that differ cost some calls, not
// correctness.
// Measured: docs/EXPERIMENTS.md 20 (two readers), docs/FINDINGS.md "sweep at 300
// machines" (one for sixteen).

package peers

import (
	"time"

	"foxcross.dev/coord/rendezvous"
	"foxcross.dev/foxcross/internal/direct/directory"
)

const (
	// minReaders is how many entries read the store at least: one may fail.
	// EXPERIMENTS 20.
	minReaders = 2
	// entriesPerReader is how many entries one reader tells at the most. FINDINGS,
	// "sweep at 300 machines".
	entriesPerReader = 16
	// contactFor is how long a reader may go without an answer of the store before it
	// counts as failing. Chosen, not measured: a watch of 0.7 s and its slack.
	contactFor = 1300 * time.Millisecond
	// standbyFor is how long a standby stays one after it was last needed. Chosen, not
	// measured: those before it may fail in turns.
	standbyFor = 3 * time.Second
)

// readerRank orders the entries that may be readers, alike at all of them. The key's
// text is part of the protocol: entries of other versions use it too.
func readerRank(name string) uint64 {
	return rendezvous.Rank(rendezvous.Hash("sentinel"), rendezvous.Hash(name))
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
	own := readerRank(g.options.Name)
	live, before, failing := 1, 0, 0
	for _, m := range g.members {
		if !m.alive(now) || m.name == "" {
			continue
		}
		live++
		if m.rank >= own {
			continue
		}
		before++
		if m.fails(now) {
			failing++
		}
	}
	readers := max(minReaders, live/entriesPerReader)
	switch {
	case before < readers:
		return directory.Reader
	case before-failing < readers:
		return directory.Standby
	default:
		return directory.Follower
	}
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
