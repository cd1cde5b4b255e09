// Who is a member of the group.
//
// Rule: an entry is live while it was heard within aliveFor; one that is not is told
// to the listener as gone, and forgotten after forgetAfter. An entry that is heard
// with a new incarnation has ended its earlier one. Entries are met through the seeds
// of the settings, which are tried every seedInterval, and through the members that
// others name.
// Inputs: datagrams with their senders' addresses, the time.
// Never: membership is not agreed on; each entry has its own view.

package peers

import (
	"net"
	"slices"
	"time"
)

const (
	// aliveFor is how long after its last datagram an entry counts as live: four
	// heartbeats are lost in a row. Chosen, not measured.
	aliveFor = 1200 * time.Millisecond
	// forgetAfter is how long a lost entry is still tried. Chosen, not measured.
	forgetAfter = time.Minute
	// seedInterval is the time between two tries of the seeds and lost entries, and
	// between two heartbeats that name members: EXPERIMENTS 23.
	seedInterval = time.Second
	// maxMembers bounds the entries that are remembered. Chosen, not measured: above
	// the 620 nodes of docs/CAPACITY.md.
	maxMembers = 1024
	// maxNamed is how many live entries one heartbeat names, at random: FINDINGS,
	// "sweep at 300 machines".
	maxNamed = 16
)

// member is another entry.
type member struct {
	owner        uint64 // its incarnation, 0 after it was lost
	name         string // empty before its first heartbeat
	address      *net.UDPAddr
	lastHeard    time.Time
	version      uint64 // of its settings
	revision     uint64 // of its endpoints
	leads        [parts]lead
	readingSince time.Time // it reads the store, zero for not
	inContact    bool      // at its last heartbeat the store had answered it lately
	storeLost    bool      // the store did not answer its last call
	rank         rank      // among those that may read the store
}

func (m *member) alive(now time.Time) bool { return now.Sub(m.lastHeard) < aliveFor }

// Live returns the number of live entries, this one included.
func (g *Group) Live() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	now := time.Now()
	for _, m := range g.members {
		if m.alive(now) {
			n++
		}
	}
	return n
}

// expire tells the listener of lost entries, and forgets those that were lost long
// ago.
func (g *Group) expire(now time.Time) {
	var gone []uint64
	g.mu.Lock()
	for address, m := range g.members {
		if !m.alive(now) && m.owner != 0 {
			log.With("peer", m.name).Info("An entry is lost: nothing was heard of it.")
			gone = append(gone, m.owner)
			m.owner = 0
		}
		if now.Sub(m.lastHeard) > forgetAfter {
			delete(g.members, address)
		}
	}
	g.mu.Unlock()
	for _, owner := range gone {
		g.options.Listener.MemberGone(owner)
	}
}

// meet finds or adds the sender of a packet. It returns its earlier incarnation if
// that has ended, else 0; no member if there are too many. The group is locked.
func (g *Group) meet(p packet, from *net.UDPAddr, now time.Time) (m *member, ended uint64) {
	key := from.String()
	m = g.members[key]
	if m == nil {
		if len(g.members) >= maxMembers {
			return nil, 0
		}
		m = &member{address: from}
		g.members[key] = m
	}
	if m.owner != p.Owner {
		ended = m.owner
		*m = member{address: from, owner: p.Owner}
	}
	m.lastHeard = now
	return m, ended
}

// learn adds an entry that another one names to the seeds. The group is locked.
func (g *Group) learn(address string) {
	if address == g.address || g.members[address] != nil || len(g.members) >= maxMembers || slices.Contains(g.seeds, address) {
		return
	}
	g.seeds = append(g.seeds, address)
	if len(g.seeds) > maxMembers {
		g.seeds = g.seeds[1:]
	}
}

// liveAddresses returns the addresses of the live entries. The group is locked.
func (g *Group) liveAddresses(now time.Time) []*net.UDPAddr {
	var all []*net.UDPAddr
	for _, m := range g.members {
		if m.alive(now) {
			all = append(all, m.address)
		}
	}
	return all
}

// named returns the addresses of some live entries as text. Over time all are
// named, since a map is read in random order. The group is locked.
func (g *Group) named(now time.Time) []string {
	var all []string
	for address, m := range g.members {
		if len(all) == maxNamed {
			break
		}
		if m.alive(now) {
			all = append(all, address)
		}
	}
	return all
}

// notLive returns the addresses of seeds that never answered and of lost entries.
// The group is locked.
func (g *Group) notLive(now time.Time) []*net.UDPAddr {
	var all []*net.UDPAddr
	for _, s := range g.seeds {
		if g.members[s] != nil || s == g.address {
			continue
		}
		a, err := net.ResolveUDPAddr("udp4", s)
		if err != nil {
			log.With("address", s).With("reason", err.Error()).Limited("seed", "A seed is not an address and is left out.")
			continue
		}
		all = append(all, a)
	}
	for _, m := range g.members {
		if !m.alive(now) {
			all = append(all, m.address)
		}
	}
	return all
}
