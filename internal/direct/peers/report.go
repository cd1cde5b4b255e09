// Reports between data centres about their live members.
//
// Rule: the relays of a data centre report its live members every reportInterval to one relay of
// each other data centre, which forwards the report within its own at once. A report has the
// record of each member whose record is due (presence.go), and the presence of all. So a peer in
// another data centre is known without a heartbeat of its own.
// Inputs: heartbeats of members in the local data centre, reports of other data centres, the
// time.
// Never: an older report replaces what was received directly; a report is forwarded beyond one
// data centre.

package peers

import (
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// reportInterval is the time between two reports of one relay. With two relays in each data
// centre a peer receives reports of the others four times a second.
const reportInterval = 500 * time.Millisecond

// sendReports reports the live members of the local data centre if this process is a relay.
func (g *Group) sendReports(now time.Time) {
	g.mu.Lock()
	plan := g.currentPlan(now)
	if !plan.isRelay || len(plan.remote) == 0 {
		g.reportedTo = nil // all records are sent if this process becomes a relay again
		g.mu.Unlock()
		return
	}
	if !slices.EqualFunc(plan.remote, g.reportedTo, sameAddress) {
		g.resetRecordSends()
		g.reportedTo = plan.remote
	}
	members := g.localMembers(now)
	due := g.dueReports(now, members)
	presences := g.presences(now, members)
	modern, legacy := g.splitByPresence(plan.remote)
	var all []report
	if len(legacy) > 0 {
		all = newReports(now, members)
	}
	newMembers, records := g.newRecipients(now, plan.local)
	g.mu.Unlock()
	g.sendReportsOver(hopRemote, due, modern)
	g.sendPresences(hopRemote, presences, modern)
	g.sendReportsOver(hopRemote, all, legacy)
	g.sendReportsOver(hopLocal, records, newMembers)
}

func sameAddress(a, b *net.UDPAddr) bool { return a.Port == b.Port && a.IP.Equal(b.IP) }

// resetRecordSends makes all records due. g.mu must be held.
func (g *Group) resetRecordSends() {
	for _, m := range g.members {
		m.recordSends = recordSends{}
	}
}

// localMembers returns the live members of the local data centre. g.mu must be held.
func (g *Group) localMembers(now time.Time) []*member {
	var all []*member
	for _, m := range g.members {
		if !m.remote && m.relayed() && m.alive(now) && m.owner != 0 {
			all = append(all, m)
		}
	}
	return all
}

// dueReports returns the records that are due, out of those of the given members. g.mu must be
// held.
func (g *Group) dueReports(now time.Time, members []*member) []report {
	var due []*member
	for _, m := range members {
		if m.recordSends.due(now, m) {
			due = append(due, m)
		}
	}
	return newReports(now, due)
}

// newReports returns the records of members.
func newReports(now time.Time, members []*member) []report {
	all := make([]report, 0, len(members))
	for _, m := range members {
		all = append(all, report{
			Address: m.address.String(), Owner: m.owner, Version: m.version, Revision: m.revision,
			AgeMS: now.Sub(m.lastSeen).Milliseconds(), Heartbeat: m.heartbeat,
		})
	}
	return all
}

// remoteReports returns the records of the live members of one other data centre, or of all
// others if the name is empty. g.mu must be held.
func (g *Group) remoteReports(now time.Time, dataCentre string) []report {
	var all []*member
	for _, m := range g.members {
		if m.remote && m.relayed() && m.alive(now) && m.owner != 0 && (dataCentre == "" || m.heartbeat.DataCentre == dataCentre) {
			all = append(all, m)
		}
	}
	return newReports(now, all)
}

// newRecipients returns the addresses of some new members of the data centre, and the records to
// send them: those of all other data centres. g.mu must be held.
func (g *Group) newRecipients(now time.Time, local []*net.UDPAddr) (to []*net.UDPAddr, records []report) {
	for _, a := range local {
		m := g.members[a.String()]
		if m == nil || m.initialRecordsSent || len(to) == maxRecordRecipients {
			continue
		}
		m.initialRecordsSent = true
		to = append(to, a)
	}
	if len(to) > 0 {
		records = g.remoteReports(now, "")
	}
	return to, records
}

// splitByPresence splits addresses by whether their peers support presence packets. g.mu must be
// held.
func (g *Group) splitByPresence(all []*net.UDPAddr) (modern, legacy []*net.UDPAddr) {
	for _, a := range all {
		if m := g.members[a.String()]; m != nil && m.supportsPresence() {
			modern = append(modern, a)
		} else {
			legacy = append(legacy, a)
		}
	}
	return modern, legacy
}

// relayReports forwards a report of another data centre's relay in the local data centre. Peers
// of older versions receive the records of all members of that data centre. g.mu must be held.
func (g *Group) relayReports(p packet, sender *member, now time.Time) {
	hasReports := len(p.Reports) > 0 || p.Presence != nil
	if !hasReports || p.Hop != hopRemote || now.Before(g.staleUntil) || !sender.maySendOver(p.Hop) {
		return
	}
	modern, legacy := g.splitByPresence(g.currentPlan(now).local)
	reports := p.Reports
	var presences []presence
	if p.Presence != nil {
		presences = append(presences, *p.Presence)
	}
	records := reports
	if p.Presence != nil && len(legacy) > 0 {
		records = g.remoteReports(now, p.Presence.DataCentre)
	}
	go func() {
		g.sendReportsOver(hopLocal, reports, modern)
		g.sendPresences(hopLocal, presences, modern)
		g.sendReportsOver(hopLocal, records, legacy)
	}()
}

// sendPresences sends presence packets over a hop.
func (g *Group) sendPresences(h hop, all []presence, to []*net.UDPAddr) {
	for n := range all {
		p := g.newPacket()
		p.Hop = h
		p.Presence = &all[n]
		g.send(p, to, heartbeatTraffic)
	}
}

// sendReportsOver sends reports over a hop, in as many datagrams as needed.
func (g *Group) sendReportsOver(h hop, reports []report, to []*net.UDPAddr) {
	var all []sized[report]
	for _, r := range reports {
		data, err := cbor.Marshal(r)
		if err != nil {
			log.With("reason", err.Error()).WarnLimited("encode", "Dropping a report that can't be encoded.")
			continue
		}
		all = append(all, sized[report]{r, len(data)})
	}
	p := g.newPacket()
	p.Hop = h
	for _, part := range splitDatagrams(all) {
		p.Reports = part
		g.send(p, to, heartbeatTraffic)
	}
}

// receiveReports applies the reports of a packet and returns the incarnations that have ended.
// g.mu must be held.
func (g *Group) receiveReports(p packet, sender *member, local localParts, now time.Time) (ended []uint64) {
	if len(p.Reports) == 0 || now.Before(g.staleUntil) || !sender.maySendOver(p.Hop) {
		return nil
	}
	for _, r := range p.Reports {
		if owner := g.applyReport(r, local, now); owner != 0 {
			ended = append(ended, owner)
		}
	}
	return ended
}

// applyReport applies a report about one peer. It returns the peer's previous incarnation if
// that has ended, else 0. g.mu must be held.
func (g *Group) applyReport(r report, local localParts, now time.Time) (ended uint64) {
	if r.Owner == 0 || r.Address == g.address || r.Heartbeat.DataCentre == g.options.DataCentre {
		return 0 // members of the local data centre are known directly
	}
	seenAt := now.Add(-time.Duration(max(r.AgeMS, 0)) * time.Millisecond)
	m := g.members[r.Address]
	if m != nil && seenAt.Before(m.lastSeen) {
		return 0
	}
	address, err := net.ResolveUDPAddr("udp4", r.Address)
	if err != nil {
		log.With("address", r.Address).With("reason", err.Error()).WarnLimited("report", "Ignoring a report with an invalid address.")
		return 0
	}
	p := packet{Owner: r.Owner, Version: r.Version, Revision: r.Revision}
	m, ended = g.findOrAddMember(p, address, seenAt)
	if m == nil {
		return 0
	}
	g.updateVersions(m, p, local, now)
	g.applyHeartbeat(m, &r.Heartbeat, now)
	return ended
}
