// Keepalives between the peers that may read the platform's store.
//
// Rule: the first coreSize live peers by rank send each other a packet every heartbeatInterval,
// whatever their data centres: a heartbeat where they exchange heartbeats, else a small packet. A
// peer whose keepalives stop for keepaliveTimeout counts as one that does not read the store
// (role.go), long before it counts as lost (member.go). If it still lives, the cost is a standby
// for standbyDuration.
// Inputs: the live members and their ranks, when keepalives arrived, pauses of this process.
// Units: peers, times.
// Never: a peer that has sent no keepalives, as those of older versions, counts as silent; the
// membership depends on keepalives.

package peers

import (
	"net"
	"slices"
	"time"
)

const (
	// coreSize is the number of peers that exchange keepalives: those that become a standby without
	// delay. Any one of them that is left takes over from the others.
	coreSize = immediateStandbys + 1
	// keepaliveTimeout is how long keepalives may be missing: three lost in a row and some delay.
	keepaliveTimeout = 3*heartbeatInterval + 100*time.Millisecond
	// keepaliveMemory is how long a peer without keepalives counts as silent. It then counts as
	// lost, or no longer regards this process as one of the core.
	keepaliveMemory = 2 * remoteMemberTimeout
)

// silent reports whether the keepalives of a peer have stopped. resumedAt is when this process last
// resumed after a pause, in which it received none.
func (m *member) silent(now, resumedAt time.Time) bool {
	if m.lastKeepalive.IsZero() || now.Sub(m.lastKeepalive) > keepaliveMemory {
		return false
	}
	return now.Sub(m.lastKeepalive) > keepaliveTimeout && now.Sub(resumedAt) > keepaliveTimeout
}

// updateCore updates the peers with which this process exchanges keepalives. g.mu must be held.
func (g *Group) updateCore(now time.Time) {
	g.core = g.core[:0]
	own := rankOf(g.options.Name, g.options.ReadCost)
	var others []*member
	before := 0
	for _, m := range g.members {
		if !m.alive(now) || m.name == "" {
			continue
		}
		if m.rank.Before(own) {
			before++
		}
		others = append(others, m)
	}
	if before >= coreSize {
		return
	}
	slices.SortFunc(others, func(a, b *member) int { return a.rank.Compare(b.rank) })
	g.core = append(g.core, others[:min(len(others), coreSize-1)]...)
}

// inCore reports whether this process exchanges keepalives.
func (g *Group) inCore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.core) > 0
}

// keepaliveRecipients returns the addresses of the core that receive no heartbeat. g.mu must be held.
func (g *Group) keepaliveRecipients(heartbeats []*net.UDPAddr) []*net.UDPAddr {
	var all []*net.UDPAddr
	for _, m := range g.core {
		if !slices.ContainsFunc(heartbeats, func(a *net.UDPAddr) bool { return sameAddress(a, m.address) }) {
			all = append(all, m.address)
		}
	}
	return all
}
