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
	Kind     Kind               `cbor:"1,keyasint"`
	Number   uint64             `cbor:"2,keyasint"`           // of the request at its owner
	Endpoint string             `cbor:"3,keyasint,omitempty"` // of Placed
	Job      *placement.Request `cbor:"4,keyasint,omitempty"` // of Placed
	Outcome  placement.Outcome  `cbor:"5,keyasint,omitempty"` // of Ended
	AgeMS    int64              `cbor:"6,keyasint,omitempty"` // since it happened, when it is sent

	at time.Time // when it happened, at the sender
}

// packet is one datagram: a heartbeat, or notes.
type packet struct {
	Owner     uint64     `cbor:"1,keyasint"`           // one life of the sender
	Version   uint64     `cbor:"2,keyasint,omitempty"` // of the settings in force
	Revision  uint64     `cbor:"3,keyasint,omitempty"` // of the list of endpoints
	Notes     []Note     `cbor:"4,keyasint,omitempty"`
	Heartbeat *heartbeat `cbor:"5,keyasint,omitempty"`
}

// heartbeat is what an entry says of itself at intervals.
type heartbeat struct {
	Name      string   `cbor:"1,keyasint"`
	Members   []string `cbor:"2,keyasint,omitempty"` // addresses of some live entries, now and then
	Leaving   bool     `cbor:"3,keyasint,omitempty"`
	ConfirmMS int64    `cbor:"4,keyasint"`           // since the version was known to be the newest, -1 for never
	SourceMS  int64    `cbor:"5,keyasint"`           // since the source last answered a call of the sender, -1 for never
	Asking    bool     `cbor:"6,keyasint,omitempty"` // the sender is one of those that ask the source
	Lost      bool     `cbor:"7,keyasint,omitempty"` // the source did not answer the last call
}

// Sizes and times.
const (
	maxPacket      = 1200 // bytes of notes in one datagram, about
	maxDatagram    = 64 << 10
	flushAfter     = 10 * time.Millisecond // notes wait so long for others
	heartbeatEvery = 250 * time.Millisecond
	aliveFor       = 1200 * time.Millisecond
	forgetAfter    = time.Minute
	maxPeers       = 1024
	maxNamed       = 16 // live entries that one heartbeat names, by chance
	maxNotes       = 4096
	maxNoteAge     = time.Second // that is believed
	seedEvery      = time.Second
	fetchTimeout   = 600 * time.Millisecond
	fetchSoon      = 40 * time.Millisecond  // a peer is ahead for so long before it is asked
	fetchLate      = 900 * time.Millisecond // the same while the source answers, which then tells it sooner
)

// age returns the milliseconds since the time, -1 for never.
func age(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// since returns the time that an age stands for.
func since(now time.Time, ms int64) time.Time {
	if ms < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
