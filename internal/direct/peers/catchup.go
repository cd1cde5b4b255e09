// Fetching of newer settings or endpoints from another peer.
//
// Rule: a fetch goes to a live peer that has been ahead, by version of the settings or revision
// of the endpoints, for fetchDelay. While this process reads the store itself and gets
// responses, the delay is readerFetchDelay, since the store then delivers updates sooner. There is no delay
// while this process has no version yet. Of several peers that are ahead the one with the least
// recent request is chosen. Peers in other data centres count as asked remoteFetchDelay later,
// so that an update that a whole data centre lacks crosses between data centres once. Each part
// has at most one fetch at a time; neither waits for the other. A peer from which a fetch brought nothing
// newer is asked again after a delay that doubles, so that requests do not keep a busy peer from its work.
// Inputs: the versions in packets, the time.
// Never: an older version replaces a newer one (package directory); a fetch that makes progress
// is cancelled, since the next fetch requests changes relative to its result.

package peers

import (
	"context"
	"time"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"
)

// Part identifies what a fetch transfers.
type Part int

// The parts. Endpoints are few and urgent; settings may be megabytes.
const (
	EndpointsPart Part = iota
	SettingsPart
	partCount // number of parts
)

// String returns the part's name as used on the wire.
func (p Part) String() string {
	if p == EndpointsPart {
		return "endpoints"
	}
	return "settings"
}

const (
	// fetchDelay is how long another peer must be ahead before it is asked, so that updates
	// already in transit arrive first.
	fetchDelay = 40 * time.Millisecond
	// readerFetchDelay is the same while the store responds to this process. It is above the wait
	// of a watch.
	readerFetchDelay = 900 * time.Millisecond
	// remoteFetchDelay is how much longer a peer in another data centre must be ahead, unless
	// this process is a relay. The relays of the local data centre have the update by then.
	remoteFetchDelay = 200 * time.Millisecond
	// minRefetchDelay and maxRefetchDelay bound the delay after a fetch that brought nothing newer. The
	// longest is a fifth of the time in which settings must apply.
	minRefetchDelay = 50 * time.Millisecond
	maxRefetchDelay = 400 * time.Millisecond
)

// aheadState records since when a peer has been ahead in one part, and when the part was last
// requested from it.
type aheadState struct {
	since        time.Time // zero while it is not ahead
	requestedAt  time.Time
	refetchDelay time.Duration // after the last fetch, zero if that brought something newer
	refetchAt    time.Time
}

// recordFetch records the end of a fetch, and returns the delay until the next one from the peer.
func (s *aheadState) recordFetch(now time.Time, newer bool) time.Duration {
	if newer {
		s.refetchDelay = 0
		return 0
	}
	s.refetchDelay = min(max(2*s.refetchDelay, minRefetchDelay), maxRefetchDelay)
	s.refetchAt = now.Add(s.refetchDelay)
	return s.refetchDelay
}

// localParts is what this process has of each part.
type localParts struct {
	version   uint64 // of the settings
	revision  uint64 // of the list of endpoints
	versioned bool   // the list has the versions of the endpoints' software
}

// differs reports whether a part is not the same as before.
func (l localParts) differs(p Part, before localParts) bool {
	if p == EndpointsPart {
		return l.revision != before.revision || l.versioned != before.versioned
	}
	return l.version != before.version
}

// localParts returns what this process has. The directory calls back with its lock held, so that it
// must not be called with g.mu held.
func (g *Group) localParts() localParts {
	version, revision := g.options.Directory.Versions()
	return localParts{version: version, revision: revision, versioned: g.options.Directory.Versioned()}
}

// isAhead reports whether the peer has a newer version of a part, or the versions of endpoints that
// this process lacks at the same revision.
func (m *member) isAhead(p Part, l localParts) bool {
	if p == EndpointsPart {
		return m.revision > l.revision || !l.versioned && m.heartbeat.Versioned && m.revision == l.revision
	}
	return m.version > l.version
}

// updateVersions records a peer's versions and whether they are newer than those of this
// process. g.mu must be held.
func (g *Group) updateVersions(m *member, p packet, local localParts, now time.Time) {
	m.version = p.Version
	m.revision = p.Revision
	for part := range partCount {
		l := &m.aheadStates[part]
		switch {
		case !m.isAhead(part, local):
			l.since = time.Time{}
		case l.since.IsZero():
			l.since = now
			workers.Signal(g.memberAhead)
		}
	}
}

// catchUp fetches each part from a peer that has been ahead for long enough.
func (g *Group) catchUp(ctx context.Context, now time.Time) {
	d := g.options.Directory
	delay := fetchDelay
	if d.ReadsStore() && d.StoreResponds() {
		delay = readerFetchDelay
	}
	local := g.localParts()
	g.mu.Lock()
	defer g.mu.Unlock()
	for part := range partCount {
		if g.fetching[part] {
			continue
		}
		m := g.fetchSource(part, delay, local, now)
		if m == nil {
			continue
		}
		m.aheadStates[part].requestedAt = now
		g.fetching[part] = true
		go g.fetchFrom(ctx, m, m.address.String(), part, local)
	}
}

// fetchSource returns the peer to fetch a part from, nil for none. g.mu must be held.
func (g *Group) fetchSource(p Part, delay time.Duration, local localParts, now time.Time) *member {
	isRelay := g.currentPlan(now).isRelay
	known := local.version > 0
	if p == EndpointsPart {
		known = local.revision > 0
	}
	var best *member
	for _, m := range g.members {
		l := m.aheadStates[p]
		wait := delay
		switch {
		case !known && l.requestedAt.IsZero():
			wait = 0
		case m.remote && !isRelay:
			wait += remoteFetchDelay
		}
		if !m.alive(now) || !m.isAhead(p, local) || l.since.IsZero() || now.Sub(l.since) < wait || now.Before(l.refetchAt) {
			continue
		}
		if best == nil || m.fetchOrder(p).Before(best.fetchOrder(p)) {
			best = m
		}
	}
	return best
}

// fetchOrder returns the time by which fetch sources are ordered: that of the last request for a
// part.
func (m *member) fetchOrder(p Part) time.Time {
	at := m.aheadStates[p].requestedAt
	if m.remote {
		at = at.Add(remoteFetchDelay)
	}
	return at
}

// fetchFrom fetches a part from a peer at an address. Other peers may still be ahead afterwards: the fetch
// may have failed, or newer versions may exist. before is what this process had when the fetch began.
func (g *Group) fetchFrom(ctx context.Context, m *member, address string, p Part, before localParts) {
	g.options.Fetch(ctx, address, p)
	newer := g.localParts().differs(p, before)
	g.mu.Lock()
	g.fetching[p] = false
	delay := m.aheadStates[p].recordFetch(steady.Now(), newer)
	g.mu.Unlock()
	workers.Signal(g.memberAhead)
	if delay > 0 {
		steady.AfterFunc(delay, func() { workers.Signal(g.memberAhead) })
	}
}
