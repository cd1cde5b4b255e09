// Package resumption decides at which version of its engine's software a broken stream may be
// resumed. What two versions write doesn't fit together, and engines don't check it.
//
//   - rule.go: where a stream may be resumed, or why it may not;
//   - origins.go: which endpoint began each stream, as all entries announce it;
//   - versions.go: which versions the endpoints of a service run, and ran until lately.
//
// The package does no I/O, starts no goroutine and reads no clock.
package resumption

import (
	"strconv"

	"foxcross.dev/coord/rendezvous"
)

// Key identifies a stream among those of all teams. The zero value is no stream.
type Key uint64

// KeyOf returns the key of the stream whose first event the request of a team brought.
func KeyOf(team, request string) Key {
	return Key(rendezvous.Hash(strconv.Itoa(len(team)) + ":" + team + request))
}

// Software is what an endpoint runs.
type Software struct {
	Service string
	Version string
}

// Origin is the endpoint that began a stream.
type Origin struct {
	Endpoint string // incarnation
	Software
}
