// Package placement decides which endpoint takes a request, for entries that
// forward straight to endpoints. A Table keeps what one entry knows of every
// endpoint: the attempts that all entries have sent there, the prompt prefixes it
// caches, how fast it answers and how often it fails.
//
// The rules, each in a file of its own:
//
//   - cost.go: what it would cost to send a request to an endpoint;
//   - choose.go: the endpoint of lowest cost among those that may be tried;
//   - admit.go: whether the request is sent there or refused for now;
//   - pool.go: how many endpoints long prompts are kept to;
//   - home.go: where a prompt prefix goes that nobody is known to cache;
//   - health.go: when an endpoint counts as slow, silent, failing, or back;
//   - eligible.go: which endpoints a request may go to at all (package eligibility).
//
// What they learn from stands in attempts.go (events of attempts), backlog.go
// (prompts waiting for prefill), prefill.go (time to the first event by prompt
// length) and interval.go (time between events). What engines keep of prompts, and
// what it takes to move it, stands in package memory.
//
// Nothing here does I/O, starts a goroutine or reads a clock.
package placement

import (
	"strconv"
	"strings"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
)

// Endpoint is an endpoint as the list of endpoints describes it.
type Endpoint struct {
	ID         string `cbor:"1,keyasint"` // names it; it may start again under it
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint,omitempty"`
	Slots      int    `cbor:"5,keyasint,omitempty"` // requests that run at once, 0 for unknown
	Leaving    bool   `cbor:"6,keyasint,omitempty"` // takes no new requests
	Engine     bool   `cbor:"7,keyasint,omitempty"` // runs a language model
	Born       int64  `cbor:"8,keyasint,omitempty"` // when it started, ms since 1970, 0 for not known

	// WarmupLeft is how much longer it warmed up when this was told, 0 for warm.
	WarmupLeft time.Duration `cbor:"9,keyasint,omitempty"`
}

// bornMark stands in the name of an incarnation between the endpoint's id and its start.
const bornMark = "@"

// Incarnation returns the name of this start of the endpoint. One that starts again keeps
// and knows nothing of before, so that tables, events and snapshots go by this name: what was believed of the
// former start goes with it, and what is told of it late concerns nobody.
func (e Endpoint) Incarnation() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + bornMark + strconv.FormatInt(e.Born, 10)
}

// Replaces tells whether this start of the endpoint came after another one of it.
func (e Endpoint) Replaces(incarnation string) bool {
	id, _, _ := strings.Cut(incarnation, bornMark)
	return id == e.ID && incarnation != e.Incarnation()
}

// Service is what the settings say of the endpoints of a service.
type Service struct {
	Name          string
	MemoryTokens  int           // tokens that one engine keeps in memory, 0 for unknown
	MaxRequests   int           // open requests that one endpoint is given, 0 for no bound
	EventTokens   int           // tokens in one event of a stream
	BetweenTokens time.Duration // strictest target between events among the service's classes, 0 for none
	MoveRate      memory.Rate   // of prompt parts between its engines
	Warmup        eligibility.WarmupLimit
}

// AttemptID names one send of a request to an endpoint, among all entries.
type AttemptID struct {
	Owner  uint64 `cbor:"1,keyasint"` // incarnation of the entry that sent it
	Number uint64 `cbor:"2,keyasint"` // counted by that entry
}

// Request is a request as placement sees it.
type Request struct {
	Service       string        `cbor:"1,keyasint"`
	Prompt        memory.Prompt `cbor:"2,keyasint"`
	FirstToken    time.Duration `cbor:"3,keyasint,omitempty"` // target for the first event, or for a whole answer
	BetweenTokens time.Duration `cbor:"4,keyasint,omitempty"` // target between events, 0 for no stream
	Priority      int           `cbor:"5,keyasint,omitempty"` // 0 is the most urgent
	TimeLeft      time.Duration `cbor:"6,keyasint,omitempty"` // until its deadline, 0 for unknown
	NoFetch       bool          `cbor:"-"`                    // nothing is fetched for it; decides the choice only

	Regions eligibility.Regions `cbor:"-"` // in which it may be served; decides the choice only
}

// firstTokenMS returns the target for the first event, at least one millisecond.
func (r Request) firstTokenMS() float64 { return max(milliseconds(r.FirstToken), 1) }

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. Their numbers travel between entries.
const (
	Succeeded   Outcome = iota
	Abandoned           // the caller left or the deadline passed
	Rejected            // the endpoint said that it did not run the request
	Errored             // the endpoint answered with a failure of its own
	Broken              // the connection failed or brought no valid answer
	Unreachable         // no connection was established
	PushedBack          // the endpoint asked this entry to back off; entries of former versions take it for a success
)

// failed tells whether the outcome speaks against the endpoint.
func (o Outcome) failed() bool {
	return o == Errored || o == Broken || o == Unreachable || o == Rejected
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
