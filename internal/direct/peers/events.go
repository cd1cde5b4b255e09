package peers

import (
	"net"
	"time"

	"foxcross.dev/foxcross/internal/workers"

	"github.com/fxamacker/cbor/v2"
)

const (
	// flushDelay is how long events wait for others to share their datagram. 50 ms
	// saved no bytes: EXPERIMENTS 20.
	flushDelay = 10 * time.Millisecond
	// maxWaiting bounds the events that wait. Chosen, not measured.
	maxWaiting = 4096
	// maxEventAge bounds the age of an event that is believed. Chosen, not measured.
	maxEventAge = time.Second
)

// Broadcast sends an event to all live entries, shortly after and together with
// others. Beyond its bound it drops the event: the others then know less of this
// entry's attempts.
func (g *Group) Broadcast(e Event) {
	e.at = time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.events) >= maxWaiting {
		log.Limited("events", "Too many events wait to be sent; some are left out.")
		return
	}
	g.events = append(g.events, e)
	if len(g.events) > 1 {
		return
	}
	workers.Signal(g.eventsWaiting)
}

// flush sends the events that wait.
func (g *Group) flush(now time.Time) {
	g.mu.Lock()
	events := g.events
	g.events = nil
	to := g.liveAddresses(now)
	g.mu.Unlock()
	if len(to) == 0 {
		return
	}
	p := g.newPacket()
	size := 0
	for _, e := range events {
		e.AgeMS = now.Sub(e.at).Milliseconds()
		data, err := cbor.Marshal(e)
		if err != nil {
			log.With("reason", err.Error()).Limited("encode", "An event can't be encoded and is left out.")
			continue
		}
		if size+len(data) > maxEventBytes && len(p.Events) > 0 {
			g.send(p, to)
			p.Events = nil
			size = 0
		}
		p.Events = append(p.Events, e)
		size += len(data)
	}
	if len(p.Events) > 0 {
		g.send(p, to)
	}
}

// newPacket returns a packet that names what this entry knows.
func (g *Group) newPacket() packet {
	version, revision := g.options.Directory.Versions()
	return packet{Owner: g.options.Owner, Version: version, Revision: revision}
}

func (g *Group) send(p packet, to []*net.UDPAddr) {
	data, err := cbor.Marshal(p)
	if err != nil {
		log.With("reason", err.Error()).Limited("encode", "A packet can't be encoded and is not sent.")
		return
	}
	for _, a := range to {
		_, _ = g.socket.WriteToUDP(data, a) // datagrams may be lost anyway
	}
}
