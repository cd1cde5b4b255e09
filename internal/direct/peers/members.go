package peers

import (
	"context"
	"net"
	"time"

	"foxcross.dev/coord/rendezvous"
	"foxcross.dev/foxcross/internal/direct/directory"
)

// Entries that ask the source.
const (
	minSentinels = 2
	toldByOne    = 16 // entries that one of them tells of changes, at the most

	contactFor = 1300 * time.Millisecond // one that the source hasn't answered for so long is replaced

	substituteFor = 3 * time.Second // after it was last needed
)

// peer is another entry.
type peer struct {
	owner  uint64
	name   string // empty before its first heartbeat
	to     *net.UDPAddr
	heard  time.Time
	ahead  time.Time // since when it knows something newer, zero for not
	asking time.Time // since when it asks the source, zero for not
	fresh  bool      // the source had answered a late call of it, at its last heartbeat
	lost   bool      // the source did not answer its last call
	rank   uint64    // among those that may ask the source
}

func (p *peer) alive(now time.Time) bool { return now.Sub(p.heard) < aliveFor }

// fails tells whether the entry asks the source and is not answered.
func (p *peer) fails(now time.Time) bool {
	if p.lost {
		return true
	}
	return !p.asking.IsZero() && now.Sub(p.asking) > contactFor && !p.fresh
}

// rankOf orders the entries that may be sentinels, alike at all of them.
func rankOf(name string) uint64 {
	return rendezvous.Rank(rendezvous.Hash("sentinel"), rendezvous.Hash(name))
}

// role tells what this entry is to do. The first live entries by rank ask the
// source. One after them asks it while too few of those before it are answered
// or have yet to try.
func (g *Group) role(now time.Time) directory.Role {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := rankOf(g.name)
	live, before, failing := 1, 0, 0
	for _, p := range g.peers {
		if !p.alive(now) || p.name == "" {
			continue
		}
		live++
		if p.rank >= own {
			continue
		}
		before++
		if p.fails(now) {
			failing++
		}
	}
	sentinels := max(minSentinels, live/toldByOne)
	switch {
	case before < sentinels:
		return directory.Sentinel
	case before-failing < sentinels:
		return directory.Substitute
	default:
		return directory.Relaxed
	}
}

// steady returns the role to take: a substitute stays one for a while, since
// those before it may fail by turns.
func (g *Group) steady(now time.Time, r directory.Role) directory.Role {
	switch {
	case r == directory.Substitute:
		g.substitute = now
	case r == directory.Relaxed && now.Sub(g.substitute) < substituteFor:
		return directory.Substitute
	}
	return r
}

// expire forgets what lost entries had placed, and after long them as well.
func (g *Group) expire(now time.Time) {
	var lost []uint64
	g.mu.Lock()
	for a, p := range g.peers {
		if !p.alive(now) && p.owner != 0 {
			log.With("peer", p.name).Info("Another entry is not heard any more.")
			lost = append(lost, p.owner)
			p.owner = 0
		}
		if now.Sub(p.heard) > forgetAfter {
			delete(g.peers, a)
		}
	}
	g.mu.Unlock()
	for _, owner := range lost {
		g.listener.Lost(owner)
	}
}

// catchUp asks an entry that has been ahead for a while.
func (g *Group) catchUp(ctx context.Context, now time.Time) {
	patience := fetchSoon
	if g.book.Asking() && g.book.Following() {
		patience = fetchLate
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fetching {
		return
	}
	for a, p := range g.peers {
		if p.ahead.IsZero() || now.Sub(p.ahead) < patience || !p.alive(now) {
			continue
		}
		p.ahead = time.Time{}
		g.fetching = true
		go g.fetchFrom(ctx, a)
		return
	}
}

// fetchFrom reads the state of a peer.
func (g *Group) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	g.fetch(ctx, address)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fetching = false
}
