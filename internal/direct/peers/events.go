package peers

import (
	"net"
	"time"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"

	"github.com/fxamacker/cbor/v2"
)

const (
	// flushDelay is how long events wait to share a datagram with others, in the sending process
	// and again in each relay.
	flushDelay = 10 * time.Millisecond
	// maxPendingEvents bounds the events that wait to be sent.
	maxPendingEvents = 4096
	// MaxEventAge is the upper bound of an event's age; higher ages are reduced to it.
	MaxEventAge = time.Second
)

// Broadcast sends an event to all live peers, after flushDelay and together with other events.
// It drops the event if maxPendingEvents are waiting: the peers then lack this update about this
// process's attempts.
func (g *Group) Broadcast(e Event) {
	e.occurredAt = steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e = g.recordOwnSignal(e)
	if len(g.events) >= maxPendingEvents {
		log.WarnLimited("events", "Event queue is full; dropping events.")
		return
	}
	if len(g.events) == 0 && g.relayQueue.count() == 0 {
		workers.Signal(g.eventsPending)
	}
	g.events = append(g.events, e)
}

// flush sends the pending events and the sections in the relay queue.
func (g *Group) flush(now time.Time) {
	g.mu.Lock()
	events := g.events
	g.events = nil
	queued := g.relayQueue
	g.relayQueue = relayQueue{}
	plan := g.currentPlan(now)
	legacy := g.legacyAddresses(now)
	g.mu.Unlock()
	g.sendToLegacy(events, legacy, now)
	own := g.encodeSections(events, now)
	if !plan.isRelay {
		g.sendSections(hopToRelay, own, plan.toRelay, now)
		own = nil
	}
	all := append(own, queued.toAll...)
	g.sendSections(hopRemote, all, plan.remote, now)
	g.sendSections(hopLocal, append(all, queued.local...), plan.local, now)
}

// sendToLegacy sends events to peers of older versions, in as many datagrams as needed.
func (g *Group) sendToLegacy(events []Event, to []*net.UDPAddr, now time.Time) {
	if len(to) == 0 || len(events) == 0 {
		return
	}
	var all []sized[Event]
	for _, e := range events {
		e.AgeMS = now.Sub(e.occurredAt).Milliseconds()
		if data, ok := e.encode(); ok {
			all = append(all, sized[Event]{e, len(data)})
		}
	}
	p := g.newPacket()
	for _, part := range splitDatagrams(all) {
		p.Events = part
		g.send(p, to, eventTraffic)
	}
}

// encode returns the wire encoding of the event. It logs an event that can't be encoded and
// returns false.
func (e Event) encode() (cbor.RawMessage, bool) {
	data, err := cbor.Marshal(e)
	if err != nil {
		log.With("reason", err.Error()).WarnLimited("encode", "Dropping an event that can't be encoded.")
		return nil, false
	}
	return data, true
}

// newPacket returns a packet with the versions of this process's settings and endpoints.
func (g *Group) newPacket() packet {
	version, revision := g.options.Directory.Versions()
	return packet{Owner: g.options.Owner, Version: version, Revision: revision}
}

// send sends a packet to some addresses and counts it in the traffic metrics.
func (g *Group) send(p packet, to []*net.UDPAddr, kind trafficKind) {
	if len(to) == 0 {
		return
	}
	data, err := cbor.Marshal(p)
	if err != nil {
		log.With("reason", err.Error()).WarnLimited("encode", "Dropping a packet that can't be encoded.")
		return
	}
	for _, a := range to {
		_, _ = g.socket.WriteToUDP(data, a) // datagrams may be lost anyway
	}
	g.traffic.sent(kind, len(to), len(data))
}
