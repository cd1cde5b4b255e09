// Package peers keeps the entries of the direct way informed of each other: which
// attempts each has sent where and how they went, as datagrams that may be lost, and
// on request the settings and the list of endpoints, over TCP.
//
// What goes over the wire stands in packet.go and state.go; who is a member in
// member.go; who passes notes on in relay.go, and how in bundle.go; what data centres tell
// each other of their members in report.go; who reads the platform's store in role.go;
// when an entry fetches what another knows in catchup.go.
//
// Group.mu is taken last: a caller may hold locks of its own, and listeners are not
// called while it is held.
package peers

import (
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"

	"github.com/fxamacker/cbor/v2"
)

// Kind says what an event is.
type Kind uint8

// The kinds of events. Their numbers are on the wire.
const (
	AttemptSent Kind = iota + 1
	FirstEvent       // of the attempt's answer
	AttemptEnded
	PartsKept       // by an engine, as it says itself; entries of former versions pass over it and what follows
	EndpointCrashed // with Runs under way
	ContentCleared  // Runs succeeded
	ContentHeld     // as the store's records say
	LimitAnnounced  // of an endpoint, as its answer said
	EndpointDraining
)

// Event is one thing that happened to an attempt of the sender.
type Event struct {
	Kind     Kind               `cbor:"1,keyasint"`
	Number   uint64             `cbor:"2,keyasint"`           // of the attempt, at its owner
	Endpoint string             `cbor:"3,keyasint,omitempty"` // of AttemptSent, PartsKept, LimitAnnounced and EndpointDraining
	Request  *placement.Request `cbor:"4,keyasint,omitempty"` // of AttemptSent
	Outcome  placement.Outcome  `cbor:"5,keyasint,omitempty"` // of AttemptEnded
	AgeMS    int64              `cbor:"6,keyasint,omitempty"` // since it happened, when it is sent
	Fetch    *memory.Fetch      `cbor:"7,keyasint,omitempty"` // of AttemptSent, nil for none; entries of former versions pass over it
	Parts    []memory.Part      `cbor:"8,keyasint,omitempty"` // of PartsKept

	Runs  []quarantine.RunReport  `cbor:"9,keyasint,omitempty"`  // of EndpointCrashed and ContentCleared
	Holds []quarantine.HoldReport `cbor:"10,keyasint,omitempty"` // of ContentHeld

	Limit  float64 `cbor:"11,keyasint,omitempty"` // of LimitAnnounced, in requests a second, 0 for none
	SentMS int64   `cbor:"12,keyasint,omitempty"` // of LimitAnnounced, from the send of the request to the answer

	at time.Time // when it happened, at the sender
}

// Fetched returns what the attempt fetches.
func (e Event) Fetched() memory.Fetch {
	if e.Fetch == nil {
		return memory.Fetch{}
	}
	return *e.Fetch
}

// packet is one datagram. Entries of former versions send and read the first five fields
// only; they are told of events by each entry itself.
type packet struct {
	Owner     uint64     `cbor:"1,keyasint"`           // incarnation of the sender
	Version   uint64     `cbor:"2,keyasint,omitempty"` // of the settings in force
	Revision  uint64     `cbor:"3,keyasint,omitempty"` // of the list of endpoints
	Events    []Event    `cbor:"4,keyasint,omitempty"` // to and from entries of former versions
	Heartbeat *heartbeat `cbor:"5,keyasint,omitempty"`

	Hop      hop       `cbor:"6,keyasint,omitempty"` // of Sections and Reports
	Sections []section `cbor:"7,keyasint,omitempty"`
	Reports  []report  `cbor:"8,keyasint,omitempty"`
	Question question  `cbor:"9,keyasint,omitempty"`
	Usage    *usage    `cbor:"10,keyasint,omitempty"` // of the sender, to those that may hold the duties
	Presence *presence `cbor:"11,keyasint,omitempty"` // to entries that understand it
}

// hop is the part of the way that a packet goes; what it carries is passed on over those
// after it.
type hop uint8

// The hops. Their numbers are on the wire.
const (
	hopUp     hop = iota + 1 // from a member to a relay of its data centre
	hopAcross                // from a relay to one of another data centre
	hopLocal                 // from a relay to the members of its data centre
)

