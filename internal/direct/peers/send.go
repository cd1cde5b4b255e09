package peers

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Tell sends a note to all live entries, a moment later together with others.
func (g *Group) Tell(n Note) {
	n.at = time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.notes) >= maxNotes {
		return // the others learn less of this entry's work
	}
	g.notes = append(g.notes, n)
	if len(g.notes) > 1 {
		return
	}
	select {
	case g.noted <- struct{}{}:
	default:
	}
}

// flush sends the notes that have gathered.
func (g *Group) flush(now time.Time) {
	g.mu.Lock()
	notes := g.notes
	g.notes = nil
	to := g.targets(now)
	g.mu.Unlock()
	if len(to) == 0 {
		return
	}
	p := g.packet()
	size := 0
	for _, n := range notes {
		n.AgeMS = now.Sub(n.at).Milliseconds()
		data, err := cbor.Marshal(n)
		if err != nil {
			continue
		}
		if size+len(data) > maxPacket && len(p.Notes) > 0 {
			g.send(p, to)
			p.Notes = nil
			size = 0
		}
		p.Notes = append(p.Notes, n)
		size += len(data)
	}
	if len(p.Notes) > 0 {
		g.send(p, to)
	}
}

// members returns the addresses of some live entries as text. Over time all are
// named, since a map is read in no fixed order. The group is locked.
func (g *Group) members(now time.Time) []string {
	var all []string
	for a, p := range g.peers {
		if len(all) == maxNamed {
			break
		}
		if p.alive(now) {
			all = append(all, a)
		}
	}
	return all
}

// targets returns the addresses of the live entries. The group is locked.
func (g *Group) targets(now time.Time) []*net.UDPAddr {
	var all []*net.UDPAddr
	for _, p := range g.peers {
		if p.alive(now) {
			all = append(all, p.to)
		}
	}
	return all
}

func (g *Group) packet() packet {
	version, revision := g.book.Versions()
	return packet{Owner: g.owner, Version: version, Revision: revision}
}

func (g *Group) send(p packet, to []*net.UDPAddr) {
	data, err := cbor.Marshal(p)
	if err != nil {
		log.Errorf("A packet can't be encoded: %v.", err)
		return
	}
	for _, a := range to {
		_, _ = g.socket.WriteToUDP(data, a) // a lost datagram is as good as an unsent one
	}
}

// sendHeartbeat tells all live entries, and now and then others, of this one.
func (g *Group) sendHeartbeat(now time.Time) {
	p := g.packet()
	asking := g.book.Asking()
	lost := asking && !g.book.Following()
	h := &heartbeat{
		Name:      g.name,
		ConfirmMS: age(g.book.Confirmed()),
		SourceMS:  age(g.book.Contact()),
		Asking:    asking,
		Lost:      lost,
	}
	p.Heartbeat = h
	g.mu.Lock()
	g.told = told{version: p.Version, revision: p.Revision, lost: lost}
	h.Leaving = g.leaving
	to := g.targets(now)
	if now.Sub(g.seeded) > seedEvery {
		g.seeded = now
		h.Members = g.members(now)
		to = append(to, g.strangers(now)...)
	}
	g.mu.Unlock()
	g.send(p, to)
}

// tellChanges sends a heartbeat ahead of its time where there is news.
func (g *Group) tellChanges(now time.Time) {
	version, revision := g.book.Versions()
	lost := g.book.Asking() && !g.book.Following()
	g.mu.Lock()
	news := g.told != told{version: version, revision: revision, lost: lost}
	g.mu.Unlock()
	if news {
		g.sendHeartbeat(now)
	}
}

// strangers returns seeds and lost entries, to be tried now and then. The group
// is locked.
func (g *Group) strangers(now time.Time) []*net.UDPAddr {
	var all []*net.UDPAddr
	for _, s := range g.seeds {
		if g.peers[s] != nil || s == g.address {
			continue
		}
		if a, err := net.ResolveUDPAddr("udp4", s); err == nil {
			all = append(all, a)
		}
	}
	for _, p := range g.peers {
		if !p.alive(now) {
			all = append(all, p.to)
		}
	}
	return all
}
