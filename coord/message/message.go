// Package message holds the typed messages between entries and agents. They
// carry durations, never clock times, so that no two clocks need to agree.
package message

import (
	"time"

	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/result"
)

// RequestID numbers a request within the entry that owns it. It is unique only
// together with the connection it came over.
type RequestID uint64

// Attempt numbers the tries of one request, from 1.
type Attempt uint8

// Message is one of the types of this package.
type Message interface{ message() }

// Terms are what the settings tree says of a request. They travel with the
// offer, so that an agent needs no settings to order its queue and a change is
// in force as soon as the entries have it.
type Terms struct {
	Class         string        `cbor:"1,keyasint"`
	Team          string        `cbor:"2,keyasint,omitempty"`
	Tier          int           `cbor:"3,keyasint"` // 0 is the highest
	FirstToken    time.Duration `cbor:"4,keyasint"` // target, from acceptance
	BetweenTokens time.Duration `cbor:"5,keyasint,omitempty"`
	StarveAfter   time.Duration `cbor:"6,keyasint,omitempty"`
	StallAfter    time.Duration `cbor:"7,keyasint,omitempty"`
	FloorPermille int           `cbor:"8,keyasint,omitempty"`
	Weight        int           `cbor:"9,keyasint,omitempty"`
	Repeatable    bool          `cbor:"10,keyasint,omitempty"`
	Preemptible   bool          `cbor:"11,keyasint,omitempty"`
}

// Hello opens a connection and names its sender.
type Hello struct {
	Name       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint,omitempty"`
	Settings   uint64 `cbor:"3,keyasint,omitempty"` // highest settings version seen
	Contents   bool   `cbor:"4,keyasint,omitempty"` // it understands Contents
}

// Offer asks an agent for a slot. No body comes with it.
type Offer struct {
	Request      RequestID     `cbor:"1,keyasint"`
	Attempt      Attempt       `cbor:"2,keyasint"`
	Target       string        `cbor:"3,keyasint"` // model or service
	Terms        Terms         `cbor:"4,keyasint"`
	Age          time.Duration `cbor:"5,keyasint"` // since the entry accepted the request
	PromptTokens int           `cbor:"6,keyasint,omitempty"`
	Prefix       []uint64      `cbor:"7,keyasint,omitempty"` // chain hash of the prompt's blocks
}

// Ready answers an offer: a slot is held for a short time.
type Ready struct {
	Request RequestID     `cbor:"1,keyasint"`
	Attempt Attempt       `cbor:"2,keyasint"`
	Hold    time.Duration `cbor:"3,keyasint"`
	Preempt bool          `cbor:"4,keyasint,omitempty"` // the start will stop lower-tier work
}

// Declined answers an offer that will get no slot. Nothing was run.
type Declined struct {
	Request RequestID   `cbor:"1,keyasint"`
	Attempt Attempt     `cbor:"2,keyasint"`
	Code    result.Code `cbor:"3,keyasint"`
}

// Withdraw takes an offer back.
type Withdraw struct {
	Request RequestID `cbor:"1,keyasint"`
	Attempt Attempt   `cbor:"2,keyasint"`
}

// Start hands the body to the one agent that runs the attempt. It opens a
// stream of its own; chunks and the end come back on that stream.
type Start struct {
	Request    RequestID `cbor:"1,keyasint"`
	Attempt    Attempt   `cbor:"2,keyasint"`
	Method     string    `cbor:"3,keyasint,omitempty"` // plain services
	Path       string    `cbor:"4,keyasint,omitempty"` // plain services, with query
	Header     []Field   `cbor:"5,keyasint,omitempty"` // plain services
	Body       []byte    `cbor:"6,keyasint"`
	SentText   string    `cbor:"7,keyasint,omitempty"` // answer text the caller already has
	SentTokens int       `cbor:"8,keyasint,omitempty"` // tokens of SentText
	Known      int       `cbor:"9,keyasint,omitempty"` // crashes that its entry counts against its content
}

