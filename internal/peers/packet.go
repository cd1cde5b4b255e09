// Package peers carries what entries tell each other: which work they placed
// where and how it went, as datagrams that may be lost, and on request the
// settings and the list of endpoints, over TCP.
package peers

import (
	"time"

	"foxcross.dev/coord/placement"
)

// Kind says what a note is about.
type Kind uint8

// The kinds of notes.
const (
	Placed Kind = iota + 1
	Begun
	Ended
)

// Note is one thing that happened to a request of the sender.
type Note struct {
	Kind     Kind              `cbor:"1,keyasint"`
	Number   uint64            `cbor:"2,keyasint"`           // of the request at its owner
	Endpoint string            `cbor:"3,keyasint,omitempty"` // of Placed
	Job      *placement.Job    `cbor:"4,keyasint,omitempty"` // of Placed
	Outcome  placement.Outcome `cbor:"5,keyasint,omitempty"` // of Ended
}

// packet is one datagram.
type packet struct {
	Owner     uint64   `cbor:"1,keyasint"` // one life of the sender
	Name      string   `cbor:"2,keyasint"`
	Version   uint64   `cbor:"3,keyasint,omitempty"` // of the settings in force
	Revision  uint64   `cbor:"4,keyasint,omitempty"` // of the list of endpoints
	ConfirmMS int64    `cbor:"5,keyasint,omitempty"` // since the version was known to be the newest, -1 for never
	Members   []string `cbor:"6,keyasint,omitempty"` // addresses of live entries, in heartbeats
	Notes     []Note   `cbor:"7,keyasint,omitempty"`
	Leaving   bool     `cbor:"8,keyasint,omitempty"`
	SourceMS  int64    `cbor:"9,keyasint,omitempty"` // since the source last answered a call of the sender, -1 for never
}

// Sizes and times.
const (
	mostPacket     = 1200 // bytes of notes in one datagram, about
	mostDatagram   = 64 << 10
	flushEvery     = 10 * time.Millisecond
	heartbeatEvery = 250 * time.Millisecond
	aliveFor       = 1200 * time.Millisecond
	mostPeers      = 256
	mostNotes      = 4096
	seedEvery      = time.Second
	sentinels      = 2
	contactFor     = 3 * time.Second // a sentinel that the source hasn't answered for so long is replaced
	fetchTimeout   = time.Second
	fetchSoon      = 120 * time.Millisecond // a peer is ahead for so long before it is asked
	fetchLate      = 900 * time.Millisecond // the same while the source answers, which then tells it sooner
)
