// Selection of relays, as seen by this process.
//
// Rule: package fanout chooses relays among the live members. Each relay that this process uses,
// or would use next, is probed every probeInterval, or every liveProbeInterval if a packet from
// it arrived within probeInterval. A relay that has not responded for probeTimeout is passed over
// until it responds.
// Inputs: the members, their probe replies, the time.
// Units: milliseconds.
// Never: a peer of an older version is a relay.

package peers

import (
	"net"
	"time"

	"foxcross.dev/coord/fanout"
)

const (
	// probeInterval is the time between two probes of a relay.
	probeInterval = 100 * time.Millisecond
	// liveProbeInterval is the same for a relay whose packets arrive: it is live, and the probe
	// only checks that packets from this process reach it. A relay is probed by all members of
	// its data centre.
	liveProbeInterval = time.Second
	// probeTimeout is how long a relay may leave probes unanswered. When a relay crashes, half
	// of the events that its data centre sends within 0.3 to 0.4 s are lost. A peer whose
	// processor quota is used up does not respond for 0.1 s.
	probeTimeout = 300 * time.Millisecond
	// planMaxAge is how long a plan is kept if no member changes.
	planMaxAge = probeInterval
)

// plan holds the destinations of this process's packets.
type plan struct {
	madeAt        time.Time
	isRelay       bool // this process relays its own events
	toRelay       []*net.UDPAddr
	local, remote []*net.UDPAddr
	probed        []string
}

// currentPlan returns the plan, recomputed if members may have changed. g.mu must be held.
func (g *Group) currentPlan(now time.Time) plan {
	if !g.planStale && now.Sub(g.plan.madeAt) < planMaxAge {
		return g.plan
	}
	g.planStale = false
	others := make([]fanout.Member, 0, len(g.members))
	for address, m := range g.members {
		if m.alive(now) && m.relayed() {
			others = append(others, fanout.Member{
				Address: address, DataCentre: m.heartbeat.DataCentre, Rank: m.rank, Silent: m.unresponsive(now),
			})
		}
	}
	self := fanout.Member{
		Address: g.address, DataCentre: g.options.DataCentre, Rank: rankOf(g.options.Name, g.options.ReadCost),
	}
	p := fanout.PlanFor(self, others)
	g.plan = plan{
		madeAt:  now,
		isRelay: p.Relays(),
		local:   g.resolve(p.Local),
		remote:  g.resolve(p.Remote),
		probed:  p.Probed,
	}
	if !p.Relays() {
		g.plan.toRelay = g.resolve([]string{p.Relay})
	}
	return g.plan
}

// resolve returns the addresses of members. g.mu must be held.
func (g *Group) resolve(keys []string) []*net.UDPAddr {
	all := make([]*net.UDPAddr, 0, len(keys))
	for _, k := range keys {
		all = append(all, g.members[k].address)
	}
	return all
}

// probeRelays probes the relays that this process uses or would use next.
func (g *Group) probeRelays(now time.Time) {
	g.mu.Lock()
	plan := g.currentPlan(now)
	probed := map[string]bool{}
	var to []*net.UDPAddr
	for _, key := range plan.probed {
		m := g.members[key]
		if m == nil {
			continue
		}
		probed[key] = true
		g.planStale = g.planStale || m.unresponsive(now)
		if m.probeNotDue(now) {
			continue
		}
		to = append(to, m.address)
		m.lastProbed = now
		if m.unansweredSince.IsZero() {
			m.unansweredSince = now
		}
	}
	for key, m := range g.members {
		if !probed[key] {
			m.unansweredSince = time.Time{} // no longer probed
		}
	}
	g.mu.Unlock()
	p := g.newPacket()
	p.Probe = probeRequest
	g.send(p, to, probeTraffic)
}

// probeNotDue reports whether no probe of a relay is due: a packet from it arrived within
// probeInterval, and it was probed within liveProbeInterval and left no probe unanswered.
func (m *member) probeNotDue(now time.Time) bool {
	return m.unansweredSince.IsZero() && now.Sub(m.lastDirect) < probeInterval && now.Sub(m.lastProbed) < liveProbeInterval
}

// replyToProbe answers a peer's probe.
func (g *Group) replyToProbe(to *net.UDPAddr) {
	p := g.newPacket()
	p.Probe = probeReply
	g.send(p, []*net.UDPAddr{to}, probeTraffic)
}
