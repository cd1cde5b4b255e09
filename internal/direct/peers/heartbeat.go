package peers

import (
	"net"
	"strings"
	"time"

	"foxcross.dev/coord/clock"
	"foxcross.dev/coord/freshness"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/steady"
)

// sendHeartbeat sends a heartbeat to the peers that receive it directly: the live peers of the
// local data centre, those of older versions, and the relays that report it. Every seedInterval
// the heartbeat names members and also goes to seeds and lost peers.
func (g *Group) sendHeartbeat(now time.Time) {
	p := g.newHeartbeatPacket(now)
	h := p.Heartbeat
	g.mu.Lock()
	h.Fence = g.fence
	g.summarizeSignals(h, now)
	g.announced = announcement{
		version: p.Version, revision: p.Revision, storeLost: h.StoreCallFailed, fence: h.Fence, evacuated: joinNames(h.Evacuated),
	}
	to := g.heartbeatRecipients(now)
	g.updateCore(now)
	core := g.keepaliveRecipients(to)
	var unreachable []*net.UDPAddr
	if now.Sub(g.seedsTriedAt) > g.seedInterval(now) {
		g.seedsTriedAt = now
		h.Members = g.sampleMembers(now, g.options.DataCentre)
		unreachable = g.unreachableAddresses(now)
	}
	g.mu.Unlock()
	p.Keepalive = true
	g.send(p, to, heartbeatTraffic)
	g.send(packet{Owner: p.Owner, Version: p.Version, Revision: p.Revision, Keepalive: true}, core, heartbeatTraffic)
	p.Keepalive = false
	h.Reply = true
	g.send(p, unreachable, heartbeatTraffic)
}

// retrySeeds contacts the seeds again while no peer is known, during discoveryPeriod: a seed
// that starts at the same time may not have been listening.
func (g *Group) retrySeeds(now time.Time) {
	if now.Sub(g.startedAt) > discoveryPeriod {
		return
	}
	g.mu.Lock()
	noMembers := len(g.members) == 0
	seeds := g.unreachableAddresses(now)
	g.mu.Unlock()
	if !noMembers {
		return
	}
	p := g.newHeartbeatPacket(now)
	p.Heartbeat.Reply = true
	g.send(p, seeds, heartbeatTraffic)
}

// newHeartbeatPacket returns a packet with the current heartbeat of this process, without its fence and
// members. The echoes are read before the claims: the receiver takes the claims as made after them.
func (g *Group) newHeartbeatPacket(now time.Time) packet {
	echoes := g.newEchoes()
	claims := g.options.Directory.Claims()
	h := g.newHeartbeat(claims)
	h.Stamp = freshness.StampAt(g.startedAt, now)
	h.Echoes = echoes
	return packet{Owner: g.options.Owner, Version: claims.Version, Revision: claims.Revision, Heartbeat: h}
}

// newEchoes returns the newest stamps of some of the peers that receive heartbeats of this process.
// Only processes that read the store or act as relays return them, since the others have no newer
// claims.
func (g *Group) newEchoes() freshness.Echoes {
	reads := g.options.Directory.ReadsStore()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !reads && !g.plan.isRelay {
		return nil
	}
	var all freshness.Echoes
	for _, m := range g.members { // in random order, so that repeated calls cover all peers
		if all.Full() {
			break
		}
		if m.stamp > 0 && m.owner != 0 {
			all = all.With(m.owner, m.stamp)
		}
	}
	return all
}

