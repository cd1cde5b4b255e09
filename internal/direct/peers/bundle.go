// Forwarding of events by relays.
//
// Rule: a process collects its events for flushDelay into sections and sends them to its relay.
// The relay forwards them to the members of its data centre and to one relay of each other data
// centre, which forwards them to its own members. A relay also collects sections for flushDelay,
// so that those of many peers share a datagram. A repeated section is dropped.
// Inputs: datagrams of members, the plan (relay.go), the time.
// Units: bytes of a datagram, sections.
// Never: a section from another data centre is forwarded to a third; a datagram that waited in
// the socket while this process was stopped is forwarded as new.

package peers

import (
	"net"
	"time"

	"foxcross.dev/foxcross/internal/workers"

	"github.com/fxamacker/cbor/v2"
)

const (
	// sectionOverhead is the encoded size of a section without its events, in bytes: three
	// numbers and their headers.
	sectionOverhead = 24
	// maxRelayQueue bounds the sections queued for forwarding. At 1,000 requests a second 24
	// arrive in flushDelay.
	maxRelayQueue = 1024
	// maxReplayWindows bounds the owners whose repeated sections are detected: every member,
	// with its previous and its current incarnation.
	maxReplayWindows = 2 * maxMembers
	// pauseThreshold is how long this process must have been stopped for datagrams in its socket
	// to count as stale. A processor quota stops a process for less.
	pauseThreshold = 300 * time.Millisecond
	// drainDelay is how long after a pause stale datagrams are still read from the socket.
	drainDelay = 50 * time.Millisecond
)

// relayQueue holds the sections that a relay has received and not yet forwarded.
type relayQueue struct {
	toAll []section // of peers in the local data centre, for all data centres
	local []section // from other data centres, for the local one
}

func (q relayQueue) count() int { return len(q.toAll) + len(q.local) }

// replayWindow records which recent sections of an owner have been received. The zero value has
// recorded none.
type replayWindow struct {
	last uint64 // highest number received
	seen uint64 // bit n is set if last-n was received
}

// accept records a number and reports whether it is new. A number that is too old to be tracked
// is not new.
func (w *replayWindow) accept(number uint64) bool {
	const size = 64
	if number > w.last {
		if ahead := number - w.last; ahead < size {
			w.seen <<= ahead
		} else {
			w.seen = 0
		}
		w.last = number
		w.seen |= 1
		return true
	}
	behind := w.last - number
	if behind >= size || w.seen&(1<<behind) != 0 {
		return false
	}
	w.seen |= 1 << behind
	return true
}

// encodeSections encodes events of this process as sections.
func (g *Group) encodeSections(events []Event, now time.Time) []section {
	var all []section
	size := maxPayloadBytes
	for _, e := range events {
		e.AgeMS = now.Sub(e.occurredAt).Milliseconds()
		data, ok := e.encode()
		if !ok {
			continue
		}
		if size+len(data) > maxPayloadBytes-sectionOverhead {
			g.lastSection++
			all = append(all, section{Owner: g.options.Owner, Number: g.lastSection, receivedAt: now})
			size = 0
		}
		s := &all[len(all)-1]
		s.Events = append(s.Events, data)
		size += len(data)
	}
	return all
}

// size returns the approximate size of the section in a datagram, in bytes.
func (s section) size() int {
	n := sectionOverhead
	for _, e := range s.Events {
		n += len(e)
	}
	return n
}

// decode returns the section's events. Events that can't be decoded are dropped.
func (s section) decode() []Event {
	all := make([]Event, 0, len(s.Events))
	for _, data := range s.Events {
		var e Event
		if err := cbor.Unmarshal(data, &e); err != nil {
			log.With("reason", err.Error()).WarnLimited("event", "Dropping an event of a peer that can't be decoded.")
			continue
		}
		all = append(all, e)
	}
	return all
}

