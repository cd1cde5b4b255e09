// Membership of the group.
//
// Rule: a peer in the local data centre is live if a packet from it arrived within
// memberTimeout. A peer in another data centre is live if a relay reported it within
// remoteMemberTimeout. A peer that is not live is reported to the listener as gone and removed
// after removeAfter. A packet with a new incarnation ends the peer's previous incarnation. Peers
// are discovered through the seeds in the settings, which are contacted every seedInterval, and
// through the members named by other peers.
// Inputs: datagrams with their source addresses, the time.
// Never: peers agree on the membership; each has its own view.

package peers

import (
	"net"
	"slices"
	"time"

	"foxcross.dev/coord/fanout"
	"foxcross.dev/coord/freshness"
	"foxcross.dev/foxcross/internal/steady"
)

const (
	// memberTimeout is how long a peer counts as live after its last datagram: the time of four
	// lost heartbeats in a row.
	memberTimeout = 1200 * time.Millisecond
	// remoteMemberTimeout is the same for a peer in another data centre, which two relays report
	// alternately: memberTimeout plus one lost report.
	remoteMemberTimeout = memberTimeout + 2*reportInterval
	// removeAfter is how long a lost peer is still contacted.
	removeAfter  = time.Minute
	seedInterval = time.Second
	// maxMembers bounds the number of known peers. It is above the 620 nodes of
	// docs/CAPACITY.md.
	maxMembers      = 1024
	maxNamedMembers = 16
	// discoveryPeriod is how long after its start a process names members in each heartbeat:
	// peers that start at the same time know only the seeds.
	discoveryPeriod = 3 * time.Second
)

// member is the state of one other peer.
type member struct {
	owner              uint64      // incarnation, 0 once lost
	lastOwner          uint64      // incarnation when it was lost
	initialRecordsSent bool        // this process has sent it the records of other data centres
	signalsAheadSince  time.Time   // since when it has signals that this process lacks, zero for none
	recordSends        recordSends // what this process, as a relay, has sent about it to other data centres
	name               string      // empty before its first heartbeat
	address            *net.UDPAddr
	remote             bool      // in another data centre
	heartbeat          heartbeat // the most recent one
	lastSeen           time.Time // by this process, or by a relay that reported it
	version            uint64    // of its settings
	revision           uint64    // of its list of endpoints
	aheadStates        [partCount]aheadState
	readingSince       time.Time   // since when it reads the store, zero if it does not
	storeResponded     bool        // the store had responded to it within storeTimeout before its last heartbeat
	storeLost          bool        // its last call to the store failed
	rank               fanout.Rank // among the peers that may read the store or act as relays
	unansweredSince    time.Time   // time of the first unanswered probe, zero for none
	lastProbed         time.Time   // time of the last probe
	lastDirect         time.Time   // time of the last packet from the peer itself
	lastKeepalive      time.Time   // time of the last keepalive, zero if it has sent none
	stamp              freshness.Stamp
}

// incarnation returns the incarnation of the peer, including that of a lost peer.
func (m *member) incarnation() uint64 {
	if m.owner == 0 {
		return m.lastOwner
	}
	return m.owner
}

func (m *member) alive(now time.Time) bool {
	if m.remote {
		return now.Sub(m.lastSeen) < remoteMemberTimeout
	}
	return now.Sub(m.lastSeen) < memberTimeout
}

// relayed reports whether relays forward events to the peer.
func (m *member) relayed() bool { return m.heartbeat.Relayed }

// unresponsive reports whether the peer has left probes unanswered for longer than probeTimeout.
func (m *member) unresponsive(now time.Time) bool {
	return !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) > probeTimeout
}

// Live returns the number of live peers, including this process.
func (g *Group) Live() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	now := steady.Now()
	for _, m := range g.members {
		if m.alive(now) {
			n++
		}
	}
	return n
}

// MemberCounts returns the number of live peers, and the number of known peers: live ones and lost
// ones that have not been removed, which may still be sending requests. Both include this
// process, and neither includes a peer before its first heartbeat.
func (g *Group) MemberCounts() (live, known int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	live, known = 1, 1
	now := steady.Now()
	for _, m := range g.members {
		if m.name == "" {
			continue
		}
		known++
		if m.alive(now) {
			live++
		}
	}
	return live, known
}

