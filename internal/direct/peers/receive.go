package peers

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foxcross.dev/foxcross/internal/steady"
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
		if err := cbor.Unmarshal(buffer[:n], &p); err != nil {
			log.With("address", from.String()).With("reason", err.Error()).Limited("packet", "A datagram can't be read and is left out.")
			continue
		}
		if !g.isForeign(p.Owner) {
			continue
		}
		g.take(p, from)
	}
}

// take learns from a packet.
func (g *Group) take(p packet, from *net.UDPAddr) {
	now := steady.Now()
	version, revision := g.options.Directory.Versions()
	g.mu.Lock()
	m, ended := g.meet(p, from, now)
	if m == nil {
		g.mu.Unlock()
		log.With("address", from.String()).Limited("members", "There are too many entries; one is left out.")
		return
	}
	m.directAt = now
	g.noteAhead(m, p, version, revision, now)
	if p.Heartbeat != nil {
		g.takeHeartbeat(m, p.Heartbeat, now)
	}
	if p.Question == answered {
		m.askedAt = time.Time{}
	}
	replaced := g.takeReports(p, m, version, revision, now)
	g.takePresence(p, m, now)
	g.spreadTold(p, m, now)
	told := g.takeSections(p, m, now)
	g.mu.Unlock()
	if p.Question == asked {
		g.answerTo(from)
	}
	if h := p.Heartbeat; h != nil && h.Reply {
		g.replyTo(from, h.DataCentre, now)
	}
	g.options.Directory.SettingsTold(p.Version)
	g.takeEvacuations(p)
	for _, owner := range append(replaced, ended) {
		if owner != 0 {
			g.options.Listener.MemberGone(owner)
		}
	}
	if h := p.Heartbeat; h != nil && h.ConfirmMS >= 0 && p.Version == version {
		g.options.Directory.Confirm(version, since(now, h.ConfirmMS))
	}
	if p.Usage != nil && g.options.TakeUsage != nil {
		g.options.TakeUsage(p.Usage.statement(p.Owner))
	}
	if len(p.Events) > 0 {
		g.tellListener(p.Owner, p.Events, 0)
	}
	for _, s := range told {
		g.tellListener(s.Owner, s.decode(), s.HeldMS)
	}
}

// takeEvacuations takes in what a packet says of evacuated data centres, of its sender or of
// those that a relay tells of.
func (g *Group) takeEvacuations(p packet) {
	if p.Heartbeat != nil {
		g.options.Directory.TakeEvacuations(p.Heartbeat.evacuations(), "peer")
	}
	for n := range p.Reports {
		g.options.Directory.TakeEvacuations(p.Reports[n].Heartbeat.evacuations(), "peer")
	}
}

// tellListener hands over events of an entry that relays held for a time.
func (g *Group) tellListener(owner uint64, events []Event, heldMS int64) {
	for n := range events {
		events[n].AgeMS = min(max(events[n].AgeMS+heldMS, 0), MaxEventAge.Milliseconds())
	}
	g.options.Listener.TakeEvents(owner, events)
}
