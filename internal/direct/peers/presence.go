// Presence: compact reports of which members of a data centre are live.
//
// Rule: a relay sends the record of a member (report.go) changeSends times when it is new or has
// changed, and again every refreshInterval, and all records when the relays that receive them
// change. In between it sends only the member's presence, in presenceBytes. A peer that is new
// in a relay's data centre receives the records of all other data centres. A receiver without
// the record of a member ignores its presence.
// Inputs: the known members, what was sent about them and when.
// Units: bytes, times.
// Never: constantly changing values (ages, clocks, versions) make a record count as changed; a
// peer of an older version receives a form that it does not support.

package peers

import (
	"encoding/binary"
	"time"

	"foxcross.dev/coord/rendezvous"
)

const (
	// presenceBytes is the size of one member's presence: a tag and an age.
	presenceBytes = 5
	// presenceUnit is the unit of that age.
	presenceUnit = 10 * time.Millisecond
	// maxPresenceMembers is the number of members in one datagram.
	maxPresenceMembers = maxPayloadBytes / presenceBytes
	// changeSends is how many times a changed record is sent, since datagrams are sometimes
	// lost.
	changeSends = 2
	// refreshInterval is the time after which a record is sent again. Up to a half is added to
	// it, depending on the member, so that the records are not all sent at the same time.
	refreshInterval = 16 * time.Second
	// maxRecordRecipients is how many new members of the data centre are sent all records at a
	// time.
	maxRecordRecipients = 4
)

// presence lists the live members of a data centre.
type presence struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	Members    []byte // for each the tag of its incarnation and its age in presenceUnit
}

// tagOf returns the tag of an incarnation. Tags are unique within a data centre, but for one
// pair in some thousand fleets of 1,000.
func tagOf(owner uint64) uint32 { return uint32(owner) }

// add appends a member by its incarnation and the time since it was last seen.
func (p *presence) add(owner uint64, age time.Duration) {
	p.Members = binary.BigEndian.AppendUint32(p.Members, tagOf(owner))
	p.Members = append(p.Members, byte(min(max(age/presenceUnit, 0), 0xff)))
}

// ages returns how long ago each member was last seen, by tag. A truncated entry at the end is
// ignored.
func (p *presence) ages() map[uint32]time.Duration {
	all := make(map[uint32]time.Duration, len(p.Members)/presenceBytes)
	for rest := p.Members; len(rest) >= presenceBytes; rest = rest[presenceBytes:] {
		all[binary.BigEndian.Uint32(rest)] = time.Duration(rest[presenceBytes-1]) * presenceUnit
	}
	return all
}

// attributes are the properties of a member that affect the decisions of its peers. A change is
// sent to other data centres at once.
type attributes struct {
	owner          uint64
	name           string
	readCost       int
	fence          uint64
	reading        bool
	storeResponded bool
	storeLost      bool
	relayed        bool
	informed       bool
}

func (m *member) attributes() attributes {
	return attributes{
		owner: m.owner, name: m.name, readCost: m.heartbeat.ReadCost, fence: m.heartbeat.Fence,
		reading: m.heartbeat.Reading, storeResponded: m.storeResponded, storeLost: m.storeLost,
		relayed: m.heartbeat.Relayed, informed: m.heartbeat.Informed,
	}
}

// recordSends tracks how often a relay has sent the record of a member. The zero value means
// never.
type recordSends struct {
	attributes attributes
	sends      int // since the attributes changed
	lastSent   time.Time
}

// due reports whether the record of a member is to be sent, and counts it as sent if so.
func (r *recordSends) due(now time.Time, m *member) bool {
	a := m.attributes()
	if r.attributes != a {
		*r = recordSends{attributes: a}
	}
	refresh := refreshInterval + time.Duration(rendezvous.Hash(a.name)%uint64(refreshInterval/2))
	if r.sends >= changeSends && now.Sub(r.lastSent) < refresh {
		return false
	}
	r.sends++
	r.lastSent = now
	return true
}

// supportsPresence reports whether the peer supports packets with a presence.
func (m *member) supportsPresence() bool { return m.heartbeat.Presence }

// presences returns the presence of the given members, in as many packets as needed. g.mu must
// be held.
func (g *Group) presences(now time.Time, members []*member) []presence {
	var all []presence
	for n, m := range members {
		if n%maxPresenceMembers == 0 {
			all = append(all, presence{DataCentre: g.options.DataCentre})
		}
		all[len(all)-1].add(m.owner, now.Sub(m.lastSeen))
	}
	return all
}

// applyPresence applies the presence of another data centre's members. g.mu must be held.
func (g *Group) applyPresence(p packet, sender *member, now time.Time) {
	if p.Presence == nil || now.Before(g.staleUntil) || !sender.maySendOver(p.Hop) || p.Presence.DataCentre == g.options.DataCentre {
		return
	}
	ages := p.Presence.ages()
	for _, m := range g.members {
		if !m.remote || m.heartbeat.DataCentre != p.Presence.DataCentre {
			continue
		}
		if age, found := ages[tagOf(m.incarnation())]; found {
			g.markSeen(m, now.Add(-age))
		}
	}
}

// markSeen records that a member was seen. A lost member becomes live again. g.mu must be held.
func (g *Group) markSeen(m *member, seenAt time.Time) {
	if !seenAt.After(m.lastSeen) {
		return
	}
	m.lastSeen = seenAt
	if m.owner == 0 {
		m.owner = m.lastOwner
		g.planStale = true
	}
}
