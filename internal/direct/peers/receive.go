package peers

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foxcross.dev/coord/freshness"
	"foxcross.dev/foxcross/internal/steady"
)

// receive handles datagrams until the socket is closed.
func (g *Group) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.socket.ReadFromUDP(buffer)
		if err != nil {
			return // closed
		}
		var p packet
		if err := cbor.Unmarshal(buffer[:n], &p); err != nil {
			log.With("address", from.String()).With("reason", err.Error()).WarnLimited("packet", "Dropping a datagram that can't be decoded.")
			continue
		}
		if !g.isOtherOwner(p.Owner) {
			continue
		}
		g.handlePacket(p, from)
	}
}

// handlePacket applies the content of a packet.
func (g *Group) handlePacket(p packet, from *net.UDPAddr) {
	now := steady.Now()
	local := g.localParts()
	g.mu.Lock()
	m, ended := g.findOrAddMember(p, from, now)
	if m == nil {
		g.mu.Unlock()
		log.With("address", from.String()).WarnLimited("members", "Ignoring a peer: there are too many members.")
		return
	}
	m.lastDirect = now
	if p.Keepalive {
		m.lastKeepalive = now
	}
	g.updateVersions(m, p, local, now)
	if p.Heartbeat != nil {
		g.applyHeartbeat(m, p.Heartbeat, now)
		g.compareSignals(m, p.Heartbeat, now)
		m.stamp = max(m.stamp, p.Heartbeat.Stamp)
	}
	if p.Probe == probeReply {
		m.unansweredSince = time.Time{}
	}
	replaced := g.receiveReports(p, m, local, now)
	g.applyPresence(p, m, now)
	g.relayReports(p, m, now)
	late := g.lateSections(p, m, now)
	fresh := g.receiveSections(p, m, now)
	g.mu.Unlock()
	if p.Probe == probeRequest {
		g.replyToProbe(from)
	}
	if h := p.Heartbeat; h != nil && h.Reply {
		g.replyWithHeartbeat(from, h.DataCentre, now)
	}
	g.options.Directory.SettingsAnnounced(p.Version)
	g.applyEvacuations(p)
	for _, owner := range append(replaced, ended) {
		if owner != 0 {
			g.options.Listener.MemberGone(owner)
		}
	}
	g.applyClaims(p, now)
	if p.Usage != nil && g.options.HandleUsage != nil {
		g.options.HandleUsage(p.Usage.statement(p.Owner))
	}
	if len(p.Events) > 0 {
		g.notifyListener(p.Owner, p.Events, 0)
	}
	for _, s := range fresh {
		g.notifyListener(s.Owner, s.decode(), s.RelayedMS)
	}
	for _, s := range late {
		g.options.Listener.HandleLateEvents(s.Owner, s.decode())
	}
}

// applyClaims records how new the sender's settings and list of endpoints were when it composed its
// heartbeat.
func (g *Group) applyClaims(p packet, now time.Time) {
	if p.Heartbeat == nil {
		return
	}
	composedAfter, known := p.Heartbeat.Echoes.ComposedAfter(g.options.Owner, g.startedAt, now)
	if !known {
		return
	}
	if at, claimed := freshness.NewestAt(composedAfter, p.Heartbeat.ConfirmedAgeMS); claimed {
		g.options.Directory.Confirm(p.Version, at)
	}
	if at, claimed := freshness.NewestAt(composedAfter, p.Heartbeat.EndpointsAgeMS-1); claimed {
		g.options.Directory.ConfirmEndpoints(p.Revision, at)
	}
}

// applyEvacuations applies the evacuated data centres named by the sender of a packet or by the
// members that it reports.
func (g *Group) applyEvacuations(p packet) {
	if p.Heartbeat != nil {
		g.options.Directory.ApplyEvacuations(p.Heartbeat.evacuations(), "peer")
	}
	for n := range p.Reports {
		g.options.Directory.ApplyEvacuations(p.Reports[n].Heartbeat.evacuations(), "peer")
	}
}

// notifyListener passes events of a peer to the listener, with the time spent in relays added to
// their ages.
func (g *Group) notifyListener(owner uint64, events []Event, heldMS int64) {
	for n := range events {
		events[n].AgeMS = min(max(events[n].AgeMS+heldMS, 0), MaxEventAge.Milliseconds())
	}
	g.recordSignals(owner, events)
	g.options.Listener.HandleEvents(owner, events)
}