// newHeartbeat returns the current heartbeat of this process with its claims.
func (g *Group) newHeartbeat(claims directory.Claims) *heartbeat {
	d := g.options.Directory
	h := &heartbeat{
		Name:               g.options.Name,
		ConfirmedAgeMS:     ageMS(claims.Confirmed),
		StoreResponseAgeMS: ageMS(d.LastStoreContact()),
		Reading:            d.ReadsStore(),
		ReadCost:           g.options.ReadCost,
		Relayed:            true,
		DataCentre:         g.options.DataCentre,
		Informed:           g.snapshotRestored.Load() || steady.Since(g.startedAt) > discoveryPeriod,
		ClockMS:            steady.Wall().UnixMilli(),
		Presence:           true,
		Versioned:          d.Versioned(),
	}
	if at := claims.EndpointsConfirmed; !at.IsZero() {
		h.EndpointsAgeMS = steady.Since(at).Milliseconds() + 1
	}
	h.StoreCallFailed = h.Reading && !d.StoreResponds()
	evacuations := d.Evacuations()
	h.Evacuated, h.EvacuationsRevision = evacuations.DataCentres, evacuations.Revision
	return h
}

// joinNames returns the names of data centres as one string, so that announcements can be
// compared.
func joinNames(dataCentres []string) string { return strings.Join(dataCentres, ",") }

// seedInterval returns the time between two heartbeats that name members.
func (g *Group) seedInterval(now time.Time) time.Duration {
	if now.Sub(g.startedAt) < discoveryPeriod {
		return heartbeatInterval / 2 // at every heartbeat
	}
	return seedInterval
}

// heartbeatRecipients returns the addresses of the peers that receive heartbeats directly. g.mu
// must be held.
func (g *Group) heartbeatRecipients(now time.Time) []*net.UDPAddr {
	plan := g.currentPlan(now)
	to := append(g.legacyAddresses(now), plan.local...)
	if plan.isRelay {
		to = append(to, plan.remote...)
	}
	return to
}

// replyWithHeartbeat replies to a heartbeat that asks for a reply.
func (g *Group) replyWithHeartbeat(m *net.UDPAddr, dataCentre string, now time.Time) {
	p := g.newHeartbeatPacket(now)
	g.mu.Lock()
	p.Heartbeat.Fence = g.fence
	g.summarizeSignals(p.Heartbeat, now)
	p.Heartbeat.Members = g.sampleMembers(now, dataCentre)
	g.mu.Unlock()
	g.send(p, []*net.UDPAddr{m}, heartbeatTraffic)
}

// announceChanges sends a heartbeat early if an announced value has changed.
func (g *Group) announceChanges(now time.Time) {
	version, revision := g.options.Directory.Versions()
	lost := g.options.Directory.ReadsStore() && !g.options.Directory.StoreResponds()
	evacuated := joinNames(g.options.Directory.Evacuations().DataCentres)
	g.mu.Lock()
	changed := g.announced != announcement{
		version: version, revision: revision, storeLost: lost, fence: g.fence, evacuated: evacuated,
	}
	g.mu.Unlock()
	if changed {
		g.sendHeartbeat(now)
	}
}

// applyHeartbeat records the content of a peer's heartbeat. g.mu must be held.
func (g *Group) applyHeartbeat(m *member, h *heartbeat, now time.Time) {
	if h.ClockMS > 0 {
		g.clock.Observe(m.lastSeen, clock.Source(m.owner), time.UnixMilli(h.ClockMS))
	}
	m.rank = rankOf(h.Name, h.ReadCost)
	m.remote = h.Relayed && h.DataCentre != g.options.DataCentre
	m.heartbeat = *h
	m.heartbeat.Members = nil
	m.heartbeat.Echoes = nil
	m.heartbeat.Reply = false
	if m.name != h.Name {
		g.planStale = true
		m.name = h.Name
		log.With("peer", h.Name).With("address", m.address.String()).Info("Discovered a peer.")
	}
	m.storeResponded = h.StoreResponseAgeMS >= 0 && h.StoreResponseAgeMS <= storeTimeout.Milliseconds()
	m.storeLost = h.StoreCallFailed
	switch {
	case !h.Reading:
		m.readingSince = time.Time{}
	case m.readingSince.IsZero():
		m.readingSince = now
	}
	for _, a := range h.Members {
		g.addSeed(a)
	}
}
