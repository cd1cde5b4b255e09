// Package placement decides which endpoint takes a request, for entries that forward directly
// to endpoints. A Table holds one entry's state of every endpoint: the open attempts of all
// entries, the cached prompt prefixes, the speed and the failures.
//
// The rules, each in a file of its own:
//
//   - cost.go: the cost of sending a request to an endpoint;
//   - choose.go: the available endpoint with the lowest cost;
//   - pool.go: the size of the pool for long prompts;
//   - home.go: the preferred endpoint of a prompt prefix that none is known to cache;
//   - health.go: when an endpoint counts as slow, stalled, failing, or recovered;
//   - speed.go: how fast each engine generates tokens, and whether a service's engines are uneven;
//   - pause.go: the chance that a stream pauses for longer than its target;
//   - replica.go: the engine that holds the copy of a run's memory;
//   - eligible.go: which endpoints may take a request at all (package eligibility).
//
// Others read the table: work.go estimates the engine time of requests, for package share, and
// load.go the demand and capacity of a service, for package admission.
//
// Their inputs are maintained in attempts.go (events of attempts), backlog.go (prompts waiting
// for prefill), busy.go (times in which engines compute prompts), prefill.go (time to the first
// event by prompt length), interval.go (time between events) and spread.go (how far that varies). Package memory models the engines' prompt caches and transfers between them.
//
// The package does no I/O, starts no goroutine and reads no clock.
package placement

import (
	"strconv"
	"strings"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
)

// Endpoint is an endpoint as described by the list of endpoints.
type Endpoint struct {
	ID         string `cbor:"1,keyasint"` // stays the same when the endpoint restarts
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint,omitempty"`
	Slots      int    `cbor:"5,keyasint,omitempty"` // requests that run at once, 0 for unknown
	Leaving    bool   `cbor:"6,keyasint,omitempty"` // takes no new requests
	Engine     bool   `cbor:"7,keyasint,omitempty"` // runs a language model
	StartedMS  int64  `cbor:"8,keyasint,omitempty"` // start time in ms since 1970, 0 for unknown

	// WarmupLeft is the remaining warm-up time when the record was written, 0 for warm.
	WarmupLeft time.Duration `cbor:"9,keyasint,omitempty"`

	// Version is the version of the software that this incarnation runs, NoVersion if its record names
	// none, empty if the record came through an entry of an older build. It has no order, and is not
	// that of the model's weights.
	Version string `cbor:"10,keyasint,omitempty"`

	// Retained is set for an endpoint that is no longer on the list but still in use. It is not sent to
	// other entries, which retain endpoints by themselves.
	Retained bool `cbor:"-"`
}

// NoVersion is the version of endpoints whose records name none.
const NoVersion = "none"

// incarnationSeparator separates the endpoint's id from its start time in the name of an
// incarnation.
const incarnationSeparator = "@"

// Incarnation returns the name of this incarnation of the endpoint. A restarted endpoint keeps
// no state, so that tables, events and snapshots use this name: the state of the previous
// incarnation is dropped, and late events for it have no effect.
func (e Endpoint) Incarnation() string {
	if e.StartedMS == 0 {
		return e.ID
	}
	return e.ID + incarnationSeparator + strconv.FormatInt(e.StartedMS, 10)
}

// KeepsID reports whether the endpoint that has an incarnation keeps its ID when it restarts.
func KeepsID(incarnation string) bool { return strings.Contains(incarnation, incarnationSeparator) }

// EndpointID returns the ID of the endpoint that has an incarnation.
func EndpointID(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, incarnationSeparator)
	return id
}

// Replaces reports whether this is a different incarnation of the same endpoint.
func (e Endpoint) Replaces(incarnation string) bool {
	return EndpointID(incarnation) == e.ID && incarnation != e.Incarnation()
}

// Service holds the settings for the endpoints of a service.
type Service struct {
	Name             string
	MemoryTokens     int           // memory of one engine in tokens, 0 for unknown
	MaxRequests      int           // open requests per endpoint, 0 for no bound
	EventTokens      int           // tokens in one event of a stream
	InterEventTarget time.Duration // strictest inter-event target among the service's classes, 0 for none
	TransferRate     memory.Rate   // of prompt parts between its engines
	Warmup           eligibility.WarmupLimit
	LowestPriority   int // the least urgent one among its classes

	TeamShares      bool // see settings.ServiceInfo for this and the following fields
	QueuedAdmission bool
	ReplicateRuns   bool
	EngineSpeeds    bool
}

// AttemptID identifies one send of a request to an endpoint, among all entries.
type AttemptID struct {
	Owner  uint64 `cbor:"1,keyasint"` // incarnation of the entry that sent it
	Number uint64 `cbor:"2,keyasint"` // sequence number assigned by that entry
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	Service          string        `cbor:"1,keyasint"`
	Prompt           memory.Prompt `cbor:"2,keyasint"`
	FirstEventTarget time.Duration `cbor:"3,keyasint,omitempty"` // target for the first event, or for a whole response
	InterEventTarget time.Duration `cbor:"4,keyasint,omitempty"` // target between events, 0 for no stream
	Priority         int           `cbor:"5,keyasint,omitempty"` // 0 is the most urgent
	TimeLeft         time.Duration `cbor:"6,keyasint,omitempty"` // until its deadline, 0 for unknown
	NoFetch          bool          `cbor:"-"`                    // disables fetches for it; not sent to other entries
	Resumes          bool          `cbor:"-"`                    // it resumes a stream, which Version began; not sent to other entries
	Version          string        `cbor:"-"`                    // of the endpoint's software, of a request that resumes a stream

	Team uint32 `cbor:"7,keyasint,omitempty"` // hash of the team's name, 0 where its service does not share engine time

	Regions eligibility.Regions `cbor:"-"` // in which it may be served; not sent to other entries
}

// accepts reports whether the request may be sent to an endpoint with a version of its software.
func (r Request) accepts(version string) bool { return !r.Resumes || r.Version == version }

// firstEventTargetMS returns the target for the first event in ms, at least 1.
func (r Request) firstEventTargetMS() float64 { return max(milliseconds(r.FirstEventTarget), 1) }

// Outcome is the result of an attempt.
type Outcome uint8

// The outcomes. Their numbers are sent between entries.
const (
	Succeeded   Outcome = iota
	Abandoned           // the caller left or the deadline passed
	Rejected            // the endpoint reported that it did not run the request
	Errored             // the endpoint responded with an error of its own
	Broken              // the connection failed or delivered no valid response
	Unreachable         // no connection was established
	PushedBack          // the endpoint asked this entry to back off; entries of earlier versions count it as a success
)

// failed reports whether the outcome counts as a failure of the endpoint.
func (o Outcome) failed() bool {
	return o == Errored || o == Broken || o == Unreachable || o == Rejected
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
