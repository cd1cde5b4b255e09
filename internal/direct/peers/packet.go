// Package peers exchanges state between the gateway processes of a fleet, the peers. Events
// about attempts (sent, first event, ended) travel as datagrams that may be lost. Settings and
// the list of endpoints are fetched over TCP.
//
// The wire format is in packet.go and state.go, membership in member.go, the selection of relays
// in relay.go, the forwarding of events in bundle.go, reports between data centres in report.go,
// the selection of the peers that read the platform's store in role.go, and fetching from other
// peers in catchup.go.
//
// Group.mu is the last lock to be acquired: a caller may hold locks of its own, and listeners
// are called without it.
package peers

import (
	"time"

	"foxcross.dev/coord/freshness"
	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the type of an event.
type Kind uint8

// The kinds of events. Their numbers are on the wire.
const (
	AttemptSent Kind = iota + 1
	FirstEvent       // of the attempt's response
	AttemptEnded
	PartsCached     // by an engine, as reported by it; peers of older versions ignore this and the following kinds
	EndpointCrashed // while Runs were executing
	ContentCleared  // Runs succeeded
	ContentHeld     // according to the store's records
	LimitAnnounced  // of an endpoint, from its response
	EndpointDraining
	RequestRefused // by admission; Request is the refused one
	ProcessNamed   // by the engine Endpoint
)

// Event is a change of one attempt of the sender, or of what the sender observed about an
// endpoint or a content.
type Event struct {
	Kind     Kind               `cbor:"1,keyasint"`
	Number   uint64             `cbor:"2,keyasint"`           // of the attempt, unique per owner
	Endpoint string             `cbor:"3,keyasint,omitempty"` // of AttemptSent, PartsCached, LimitAnnounced and EndpointDraining
	Request  *placement.Request `cbor:"4,keyasint,omitempty"` // of AttemptSent and RequestRefused
	Outcome  placement.Outcome  `cbor:"5,keyasint,omitempty"` // of AttemptEnded
	AgeMS    int64              `cbor:"6,keyasint,omitempty"` // time since the event, when it is sent
	Fetch    *memory.Fetch      `cbor:"7,keyasint,omitempty"` // of AttemptSent, nil for none; peers of older versions ignore it
	Parts    []memory.Part      `cbor:"8,keyasint,omitempty"` // of PartsCached

	Runs  []quarantine.RunReport  `cbor:"9,keyasint,omitempty"`  // of EndpointCrashed and ContentCleared
	Holds []quarantine.HoldReport `cbor:"10,keyasint,omitempty"` // of ContentHeld

	Limit      float64 `cbor:"11,keyasint,omitempty"` // of LimitAnnounced, in requests a second, 0 for none
	ResponseMS int64   `cbor:"12,keyasint,omitempty"` // of LimitAnnounced, from sending the request to its response

	Content  []byte `cbor:"13,keyasint,omitempty"` // of RequestRefused, and of AttemptSent for a caller that was refused before
	ReturnMS int64  `cbor:"14,keyasint,omitempty"` // of RequestRefused: until its caller may return, 0 if it has no place
	Replica  string `cbor:"15,keyasint,omitempty"` // of AttemptSent: incarnation of the engine that holds the run's copy
	Stream   uint64 `cbor:"16,keyasint,omitempty"` // of AttemptSent: key of the stream that may be resumed, 0 for none
	Resumes  bool   `cbor:"17,keyasint,omitempty"` // of AttemptSent: the attempt resumes Stream; else it begins it

	PartRuns []quarantine.PartReport `cbor:"18,keyasint,omitempty"` // of EndpointCrashed

	Process string `cbor:"19,keyasint,omitempty"` // of ProcessNamed
	// Signal numbers the events that all peers have to know, from 1 for each owner; 0 for others and
	// those of older versions.
	Signal uint64 `cbor:"20,keyasint,omitempty"`

	occurredAt time.Time // on the sender's clock
}

// isSignal reports whether all peers have to know events of a kind, however late. Limits are announced again
// while they are in use.
func (k Kind) isSignal() bool {
	switch k {
	case EndpointCrashed, ContentCleared, ContentHeld, EndpointDraining, ProcessNamed:
		return true
	default:
		return false
	}
}

// Fetched returns what the attempt fetches.
func (e Event) Fetched() memory.Fetch {
	if e.Fetch == nil {
		return memory.Fetch{}
	}
	return *e.Fetch
}

// packet is one datagram. Peers of older versions send and read only the first five fields;
// every process sends its events to them directly.
type packet struct {
	Owner     uint64     `cbor:"1,keyasint"`           // incarnation of the sender
	Version   uint64     `cbor:"2,keyasint,omitempty"` // of the active settings
	Revision  uint64     `cbor:"3,keyasint,omitempty"` // of the list of endpoints
	Events    []Event    `cbor:"4,keyasint,omitempty"` // to and from peers of older versions
	Heartbeat *heartbeat `cbor:"5,keyasint,omitempty"`

	Hop      hop       `cbor:"6,keyasint,omitempty"` // of Sections and Reports
	Sections []section `cbor:"7,keyasint,omitempty"`
	Reports  []report  `cbor:"8,keyasint,omitempty"`
	Probe    probe     `cbor:"9,keyasint,omitempty"`
	Usage    *usage    `cbor:"10,keyasint,omitempty"` // of the sender, sent to peers that may hold the duties
	Presence *presence `cbor:"11,keyasint,omitempty"` // sent to peers that support it

	Keepalive bool `cbor:"12,keyasint,omitempty"` // the sender sends one every heartbeatInterval; peers of older versions ignore it
}

// hop is the step of the route that a packet travels; its content is forwarded over the
// following steps.
type hop uint8

// The hops. Their numbers are on the wire.
const (
	hopToRelay hop = iota + 1 // from a member to a relay of its data centre
	hopRemote                 // from a relay to one of another data centre
	hopLocal                  // from a relay to the members of its data centre
)

// probe is a liveness probe of a relay, or the reply.
type probe uint8

// The probe messages. Their numbers are on the wire.
const (
	probeRequest probe = iota + 1
	probeReply
)

// section is a batch of events of one peer, forwarded unchanged except for RelayedMS.
type section struct {
	_         struct{}          `cbor:",toarray"`
	Owner     uint64            // incarnation of the peer
	Number    uint64            // of the section, counted by its owner from 1
	RelayedMS int64             // time spent in relays
	Events    []cbor.RawMessage // each an encoded Event

	receivedAt time.Time // at this relay
}

// report is a relay's record of a member of its data centre.
type report struct {
	Address   string    `cbor:"1,keyasint"`
	Owner     uint64    `cbor:"2,keyasint"`
	Version   uint64    `cbor:"3,keyasint,omitempty"`
	Revision  uint64    `cbor:"4,keyasint,omitempty"`
	AgeMS     int64     `cbor:"5,keyasint,omitempty"` // time since the member was last seen
	Heartbeat heartbeat `cbor:"6,keyasint"`           // the most recent one
}

// heartbeat is the periodic status of a peer.
type heartbeat struct {
	Name               string   `cbor:"1,keyasint"`
	Members            []string `cbor:"2,keyasint,omitempty"` // addresses of some live peers, in some heartbeats
	Leaving            bool     `cbor:"3,keyasint,omitempty"` // reserved: never sent, ignored
	ConfirmedAgeMS     int64    `cbor:"4,keyasint"`           // time since the settings were confirmed as the newest, -1 for never
	StoreResponseAgeMS int64    `cbor:"5,keyasint"`           // time since the last call to which the store responded, -1 for never
	Reading            bool     `cbor:"6,keyasint,omitempty"` // the sender reads the store
	StoreCallFailed    bool     `cbor:"7,keyasint,omitempty"` // the sender's last call to the store failed
	ReadCost           int      `cbor:"8,keyasint,omitempty"` // ms to read a large version of the settings, 0 if unknown

	// Peers of older versions send none of these.
	Relayed    bool   `cbor:"9,keyasint,omitempty"`  // relays forward events to the sender
	DataCentre string `cbor:"10,keyasint,omitempty"` // of the sender
	Reply      bool   `cbor:"11,keyasint,omitempty"` // the sender requests a heartbeat in reply
	Informed   bool   `cbor:"12,keyasint,omitempty"` // the sender has received events for at least discoveryPeriod, or restored a snapshot
	ClockMS    int64  `cbor:"13,keyasint,omitempty"` // the sender's wall clock, in ms since 1970
	Fence      uint64 `cbor:"14,keyasint,omitempty"` // with which the sender holds the duties, 0 if it does not

	Evacuated           []string `cbor:"15,keyasint,omitempty"` // data centres, at EvacuationsRevision
	EvacuationsRevision uint64   `cbor:"16,keyasint,omitempty"` // revision of the store, 0 if unknown
	Presence            bool     `cbor:"17,keyasint,omitempty"` // the sender supports packets with a presence
	EndpointsAgeMS      int64    `cbor:"18,keyasint,omitempty"` // time since the list of endpoints was confirmed as the newest, plus 1; 0 for never
	Versioned           bool     `cbor:"19,keyasint,omitempty"` // the sender's list has the versions of the endpoints' software
	SignalDigest        uint64   `cbor:"20,keyasint,omitempty"` // of the signals that the sender has (coord/signals)
	SignalCount         uint64   `cbor:"21,keyasint,omitempty"`

	Stamp  freshness.Stamp  `cbor:"22,keyasint,omitempty"` // of the sender's clock, 0 at older versions
	Echoes freshness.Echoes `cbor:"23,keyasint,omitempty"` // the newest stamps of some receivers, read before the ages
}

// evacuations returns the evacuated data centres known to the sender.
func (h *heartbeat) evacuations() driver.Evacuations {
	return driver.Evacuations{Revision: h.EvacuationsRevision, DataCentres: h.Evacuated}
}

const (
	// maxPayloadBytes is the approximate limit of the payload of a datagram, in bytes: one
	// Ethernet frame with some space left.
	maxPayloadBytes = 1200
	// maxDatagram is the largest datagram that UDP carries, in bytes.
	maxDatagram = 64 << 10
	// unknownAge stands for the age, in ms, of an event that has not happened.
	unknownAge = -1
)

// ageMS returns the milliseconds since a time, unknownAge for the zero time.
func ageMS(at time.Time) int64 {
	if at.IsZero() {
		return unknownAge
	}
	return steady.Since(at).Milliseconds()
}

// sized is an item to be sent and its approximate size in a datagram, in bytes.
type sized[T any] struct {
	item T
	size int
}

// splitDatagrams splits items into groups of about maxPayloadBytes.
func splitDatagrams[T any](all []sized[T]) [][]T {
	var parts [][]T
	free := 0
	for _, x := range all {
		if len(parts) == 0 || x.size > free {
			parts = append(parts, nil)
			free = maxPayloadBytes
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], x.item)
		free -= x.size
	}
	return parts
}