// sendSections sends sections over a hop, in as many datagrams as needed.
func (g *Group) sendSections(h hop, sections []section, to []*net.UDPAddr, now time.Time) {
	if len(to) == 0 {
		return
	}
	var all []sized[section]
	for _, s := range sections {
		s.RelayedMS += now.Sub(s.receivedAt).Milliseconds()
		all = append(all, sized[section]{s, s.size()})
	}
	p := g.newPacket()
	p.Hop = h
	for _, part := range splitDatagrams(all) {
		p.Sections = part
		g.send(p, to, trafficOf(h))
	}
}

// receiveSections returns the new sections of a packet and queues those that are to be
// forwarded. g.mu must be held.
func (g *Group) receiveSections(p packet, sender *member, now time.Time) []section {
	if now.Before(g.staleUntil) {
		return nil
	}
	fresh := p.Sections[:0]
	for _, s := range g.allowedSections(p, sender) {
		if !g.replayWindow(s.Owner).accept(s.Number) {
			continue
		}
		s.RelayedMS = max(s.RelayedMS, 0)
		s.receivedAt = now
		fresh = append(fresh, s)
	}
	g.queueForRelay(p.Hop, fresh)
	return fresh
}

// lateSections returns the sections of a packet that may have waited in the socket while this process
// was stopped. Their ages are not known, so that they are not forwarded. g.mu must be held.
func (g *Group) lateSections(p packet, sender *member, now time.Time) []section {
	if !now.Before(g.staleUntil) {
		return nil
	}
	return g.allowedSections(p, sender)
}

// allowedSections returns the sections of a packet that its sender may send. g.mu must be held.
func (g *Group) allowedSections(p packet, sender *member) []section {
	if len(p.Sections) == 0 {
		return nil
	}
	if !sender.maySendOver(p.Hop) {
		log.With("address", sender.address.String()).With("hop", int(p.Hop)).WarnLimited("hop", "Dropping sections from a peer that may not send over this hop.")
		return nil
	}
	var allowed []section
	for _, s := range p.Sections {
		if g.isOtherOwner(s.Owner) && (p.Hop != hopToRelay || s.Owner == p.Owner) {
			allowed = append(allowed, s)
		}
	}
	return allowed
}

// isOtherOwner reports whether an incarnation is that of another peer.
func (g *Group) isOtherOwner(owner uint64) bool { return owner != 0 && owner != g.options.Owner }

// maySendOver reports whether the peer is in a place from which packets of a hop may come.
func (m *member) maySendOver(h hop) bool {
	switch h {
	case hopToRelay, hopLocal:
		return m.relayed() && !m.remote
	case hopRemote:
		return m.relayed() && m.remote
	default:
		return false
	}
}

// replayWindow returns the window of an owner, created if necessary. g.mu must be held.
func (g *Group) replayWindow(owner uint64) *replayWindow {
	w := g.replayWindows[owner]
	if w != nil {
		return w
	}
	for old := range g.replayWindows { // evicts any, since only forged owners reach the limit
		if len(g.replayWindows) < maxReplayWindows {
			break
		}
		delete(g.replayWindows, old)
	}
	w = &replayWindow{}
	g.replayWindows[owner] = w
	return w
}

// queueForRelay queues sections until the next flush. g.mu must be held.
func (g *Group) queueForRelay(h hop, sections []section) {
	if h == hopLocal || len(sections) == 0 {
		return
	}
	if g.relayQueue.count()+len(sections) > maxRelayQueue {
		log.WarnLimited("passing", "Relay queue is full; dropping sections.")
		return
	}
	if g.relayQueue.count() == 0 && len(g.events) == 0 {
		workers.Signal(g.eventsPending)
	}
	if h == hopToRelay {
		g.relayQueue.toAll = append(g.relayQueue.toAll, sections...)
	} else {
		g.relayQueue.local = append(g.relayQueue.local, sections...)
	}
}

// handlePause handles a pause of this process, and reports whether there was one. If the time since
// the previous check is at least pauseThreshold, it discards the relay queue and makes datagrams
// received within drainDelay stale.
func (g *Group) handlePause(since time.Duration, now time.Time) (paused bool) {
	if since < pauseThreshold {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.staleUntil = now.Add(drainDelay)
	g.resumedAt = now
	g.relayQueue = relayQueue{}
	log.With("ms", since.Milliseconds()).Warnf("This process stood still.")
	return true
}
