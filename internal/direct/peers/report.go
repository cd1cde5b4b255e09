// What data centres tell each other of who lives in them.
//
// Rule: the relays of a data centre report its live members, each every reportInterval, to
// one relay of each other data centre, which passes the report on in its own at once. So
// an entry of another data centre is known without a heartbeat of its own.
// Inputs: heartbeats of the own data centre's members, reports of others, the time.
// Never: what was heard directly is replaced by an older report; a report goes further
// than one data centre.

package peers

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// reportInterval is the time between two reports of one relay. Chosen, not measured: with
// two relays in each data centre an entry is told of the others four times a second.
const reportInterval = 500 * time.Millisecond

// sendReports reports the live members of the own data centre, if this entry is a relay.
func (g *Group) sendReports(now time.Time) {
	g.mu.Lock()
	plan := g.currentPlan(now)
	if !plan.relays || len(plan.across) == 0 {
		g.mu.Unlock()
		return
	}
	reports := g.reports(now)
	g.mu.Unlock()
	g.spreadReports(hopAcross, reports, plan.across)
}

// reports returns what is known of the members of the own data centre. The group is
// locked.
func (g *Group) reports(now time.Time) []report {
	var all []report
	for address, m := range g.members {
		if m.far || !m.relayed() || !m.alive(now) || m.owner == 0 {
			continue
		}
		all = append(all, report{
			Address: address, Owner: m.owner, Version: m.version, Revision: m.revision,
			AgeMS: now.Sub(m.lastHeard).Milliseconds(), Heartbeat: m.heartbeat,
		})
	}
	return all
}

// spreadReports sends reports over a hop, in as many datagrams as it takes.
func (g *Group) spreadReports(h hop, reports []report, to []*net.UDPAddr) {
	var all []sized[report]
	for _, r := range reports {
		data, err := cbor.Marshal(r)
		if err != nil {
			log.With("reason", err.Error()).Limited("encode", "A report can't be encoded and is left out.")
			continue
		}
		all = append(all, sized[report]{r, len(data)})
	}
	p := g.newPacket()
	p.Hop = h
	for _, part := range inDatagrams(all) {
		p.Reports = part
		g.send(p, to, heartbeatTraffic)
	}
}

// takeReports takes in the reports of a packet and passes on those from another data
// centre. It returns the incarnations that have ended. The group is locked.
func (g *Group) takeReports(p packet, sender *member, version, revision uint64, now time.Time) (ended []uint64) {
	if len(p.Reports) == 0 || now.Before(g.staleTill) || !sender.mayTell(p.Hop) {
		return nil
	}
	for _, r := range p.Reports {
		if owner := g.takeReport(r, version, revision, now); owner != 0 {
			ended = append(ended, owner)
		}
	}
	if p.Hop == hopAcross {
		go g.spreadReports(hopLocal, p.Reports, g.currentPlan(now).local)
	}
	return ended
}

// takeReport takes in what is said of one entry. It returns its earlier incarnation if that
// has ended, else 0. The group is locked.
func (g *Group) takeReport(r report, version, revision uint64, now time.Time) (ended uint64) {
	if r.Owner == 0 || r.Address == g.address || r.Heartbeat.DataCentre == g.options.DataCentre {
		return 0 // this entry's data centre is known at first hand
	}
	heard := now.Add(-time.Duration(max(r.AgeMS, 0)) * time.Millisecond)
	m := g.members[r.Address]
	if m != nil && heard.Before(m.lastHeard) {
		return 0
	}
	address, err := net.ResolveUDPAddr("udp4", r.Address)
	if err != nil {
		log.With("address", r.Address).With("reason", err.Error()).Limited("report", "A report names no address and is left out.")
		return 0
	}
	p := packet{Owner: r.Owner, Version: r.Version, Revision: r.Revision}
	m, ended = g.meet(p, address, heard)
	if m == nil {
		return 0
	}
	g.noteAhead(m, p, version, revision, now)
	g.takeHeartbeat(m, &r.Heartbeat, now)
	return ended
}
