// Package settings implements the settings tree that operators edit: its nodes and their
// inheritance, the validation of a tree, and the versions of a tree.
package settings

import (
	"reflect"
	"time"
)

// Kind is the kind of a node.
type Kind string

// The kinds. A group only provides fields that its children inherit.
const (
	Group   Kind = ""
	Class   Kind = "class"
	Team    Kind = "team"
	Service Kind = "service"
)

// Match selects the requests of a plain service by method and path, and those of a
// route by host and path.
type Match struct {
	Host   string `json:"host,omitempty"`   // set for a route of that host
	Method string `json:"method,omitempty"` // empty for any
	Prefix string `json:"prefix"`           // of the path; relative to the service if no host is set
}

// Share is one of the services over which the requests of a class are split.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Fields are the settings a node may set. Nil means inherited. docs/SETTINGS.md
// lists each with its unit, default and range.
type Fields struct {
	Tier               *int      `json:"tier,omitempty"`
	Model              *string   `json:"model,omitempty"`
	Service            *string   `json:"service,omitempty"`
	Match              *[]Match  `json:"match,omitempty"`
	FirstTokenMS       *int      `json:"first_token_ms,omitempty"`
	BetweenTokensMS    *int      `json:"between_tokens_ms,omitempty"`
	CompleteMS         *int      `json:"complete_ms,omitempty"`
	Repeatable         *bool     `json:"repeatable,omitempty"`
	Preemptible        *bool     `json:"preemptible,omitempty"`
	FloorPermille      *int      `json:"floor_permille,omitempty"`
	StarveAfterMS      *int      `json:"starve_after_ms,omitempty"`
	StallAfterMS       *int      `json:"stall_after_ms,omitempty"`
	GiveUpMS           *int      `json:"give_up_ms,omitempty"`
	RetryPermille      *int      `json:"retry_permille,omitempty"`
	KeyHashes          *[]string `json:"key_hashes,omitempty"`
	Weight             *int      `json:"weight,omitempty"`
	RatePerSecond      *float64  `json:"rate_per_s,omitempty"`
	Concurrency        *int      `json:"concurrency,omitempty"`
	DefaultClass       *string   `json:"default_class,omitempty"`
	Classes            *[]string `json:"classes,omitempty"`
	Split              *[]Share  `json:"split,omitempty"`
	MaxAttempts        *int      `json:"most_attempts,omitempty"`
	Streaming          *bool     `json:"streaming,omitempty"`
	Resumable          *bool     `json:"resumable,omitempty"`
	Public             *bool     `json:"public,omitempty"`
	EnginePriority     *int      `json:"engine_priority,omitempty"`
	MaxConnections     *int      `json:"most_connections,omitempty"`
	EngineSlots        *int      `json:"engine_slots,omitempty"`
	EngineMemoryTokens *int      `json:"engine_memory_tokens,omitempty"`
	EventTokens        *int      `json:"event_tokens,omitempty"`
	TokenBytes         *int      `json:"token_bytes,omitempty"`
	EngineLinkMbps     *int      `json:"engine_link_mbps,omitempty"`
	WarmupMS           *int      `json:"warmup_ms,omitempty"`
	WarmupRate         *float64  `json:"warmup_rate_per_s,omitempty"`
	TeamShares         *bool     `json:"team_shares,omitempty"`
	QueuedAdmission    *bool     `json:"queued_admission,omitempty"`
	ReplicateRuns      *bool     `json:"replicate_runs,omitempty"`
	EngineSpeeds       *bool     `json:"engine_speeds,omitempty"`
	AllowedRegions     *[]string `json:"allowed_regions,omitempty"`
	MaxHeaderBytes     *int      `json:"most_header_bytes,omitempty"`
	MaxBodyBytes       *int      `json:"most_body_bytes,omitempty"`
	HeaderTimeoutMS    *int      `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS      *int      `json:"idle_timeout_ms,omitempty"`
}

// Override returns the fields with those that the child sets replaced by the child's.
func (f Fields) Override(child Fields) Fields {
	merged := f
	target := reflect.ValueOf(&merged).Elem()
	source := reflect.ValueOf(child)
	for n := range source.NumField() {
		if !source.Field(n).IsNil() {
			target.Field(n).Set(source.Field(n))
		}
	}
	return merged
}

// Defaults are the values of fields that no node sets.
var Defaults = Fields{
	Tier:               ptr(1),
	FirstTokenMS:       ptr(2000),
	BetweenTokensMS:    ptr(100),
	CompleteMS:         ptr(60000),
	Repeatable:         ptr(false),
	Preemptible:        ptr(false),
	FloorPermille:      ptr(10),
	StarveAfterMS:      ptr(60000),
	StallAfterMS:       ptr(10000),
	GiveUpMS:           ptr(30000),
	RetryPermille:      ptr(200),
	Weight:             ptr(1),
	RatePerSecond:      ptr(0.0),
	Concurrency:        ptr(0),
	MaxAttempts:        ptr(2),
	Streaming:          ptr(false),
	Resumable:          ptr(false),
	Public:             ptr(false),
	MaxConnections:     ptr(256),
	EngineSlots:        ptr(0),
	EngineMemoryTokens: ptr(0),
	EventTokens:        ptr(1),
	TokenBytes:         ptr(0),
	EngineLinkMbps:     ptr(0),
	WarmupMS:           ptr(0),
	WarmupRate:         ptr(0.0),
	TeamShares:         ptr(false),
	QueuedAdmission:    ptr(false),
	ReplicateRuns:      ptr(false),
	EngineSpeeds:       ptr(false),
	MaxHeaderBytes:     ptr(65536),
	MaxBodyBytes:       ptr(8388608),
	HeaderTimeoutMS:    ptr(10000),
	IdleTimeoutMS:      ptr(120000),
}

func ptr[T any](v T) *T { return &v }

// value returns the value that p points to, or the zero value if p is nil.
func value[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

func milliseconds(p *int) time.Duration {
	return time.Duration(value(p)) * time.Millisecond
}