// Content returns the key of what a start asks for, on behalf of the team in its terms: whoever
// asks for the same again, by whatever entry, has the same key.
func (m Start) Content(target string, t Terms) quarantine.Key {
	return quarantine.KeyOf(t.Team, m.Method, target+" "+m.Path, m.Body)
}

// Field is one HTTP header field.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Head is the status and header of a plain service's answer.
type Head struct {
	Request RequestID `cbor:"1,keyasint"`
	Attempt Attempt   `cbor:"2,keyasint"`
	Status  int       `cbor:"3,keyasint"`
	Header  []Field   `cbor:"4,keyasint,omitempty"`
}

// Chunk is a piece of an answer.
type Chunk struct {
	Request RequestID `cbor:"1,keyasint"`
	Attempt Attempt   `cbor:"2,keyasint"`
	Tokens  int       `cbor:"3,keyasint,omitempty"`
	Text    string    `cbor:"4,keyasint,omitempty"` // plain text of a model's answer
	Data    []byte    `cbor:"5,keyasint,omitempty"` // choices that are more than text, or a service's bytes
}

// End closes an attempt. An answer without an End with code OK is not whole.
type End struct {
	Request      RequestID   `cbor:"1,keyasint"`
	Attempt      Attempt     `cbor:"2,keyasint"`
	Code         result.Code `cbor:"3,keyasint"`
	Run          result.Run  `cbor:"4,keyasint"`
	FinishReason string      `cbor:"5,keyasint,omitempty"` // as the engine gives it
	Reason       string      `cbor:"6,keyasint,omitempty"`
	PromptTokens int         `cbor:"7,keyasint,omitempty"` // tokens of the prompt, as the engine counts
	AnswerTokens int         `cbor:"8,keyasint,omitempty"` // tokens of this attempt's part of the answer
	// Crash tells that the endpoint crashed under the attempt. It comes with the end, so that the
	// entry knows before it decides what follows.
	Crash *quarantine.CrashReport `cbor:"9,keyasint,omitempty"`
}

// Cancel stops a running attempt.
type Cancel struct {
	Request RequestID `cbor:"1,keyasint"`
	Attempt Attempt   `cbor:"2,keyasint"`
}

// Tiers is the number of tiers a report tells apart; lower ones count as the last.
const Tiers = 4

// Load is an agent's state for one target.
type Load struct {
	Target        string               `cbor:"1,keyasint"`
	Slots         int                  `cbor:"2,keyasint"`
	Free          int                  `cbor:"3,keyasint"`
	Wait          [Tiers]time.Duration `cbor:"4,keyasint"`           // expected wait for a slot, by tier
	SlotInterval  time.Duration        `cbor:"5,keyasint"`           // mean time between two slots that fall free
	FirstToken    time.Duration        `cbor:"6,keyasint,omitempty"` // measured from start to first token
	BetweenTokens time.Duration        `cbor:"7,keyasint,omitempty"` // measured between tokens
	Preemptible   [Tiers]int           `cbor:"8,keyasint,omitempty"` // running work below each tier that may be stopped
	Queued        [Tiers]int           `cbor:"9,keyasint,omitempty"`
}

// Heartbeat carries an agent's loads; an entry sends it without loads.
type Heartbeat struct {
	Settings uint64 `cbor:"1,keyasint,omitempty"`
	Loads    []Load `cbor:"2,keyasint,omitempty"`
	Leaving  bool   `cbor:"3,keyasint,omitempty"`
}

// Leaving says that the agent takes no new work.
type Leaving struct{}

// Contents tells of contents under which endpoints have crashed, and of those that have succeeded
// since. An agent tells its entries, an entry its agents, each what is news to it.
type Contents struct {
	Known quarantine.Snapshot `cbor:"1,keyasint"`
}

// SettingsRequest asks a peer for a settings version it has announced. It opens
// a stream of its own; the reply comes back on that stream.
type SettingsRequest struct {
	Version uint64   `cbor:"1,keyasint"`
	Have    []string `cbor:"2,keyasint,omitempty"` // hashes of the parts held
}

// SettingsReply carries a root and the parts of it that the asker lacks.
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
