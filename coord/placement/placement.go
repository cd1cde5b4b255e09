// Package placement decides which endpoint takes a request. It keeps what is
// known of each endpoint (the work placed there by every entry, the parts of
// prompts it keeps, how fast it has proved) and chooses the endpoint where a
// request is expected to cost least: in its own lateness, in the harm to the
// requests beside it, and in prompt tokens that are read again.
//
// Nothing here does I/O, starts a goroutine or reads a clock.
package placement

import "time"

// Part is a piece of a prompt. Requests that share their first parts can reuse
// what an engine has read of them.
type Part struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Prompt is what a request says of its prompt and of its answer's length.
type Prompt struct {
	Tokens    int    `cbor:"1,keyasint,omitempty"`
	MaxOut    int    `cbor:"2,keyasint,omitempty"`
	LikelyOut int    `cbor:"3,keyasint,omitempty"` // the caller's guess, 0 for none
	Parts     []Part `cbor:"4,keyasint,omitempty"` // in order; the last is the request's own
}

// Out returns the tokens that the answer is expected to have.
func (p Prompt) Out() int {
	if p.LikelyOut > 0 {
		return p.LikelyOut
	}
	return p.MaxOut
}

// Endpoint is an endpoint as the list of endpoints describes it.
type Endpoint struct {
	ID         string `cbor:"1,keyasint"` // of one start of the endpoint
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint,omitempty"`
	Slots      int    `cbor:"5,keyasint,omitempty"` // requests at once, 0 for not known
	Leaving    bool   `cbor:"6,keyasint,omitempty"` // takes nothing new
	Engine     bool   `cbor:"7,keyasint,omitempty"` // runs a language model
}

// Service is what the settings say of the endpoints of a service.
type Service struct {
	Name         string
	MemoryTokens int           // that one engine keeps, 0 for not known
	Most         int           // requests that one endpoint is given at once, 0 for no bound
	EventTokens  int           // that one event of a stream holds
	Pause        time.Duration // the shortest pause between events that a class of the service allows
}

// JobID names a placed request among all entries.
type JobID struct {
	Owner  uint64 `cbor:"1,keyasint"` // one life of an entry
	Number uint64 `cbor:"2,keyasint"`
}

// Job is a request as placement sees it.
type Job struct {
	Service  string        `cbor:"1,keyasint"`
	Prompt   Prompt        `cbor:"2,keyasint"`
	Aim      time.Duration `cbor:"3,keyasint,omitempty"` // until the first event or the answer
	Pause    time.Duration `cbor:"4,keyasint,omitempty"` // between events, 0 for no stream
	Priority int           `cbor:"5,keyasint,omitempty"` // 0 first
	Left     time.Duration `cbor:"6,keyasint,omitempty"` // until its time is over, 0 for not known
}

// Outcome is how a placed request ended.
type Outcome uint8

// The outcomes.
const (
	Succeeded   Outcome = iota
	Abandoned           // the caller left or the time ran out
	Rejected            // the endpoint did not run it
	Errored             // the endpoint answered with a failure of its own
	Broken              // the connection failed or brought no proper answer
	Unreachable         // no connection came up
)

// bad tells whether the outcome speaks against the endpoint.
func (o Outcome) bad() bool {
	return o == Errored || o == Broken || o == Unreachable || o == Rejected
}
