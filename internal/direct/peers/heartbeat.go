package peers

import "time"

// sendHeartbeat tells all live entries of this one; every seedInterval it names
// members and goes to seeds and lost entries as well.
func (g *Group) sendHeartbeat(now time.Time) {
	p := g.newPacket()
	h := &heartbeat{
		Name:      g.options.Name,
		ConfirmMS: age(g.options.Directory.Confirmed()),
		ContactMS: age(g.options.Directory.LastContact()),
		Reading:   g.options.Directory.ReadsStore(),
		ReadCost:  g.options.ReadCost,
	}
	h.StoreLost = h.Reading && !g.options.Directory.Following()
	p.Heartbeat = h
	g.mu.Lock()
	g.announced = announcement{version: p.Version, revision: p.Revision, storeLost: h.StoreLost}
	to := g.liveAddresses(now)
	if now.Sub(g.seededAt) > seedInterval {
		g.seededAt = now
		h.Members = g.named(now)
		to = append(to, g.notLive(now)...)
	}
	g.mu.Unlock()
	g.send(p, to)
}

// announceChanges sends a heartbeat ahead of its time if what was announced has
// changed.
func (g *Group) announceChanges(now time.Time) {
	version, revision := g.options.Directory.Versions()
	lost := g.options.Directory.ReadsStore() && !g.options.Directory.Following()
	g.mu.Lock()
	changed := g.announced != announcement{version: version, revision: revision, storeLost: lost}
	g.mu.Unlock()
	if changed {
		g.sendHeartbeat(now)
	}
}

// takeHeartbeat learns what an entry says of itself. The group is locked.
func (g *Group) takeHeartbeat(m *member, h *heartbeat, now time.Time) {
	m.rank = rankOf(h.Name, h.ReadCost)
	if m.name != h.Name {
		m.name = h.Name
		log.With("peer", h.Name).With("address", m.address.String()).Info("An entry was met.")
	}
	m.inContact = h.ContactMS >= 0 && h.ContactMS <= contactFor.Milliseconds()
	m.storeLost = h.StoreLost
	switch {
	case !h.Reading:
		m.readingSince = time.Time{}
	case m.readingSince.IsZero():
		m.readingSince = now
	}
	for _, a := range h.Members {
		g.learn(a)
	}
}
