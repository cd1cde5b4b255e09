// Package message defines the messages between entries and agents. They contain durations, never
// clock times, so that clocks need not be synchronized.
package message

import (
	"time"

	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/result"
)

// RequestID is the number of a request at the entry that owns it. It is unique only within a
// connection.
type RequestID uint64

// Attempt is the number of an attempt of one request, from 1.
type Attempt uint8

// Message is one of the types of this package.
type Message interface{ message() }

// Terms are the settings that apply to a request. They are part of the offer, so that an agent
// needs no settings to order its queue, and a change takes effect as soon as the entries have it.
type Terms struct {
	Class         string        `cbor:"1,keyasint"`
	Team          string        `cbor:"2,keyasint,omitempty"`
	Tier          int           `cbor:"3,keyasint"` // 0 is the highest
	FirstToken    time.Duration `cbor:"4,keyasint"` // target, from acceptance of the request
	BetweenTokens time.Duration `cbor:"5,keyasint,omitempty"`
	StarveAfter   time.Duration `cbor:"6,keyasint,omitempty"`
	StallAfter    time.Duration `cbor:"7,keyasint,omitempty"`
	FloorPermille int           `cbor:"8,keyasint,omitempty"`
	Weight        int           `cbor:"9,keyasint,omitempty"`
	Repeatable    bool          `cbor:"10,keyasint,omitempty"`
	Preemptible   bool          `cbor:"11,keyasint,omitempty"`
}

// Hello is the first message of a connection and identifies its sender.
type Hello struct {
	Name       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint,omitempty"`
	Settings   uint64 `cbor:"3,keyasint,omitempty"` // highest settings version seen
	Contents   bool   `cbor:"4,keyasint,omitempty"` // the sender supports Contents
}

// Offer requests a slot from an agent. It does not contain the body.
type Offer struct {
	Request      RequestID     `cbor:"1,keyasint"`
	Attempt      Attempt       `cbor:"2,keyasint"`
	Target       string        `cbor:"3,keyasint"` // model or service
	Terms        Terms         `cbor:"4,keyasint"`
	Age          time.Duration `cbor:"5,keyasint"` // since the entry accepted the request
	PromptTokens int           `cbor:"6,keyasint,omitempty"`
	Prefix       []uint64      `cbor:"7,keyasint,omitempty"` // chain hashes of the prompt's blocks
}

// Ready accepts an offer: a slot is reserved for a short time.
type Ready struct {
	Request RequestID     `cbor:"1,keyasint"`
	Attempt Attempt       `cbor:"2,keyasint"`
	Hold    time.Duration `cbor:"3,keyasint"`           // time for which the slot is reserved
	Preempt bool          `cbor:"4,keyasint,omitempty"` // the start will preempt a lower-tier request
}

// Declined rejects an offer. The request was not run.
type Declined struct {
	Request RequestID   `cbor:"1,keyasint"`
	Attempt Attempt     `cbor:"2,keyasint"`
	Code    result.Code `cbor:"3,keyasint"`
}

// Withdraw withdraws an offer.
type Withdraw struct {
	Request RequestID `cbor:"1,keyasint"`
	Attempt Attempt   `cbor:"2,keyasint"`
}

// Start sends the body to the agent that runs the attempt. It opens a stream of its own, on which
// the agent sends the chunks and the end.
type Start struct {
	Request      RequestID `cbor:"1,keyasint"`
	Attempt      Attempt   `cbor:"2,keyasint"`
	Method       string    `cbor:"3,keyasint,omitempty"` // plain services
	Path         string    `cbor:"4,keyasint,omitempty"` // plain services, with query
	Header       []Field   `cbor:"5,keyasint,omitempty"` // plain services
	Body         []byte    `cbor:"6,keyasint"`
	SentText     string    `cbor:"7,keyasint,omitempty"` // response text already sent to the caller
	SentTokens   int       `cbor:"8,keyasint,omitempty"` // tokens of SentText
	KnownCrashes int       `cbor:"9,keyasint,omitempty"` // crashes that the entry counts against the content
}

// Content returns the key of the content that a start requests for the team in its terms. The same
// request of the same team has the same key at all entries.
func (m Start) Content(target string, t Terms) quarantine.Key {
	return quarantine.KeyOf(t.Team, m.Method, target+" "+m.Path, m.Body)
}