// expireMembers reports lost peers to the listener and removes those lost for longer than
// removeAfter.
func (g *Group) expireMembers(now time.Time) {
	var goneOwners []uint64
	g.mu.Lock()
	for address, m := range g.members {
		if !m.alive(now) && m.owner != 0 {
			log.With("peer", m.name).Info("Peer lost: no heartbeat received.")
			goneOwners = append(goneOwners, m.owner)
			delete(g.replayWindows, m.owner)
			m.lastOwner = m.owner
			m.owner = 0
			g.planStale = true
		}
		if now.Sub(m.lastSeen) > removeAfter {
			delete(g.members, address)
		}
	}
	g.mu.Unlock()
	for _, owner := range goneOwners {
		g.options.Listener.MemberGone(owner)
	}
}

// findOrAddMember returns the member that sent a packet, adding it if it is new. It returns the
// member's previous incarnation if that has ended, else 0. The member is nil if there are
// already maxMembers. g.mu must be held.
func (g *Group) findOrAddMember(p packet, from *net.UDPAddr, now time.Time) (m *member, ended uint64) {
	key := from.String()
	m = g.members[key]
	if m == nil {
		if len(g.members) >= maxMembers {
			return nil, 0
		}
		m = &member{address: from}
		g.members[key] = m
	}
	if m.owner == 0 && m.lastOwner == p.Owner {
		m.owner = p.Owner // a lost peer is back
		g.planStale = true
	}
	if m.owner != p.Owner {
		ended = m.owner
		delete(g.replayWindows, ended)
		*m = member{address: from, owner: p.Owner}
		g.planStale = true
	}
	m.lastSeen = now
	return m, ended
}

// addSeed adds an address named by another peer to the seeds. g.mu must be held.
func (g *Group) addSeed(address string) {
	if address == g.address || g.members[address] != nil || len(g.members) >= maxMembers || slices.Contains(g.seeds, address) {
		return
	}
	g.seeds = append(g.seeds, address)
	if len(g.seeds) > maxMembers {
		g.seeds = g.seeds[1:]
	}
}

// legacyAddresses returns the addresses of the live peers of older versions, which each process
// sends its events to directly. g.mu must be held.
func (g *Group) legacyAddresses(now time.Time) []*net.UDPAddr {
	var all []*net.UDPAddr
	for _, m := range g.members {
		if m.alive(now) && m.name != "" && !m.relayed() {
			all = append(all, m.address)
		}
	}
	return all
}

// sampleMembers returns the addresses of some live peers, those of the given data centre first.
// The iteration order of the map is random, so repeated calls cover all peers. g.mu must be
// held.
func (g *Group) sampleMembers(now time.Time, dataCentre string) []string {
	var local, remote []string
	for address, m := range g.members {
		switch {
		case !m.alive(now):
		case m.heartbeat.DataCentre == dataCentre:
			local = append(local, address)
		case len(remote) < maxNamedMembers:
			remote = append(remote, address)
		}
	}
	local = local[:min(len(local), maxNamedMembers*3/4)] // leaves slots for other data centres
	return append(local, remote[:min(len(remote), maxNamedMembers-len(local))]...)
}

// unreachableAddresses returns the addresses of seeds that have not responded yet and of some
// lost peers. g.mu must be held.
func (g *Group) unreachableAddresses(now time.Time) []*net.UDPAddr {
	var all []*net.UDPAddr
	for _, s := range g.seeds {
		if g.members[s] != nil || s == g.address {
			continue
		}
		a, err := net.ResolveUDPAddr("udp4", s)
		if err != nil {
			log.With("address", s).With("reason", err.Error()).WarnLimited("seed", "Ignoring a seed with an invalid address.")
			continue
		}
		all = append(all, a)
	}
	lost := 0
	for _, m := range g.members {
		if !m.alive(now) && lost < maxNamedMembers {
			lost++
			all = append(all, m.address)
		}
	}
	return all
}