// question is the question whether a relay answers, or the answer.
type question uint8

// The questions. Their numbers are on the wire.
const (
	asked question = iota + 1
	answered
)

// section is what one entry told at one time. It is passed on as it came.
type section struct {
	_      struct{}          `cbor:",toarray"`
	Owner  uint64            // incarnation of the entry
	Number uint64            // of the section, counted by its owner from 1
	HeldMS int64             // that relays held it
	Events []cbor.RawMessage // each an Event

	from time.Time // when it came here, at a relay
}

// report is what a relay says of a member of its data centre.
type report struct {
	Address   string    `cbor:"1,keyasint"`
	Owner     uint64    `cbor:"2,keyasint"`
	Version   uint64    `cbor:"3,keyasint,omitempty"`
	Revision  uint64    `cbor:"4,keyasint,omitempty"`
	AgeMS     int64     `cbor:"5,keyasint,omitempty"` // since it was heard
	Heartbeat heartbeat `cbor:"6,keyasint"`           // its last one
}

// heartbeat is what an entry says of itself at intervals.
type heartbeat struct {
	Name      string   `cbor:"1,keyasint"`
	Members   []string `cbor:"2,keyasint,omitempty"` // addresses of some live entries, now and then
	Leaving   bool     `cbor:"3,keyasint,omitempty"` // reserved: never sent, not looked at
	ConfirmMS int64    `cbor:"4,keyasint"`           // since the settings were confirmed as the newest, -1 for never
	ContactMS int64    `cbor:"5,keyasint"`           // since the last call that the store answered, -1 for never
	Reading   bool     `cbor:"6,keyasint,omitempty"` // the sender reads the store
	StoreLost bool     `cbor:"7,keyasint,omitempty"` // the store did not answer the last call
	ReadCost  int      `cbor:"8,keyasint,omitempty"` // ms to take in a large version of the settings, 0 for not known

	// Entries of former versions send none of these.
	Relayed    bool   `cbor:"9,keyasint,omitempty"`  // the sender is told of events by relays
	DataCentre string `cbor:"10,keyasint,omitempty"` // of the sender
	Reply      bool   `cbor:"11,keyasint,omitempty"` // the sender wants a heartbeat back
	Informed   bool   `cbor:"12,keyasint,omitempty"` // the sender has heard of attempts for long, or was handed a snapshot
	ClockMS    int64  `cbor:"13,keyasint,omitempty"` // the sender's time of day, since the start of 1970
	Fence      uint64 `cbor:"14,keyasint,omitempty"` // with which the sender holds the duties, 0 for not

	Evacuated   []string `cbor:"15,keyasint,omitempty"` // data centres, at EvacuatedAt
	EvacuatedAt uint64   `cbor:"16,keyasint,omitempty"` // revision of the store, 0 for not known
	Presence    bool     `cbor:"17,keyasint,omitempty"` // the sender understands packets with one
}

// evacuations returns what the sender knows of evacuated data centres.
func (h *heartbeat) evacuations() driver.Evacuations {
	return driver.Evacuations{Revision: h.EvacuatedAt, DataCentres: h.Evacuated}
}

const (
	// maxEventBytes is about how many bytes of events go into one datagram: one
	// Ethernet frame with some room.
	maxEventBytes = 1200
	// maxDatagram is the largest datagram that UDP carries, in bytes.
	maxDatagram = 64 << 10
	// never stands for an age that is unknown.
	never = -1
)

// age returns the milliseconds since a time, never for the zero time.
func age(at time.Time) int64 {
	if at.IsZero() {
		return never
	}
	return steady.Since(at).Milliseconds()
}

// since returns the time that an age stands for.
func since(now time.Time, ms int64) time.Time {
	if ms < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// sized is something to be sent and about how many bytes it takes in a datagram.
type sized[T any] struct {
	item T
	size int
}

// inDatagrams cuts what is to be sent into parts of about maxEventBytes.
func inDatagrams[T any](all []sized[T]) [][]T {
	var parts [][]T
	room := 0
	for _, x := range all {
		if len(parts) == 0 || x.size > room {
			parts = append(parts, nil)
			room = maxEventBytes
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], x.item)
		room -= x.size
	}
	return parts
}