// Field is one HTTP header field.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Head is the status and header of a plain service's response.
type Head struct {
	Request RequestID `cbor:"1,keyasint"`
	Attempt Attempt   `cbor:"2,keyasint"`
	Status  int       `cbor:"3,keyasint"`
	Header  []Field   `cbor:"4,keyasint,omitempty"`
}

// Chunk is a part of a response.
type Chunk struct {
	Request RequestID `cbor:"1,keyasint"`
	Attempt Attempt   `cbor:"2,keyasint"`
	Tokens  int       `cbor:"3,keyasint,omitempty"`
	Text    string    `cbor:"4,keyasint,omitempty"` // plain text of a model's response
	Data    []byte    `cbor:"5,keyasint,omitempty"` // choices with other data than text, or bytes of a service's response
}

// End ends an attempt. A response without an End with code OK is incomplete.
type End struct {
	Request      RequestID        `cbor:"1,keyasint"`
	Attempt      Attempt          `cbor:"2,keyasint"`
	Code         result.Code      `cbor:"3,keyasint"`
	Run          result.Execution `cbor:"4,keyasint"`
	FinishReason string           `cbor:"5,keyasint,omitempty"` // as returned by the engine
	Reason       string           `cbor:"6,keyasint,omitempty"`
	PromptTokens int              `cbor:"7,keyasint,omitempty"` // tokens of the prompt, as counted by the engine
	AnswerTokens int              `cbor:"8,keyasint,omitempty"` // tokens of the response generated in this attempt
	// Crash is set if the endpoint crashed during the attempt. It is part of the end, so that the
	// entry has it before it decides on a retry.
	Crash *quarantine.CrashReport `cbor:"9,keyasint,omitempty"`
}

// Cancel stops a running attempt.
type Cancel struct {
	Request RequestID `cbor:"1,keyasint"`
	Attempt Attempt   `cbor:"2,keyasint"`
}

// Tiers is the number of tiers that a load report distinguishes. Lower tiers count as the last one.
const Tiers = 4

// Load is the load of an agent for one target.
type Load struct {
	Target        string               `cbor:"1,keyasint"`
	Slots         int                  `cbor:"2,keyasint"`
	Free          int                  `cbor:"3,keyasint"`
	Wait          [Tiers]time.Duration `cbor:"4,keyasint"`           // expected wait for a slot, by tier
	SlotInterval  time.Duration        `cbor:"5,keyasint"`           // mean interval between slots that become free
	FirstToken    time.Duration        `cbor:"6,keyasint,omitempty"` // measured time from start to first token
	BetweenTokens time.Duration        `cbor:"7,keyasint,omitempty"` // measured time between tokens
	Preemptible   [Tiers]int           `cbor:"8,keyasint,omitempty"` // running requests below each tier that may be preempted
	Queued        [Tiers]int           `cbor:"9,keyasint,omitempty"`
}

// Heartbeat contains the loads of an agent. An entry sends it without loads.
type Heartbeat struct {
	Settings uint64 `cbor:"1,keyasint,omitempty"`
	Loads    []Load `cbor:"2,keyasint,omitempty"`
	Leaving  bool   `cbor:"3,keyasint,omitempty"`
}

// Leaving announces that the agent accepts no new requests.
type Leaving struct{}

// Contents reports contents that were in progress at crashes of endpoints, and contents that have
// succeeded since. Agents and entries forward to each other what was new to them.
type Contents struct {
	Known quarantine.Snapshot `cbor:"1,keyasint"`
}

// SettingsRequest requests a settings version that a peer has announced. It opens a stream of its
// own, on which the peer sends the reply.
type SettingsRequest struct {
	Version uint64   `cbor:"1,keyasint"`
	Have    []string `cbor:"2,keyasint,omitempty"` // hashes of the parts that the sender has
}

// SettingsReply contains a root and those of its parts that the requester lacks.
type SettingsReply struct {
	Root  []byte            `cbor:"1,keyasint"`
	Parts map[string][]byte `cbor:"2,keyasint,omitempty"` // by content hash
}

func (Hello) message()           {}
func (Offer) message()           {}
func (Ready) message()           {}
func (Declined) message()        {}
func (Withdraw) message()        {}
func (Start) message()           {}
func (Head) message()            {}
func (Chunk) message()           {}
func (End) message()             {}
func (Cancel) message()          {}
func (Heartbeat) message()       {}
func (Leaving) message()         {}
func (Contents) message()        {}
func (SettingsRequest) message() {}
func (SettingsReply) message()   {}
