package peers

import (
	"net"
	"time"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"

	"github.com/fxamacker/cbor/v2"
)

const (
	// flushDelay is how long events wait for others to share their datagram, at their entry
	// and again at each relay.
	flushDelay = 10 * time.Millisecond
	// maxWaiting bounds the events that wait.
	maxWaiting = 4096
	// MaxEventAge bounds the age of an event that is believed.
	MaxEventAge = time.Second
)

// Broadcast sends an event to all live entries, shortly after and together with
// others. Beyond its bound it drops the event: the others then know less of this
// entry's attempts.
func (g *Group) Broadcast(e Event) {
	e.at = steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.events) >= maxWaiting {
		log.Limited("events", "Too many events wait to be sent; some are left out.")
		return
	}
	if len(g.events) == 0 && g.passing.count() == 0 {
		workers.Signal(g.eventsWaiting)
	}
	g.events = append(g.events, e)
}

// flush sends the events that wait, and passes on those of others.
func (g *Group) flush(now time.Time) {
	g.mu.Lock()
	events := g.events
	g.events = nil
	passed := g.passing
	g.passing = passing{}
	plan := g.currentPlan(now)
	former := g.formerAddresses(now)
	g.mu.Unlock()
	g.sendToFormer(events, former, now)
	own := g.sectionsOf(events, now)
	if !plan.relays {
		g.sendSections(hopUp, own, plan.up, now)
		own = nil
	}
	all := append(own, passed.everywhere...)
	g.sendSections(hopAcross, all, plan.across, now)
	g.sendSections(hopLocal, append(all, passed.here...), plan.local, now)
}

// sendToFormer sends events to entries of former versions, in as many datagrams as it
// takes.
func (g *Group) sendToFormer(events []Event, to []*net.UDPAddr, now time.Time) {
	if len(to) == 0 || len(events) == 0 {
		return
	}
	var all []sized[Event]
	for _, e := range events {
		e.AgeMS = now.Sub(e.at).Milliseconds()
		if data, ok := e.encode(); ok {
			all = append(all, sized[Event]{e, len(data)})
		}
	}
	p := g.newPacket()
	for _, part := range inDatagrams(all) {
		p.Events = part
		g.send(p, to, eventTraffic)
	}
}

// encode returns the event as it goes over the wire; false, with a line in the log, if it
// can't be encoded.
func (e Event) encode() (cbor.RawMessage, bool) {
	data, err := cbor.Marshal(e)
	if err != nil {
		log.With("reason", err.Error()).Limited("encode", "An event can't be encoded and is left out.")
		return nil, false
	}
	return data, true
}

// newPacket returns a packet that names what this entry knows.
func (g *Group) newPacket() packet {
	version, revision := g.options.Directory.Versions()
	return packet{Owner: g.options.Owner, Version: version, Revision: revision}
}

// send sends a packet to some addresses, and counts it.
func (g *Group) send(p packet, to []*net.UDPAddr, kind trafficKind) {
	if len(to) == 0 {
		return
	}
	data, err := cbor.Marshal(p)
	if err != nil {
		log.With("reason", err.Error()).Limited("encode", "A packet can't be encoded and is not sent.")
		return
	}
	for _, a := range to {
		_, _ = g.socket.WriteToUDP(data, a) // datagrams may be lost anyway
	}
	g.traffic.sent(kind, len(to), len(data))
}
