package peers

import (
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// receive takes in datagrams until the socket is closed.
func (g *Group) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.socket.ReadFromUDP(buffer)
		if err != nil {
			return // closed
		}
		var p packet
		if err := cbor.Unmarshal(buffer[:n], &p); err != nil || p.Owner == 0 || p.Owner == g.owner {
			continue
		}
		g.take(p, from)
	}
}

// take learns from a packet.
func (g *Group) take(p packet, from *net.UDPAddr) {
	now := time.Now()
	version, revision := g.book.Versions()
	g.mu.Lock()
	other, lost := g.meet(p, from, now)
	if other == nil {
		g.mu.Unlock()
		return
	}
	g.compare(other, p.Version > version || p.Revision > revision, now)
	if p.Heartbeat != nil {
		g.takeHeartbeat(other, p.Heartbeat, now)
	}
	g.mu.Unlock()
	if lost != 0 {
		g.listener.Lost(lost)
	}
	if h := p.Heartbeat; h != nil && h.ConfirmMS >= 0 && p.Version == version {
		g.book.Confirm(version, since(now, h.ConfirmMS))
	}
	if len(p.Notes) > 0 {
		for n := range p.Notes {
			p.Notes[n].AgeMS = min(max(p.Notes[n].AgeMS, 0), maxNoteAge.Milliseconds())
		}
		g.listener.Heard(p.Owner, p.Notes)
	}
}

// compare notes whether a peer knows something newer. The group is locked.
func (g *Group) compare(other *peer, ahead bool, now time.Time) {
	switch {
	case !ahead:
		other.ahead = time.Time{}
	case other.ahead.IsZero():
		other.ahead = now
		select {
		case g.news <- struct{}{}:
		default:
		}
	}
}

// takeHeartbeat learns what an entry says of itself. The group is locked.
func (g *Group) takeHeartbeat(other *peer, h *heartbeat, now time.Time) {
	if other.name != h.Name {
		other.name = h.Name
		other.rank = rankOf(h.Name)
		log.With("peer", h.Name).With("address", other.to.String()).Info("Another entry is heard.")
	}
	other.fresh = h.SourceMS >= 0 && h.SourceMS <= contactFor.Milliseconds()
	other.lost = h.Lost
	switch {
	case !h.Asking:
		other.asking = time.Time{}
	case other.asking.IsZero():
		other.asking = now
	}
	for _, a := range h.Members {
		g.learn(a)
	}
}

// meet finds or adds the sender. It returns its earlier life if that has ended.
// The group is locked.
func (g *Group) meet(p packet, from *net.UDPAddr, now time.Time) (*peer, uint64) {
	key := from.String()
	other := g.peers[key]
	if other == nil {
		if len(g.peers) >= maxPeers {
			return nil, 0
		}
		other = &peer{to: from}
		g.peers[key] = other
	}
	lost := uint64(0)
	if other.owner != p.Owner {
		lost = other.owner
		*other = peer{to: from, owner: p.Owner}
	}
	other.heard = now
	return other, lost
}

// learn adds an entry that another one knows. The group is locked.
func (g *Group) learn(address string) {
	if address == g.address || g.peers[address] != nil || len(g.peers) >= maxPeers || slices.Contains(g.seeds, address) {
		return
	}
	g.seeds = append(g.seeds, address)
	if len(g.seeds) > maxPeers {
		g.seeds = g.seeds[1:]
	}
}
