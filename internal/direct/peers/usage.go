// Usage reports to the duty holder.
//
// Rule: the holder sends its fence in its heartbeats; the live peer with the highest fence holds
// the duties. A peer sends its request counts directly to the holder and to the peers that read
// the store, one of which will be the next holder. So these have the counts of a peer that
// crashes.
// Inputs: heartbeats, the time.
// Units: bytes of a datagram.
// Never: peers agree on the holder; the platform's store decides, and checks each write.

package peers

import (
	"net"
	"time"

	"foxcross.dev/coord/clock"
	"foxcross.dev/coord/duty"
	"foxcross.dev/foxcross/internal/steady"
)

const (
	// maxUsageRecipients bounds the peers that receive a process's counts: the holder, the
	// readers, and some standbys.
	maxUsageRecipients = 4
	// teamCountOverhead is the approximate size of a team's count in a datagram, without its
	// name, in bytes.
	teamCountOverhead = 5
)

// usage is a peer's statement of the requests that it counted.
type usage struct {
	ThroughMS int64        `cbor:"1,keyasint"` // true time, in ms since 1970, up to which all requests are counted
	Windows   []usageCount `cbor:"2,keyasint,omitempty"`
}

// usageCount holds the counts of one window, or some of them.
type usageCount struct {
	Window int64            `cbor:"1,keyasint"`
	Total  int64            `cbor:"2,keyasint"` // of all teams
	Counts map[string]int64 `cbor:"3,keyasint,omitempty"`
}

// statement converts the usage to a statement of its owner.
func (u *usage) statement(owner uint64) duty.Statement {
	s := duty.Statement{Owner: owner, Through: time.UnixMilli(u.ThroughMS)}
	for _, w := range u.Windows {
		s.Windows = append(s.Windows, duty.WindowCounts{Window: duty.Window(w.Window), Total: w.Total, Counts: w.Counts})
	}
	return s
}

// teamCount is one team's count in a window.
type teamCount struct {
	window   duty.WindowCounts
	team     string
	requests int64
}

// splitUsage splits a statement into parts, each of which fits into a datagram. It returns one
// part if nothing was counted.
func splitUsage(s duty.Statement) []usage {
	var all []sized[teamCount]
	for _, w := range s.Windows {
		for team, n := range w.Counts {
			all = append(all, sized[teamCount]{teamCount{w, team, n}, len(team) + teamCountOverhead})
		}
	}
	through := s.Through.UnixMilli()
	var parts []usage
	for _, part := range splitDatagrams(all) {
		parts = append(parts, usage{ThroughMS: through, Windows: groupByWindow(part)})
	}
	if len(parts) == 0 {
		return []usage{{ThroughMS: through}}
	}
	return parts
}

// groupByWindow groups counts by window. The counts of a window must be adjacent.
func groupByWindow(counts []teamCount) []usageCount {
	var all []usageCount
	for _, c := range counts {
		window := int64(c.window.Window)
		if len(all) == 0 || all[len(all)-1].Window != window {
			all = append(all, usageCount{Window: window, Total: c.window.Total, Counts: map[string]int64{}})
		}
		all[len(all)-1].Counts[c.team] = c.requests
	}
	return all
}

// SendUsage sends this process's counts to the peers that may hold the duties.
func (g *Group) SendUsage(s duty.Statement) {
	to := g.usageRecipients(steady.Now())
	if len(to) == 0 {
		return
	}
	for _, part := range splitUsage(s) {
		p := g.newPacket()
		p.Usage = &part
		g.send(p, to, usageTraffic)
	}
}

// usageRecipients returns the addresses of the holder and of peers that read the store.
func (g *Group) usageRecipients(now time.Time) []*net.UDPAddr {
	g.mu.Lock()
	defer g.mu.Unlock()
	var to []*net.UDPAddr
	holder, _ := g.holder(now)
	if holder != nil {
		to = append(to, holder.address)
	}
	for _, m := range g.members {
		if m != holder && m.alive(now) && m.heartbeat.Reading && len(to) < maxUsageRecipients {
			to = append(to, m.address)
		}
	}
	return to
}

// holder returns the live member that holds the duties, and its fence. The member is nil if this
// process holds them, or no peer does. g.mu must be held.
func (g *Group) holder(now time.Time) (*member, uint64) {
	var found *member
	fence := g.fence
	for _, m := range g.members {
		if m.alive(now) && m.heartbeat.Fence > fence {
			found, fence = m, m.heartbeat.Fence
		}
	}
	return found, fence
}

// Holder returns the highest fence with which a live peer holds the duties, 0 for none, and
// whether that is another peer.
func (g *Group) Holder() (fence uint64, other bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, fence := g.holder(steady.Now())
	return fence, m != nil
}

// SetFence sets the fence with which this process holds the duties, 0 if it does not. It is sent
// to other peers.
func (g *Group) SetFence(fence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fence = fence
}

// Owners returns the incarnations of the live peers, including this process.
func (g *Group) Owners() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := []uint64{g.options.Owner}
	now := steady.Now()
	for _, m := range g.members {
		if m.alive(now) && m.owner != 0 {
			all = append(all, m.owner)
		}
	}
	return all
}

// TrueTime returns the true time at a reading of the steady clock, estimated from the clocks of
// this process and its peers. It returns false before the first heartbeat.
func (g *Group) TrueTime(steady time.Time) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, ok := g.clock.Now(steady)
	return now, ok
}

// observeLocalClock adds the wall clock of this process to the estimate of the true time.
func (g *Group) observeLocalClock(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clock.Observe(now, clock.Source(0), steady.Wall())
}
