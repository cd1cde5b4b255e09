// Transfers the origins of streams to an entry that has just started, which would else not know those
// that began before.
//
// Rule: a snapshot holds the streams that expire last, at most maxSnapshotStreams of them, grouped by
// the endpoint that began them. What the entry has recorded itself stays.
// Units: ages and times left in units of timeUnit, since clocks differ.
// Never: attempts without a first event are transferred; peers are asked about their streams.

package resumption

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// maxSnapshotStreams bounds the streams of a snapshot. They have 12 bytes each.
	maxSnapshotStreams = 100_000
	// maxPartStreams bounds the streams of one part of a snapshot.
	maxPartStreams = 1000
	// snapshotStreamBytes is the size of a stream in a snapshot: its key, age and time left.
	snapshotStreamBytes = 8 + 2 + 2
)

// OriginsSnapshot holds up to maxPartStreams streams that began at one endpoint. Its encoding is part of
// the protocol between entries.
type OriginsSnapshot struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string   // incarnation
	Streams  []byte   // snapshotStreamBytes each
}

// Snapshot returns the recorded streams.
func (o *Origins) Snapshot(now time.Time) []OriginsSnapshot {
	ends := make([]uint32, 0, len(o.groups))
	for end := range o.groups {
		ends = append(ends, end)
	}
	slices.SortFunc(ends, func(a, b uint32) int { return cmp.Compare(b, a) })
	streams := map[string][]byte{}
	left := maxSnapshotStreams
	for _, end := range ends {
		left -= o.groups[end].appendTo(streams, o.units(now), o.unitsLeft(now, end), left)
	}
	all := make([]OriginsSnapshot, 0, len(streams))
	for endpoint, data := range streams {
		for part := range slices.Chunk(data, maxPartStreams*snapshotStreamBytes) {
			all = append(all, OriginsSnapshot{Endpoint: endpoint, Streams: part})
		}
	}
	return all
}

// unitsLeft returns the time until a group expires.
func (o *Origins) unitsLeft(now time.Time, end uint32) uint16 {
	expires := o.epoch.Add(time.Duration(end) * groupLength)
	return uint16(min(max(expires.Sub(now), 0)/timeUnit, 1<<16-1))
}

// appendTo appends at most so many streams of the group to those of their endpoints, and returns their
// number.
func (g *group) appendTo(streams map[string][]byte, now uint32, unitsLeft uint16, most int) int {
	n := 0
	for key, b := range g.streams {
		if n >= most {
			break
		}
		if b.endpoint == conflicting {
			continue
		}
		endpoint := g.endpoints[b.endpoint]
		data := binary.BigEndian.AppendUint64(streams[endpoint], uint64(key))
		data = binary.BigEndian.AppendUint16(data, uint16(min(now-min(b.at, now), 1<<16-1)))
		streams[endpoint] = binary.BigEndian.AppendUint16(data, unitsLeft)
		n++
	}
	return n
}

// Restore records the streams of part of a snapshot of another entry. The parts are small enough to
// restore each under a lock that requests wait for.
func (o *Origins) Restore(now time.Time, s OriginsSnapshot) {
	for data := s.Streams; len(data) >= snapshotStreamBytes; data = data[snapshotStreamBytes:] {
		key := Key(binary.BigEndian.Uint64(data))
		if _, _, known := o.Endpoint(key); known {
			continue
		}
		age := time.Duration(binary.BigEndian.Uint16(data[8:])) * timeUnit
		left := time.Duration(binary.BigEndian.Uint16(data[10:])) * timeUnit
		o.add(key, s.Endpoint, now.Add(-age), now.Add(left))
	}
}
