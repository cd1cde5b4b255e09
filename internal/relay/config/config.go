// Package config reads the settings files of processes. Its errors name the file, the
// field and the reason.
package config

import (
	"bytes"
	_ "embed" // the schemas
	"encoding/json"
	"errors"
	"os"
	"time"

	"foxcross.dev/foxcross/internal/relay/keys"

	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Platform selects the platform driver and its address.
type Platform struct {
	Driver  string `json:"driver"`
	Address string `json:"address"`
}

// Log sets the format and the level of log lines.
type Log struct {
	Format string `json:"form"`  // text or json
	Level  string `json:"level"` // debug, info, warn or error
}

// Admin configures the operators' API of the process.
type Admin struct {
	Address string `json:"address"`
	KeyHash string `json:"key_hash"` // hash of the operators' bearer key
}

// Entry is the settings file of an entry process. A number that is 0 or missing stands for
// its default, which is named beside it.
type Entry struct {
	Name       string     `json:"name"`
	DataCentre string     `json:"data_centre"`
	Listen     string     `json:"listen"` // address for callers
	Admin      Admin      `json:"admin"`
	TLS        keys.Files `json:"tls"`
	Platform   Platform   `json:"platform"`
	Log        Log        `json:"log"`

	MaxBodyBytes int `json:"most_body_bytes"` // of a request; entry.DefaultMaxBody
	MaxRequests  int `json:"most_requests"`   // open at once; binding.DefaultRequests
	MaxAgents    int `json:"most_agents"`     // agents connected to; subset.Default
	Fanout       int `json:"fanout"`          // agents that a request is offered to at once; binding.DefaultFanout

	StopGraceMS   int `json:"stop_grace_ms"`   // from failing the readiness check to refusing requests; DefaultStopGrace
	StopTimeoutMS int `json:"stop_timeout_ms"` // for running responses; DefaultStopTimeout
	MemberListMS  int `json:"member_list_ms"`  // between reads of the member list; entry.DefaultListInterval

	ClaimIntervalMS int `json:"claim_pace_ms"`    // shortest time between swaps of a partition; default derived from the number of entries
	ClaimPeriodMS   int `json:"claim_period_ms"`  // the same at all entries; claims.DefaultPeriod
	ClaimRetain     int `json:"claim_retain"`     // periods, the same at all entries; claims.DefaultRetain
	ClaimPartitions int `json:"claim_partitions"` // the same at all entries; claims.DefaultPartitions
}

// Agent is the settings file of an agent process. A number that is 0 or missing stands for
// its default, which is named beside it.
type Agent struct {
	Name       string     `json:"name"`
	DataCentre string     `json:"data_centre"`
	Listen     string     `json:"listen"` // address for entries
	Admin      Admin      `json:"admin"`
	TLS        keys.Files `json:"tls"`
	Log        Log        `json:"log"`
	Endpoints  []Endpoint `json:"endpoints"`

	QueueBound    int `json:"queue_bound"`     // offers queued for one target; queue.DefaultBound
	HoldMS        int `json:"hold_ms"`         // time a slot is held for its start; dispatch.DefaultHold
	HeartbeatMS   int `json:"heartbeat_ms"`    // between heartbeats to each entry; agent.DefaultHeartbeat
	StopTimeoutMS int `json:"stop_timeout_ms"` // for running work; DefaultStopTimeout
}

// Endpoint is a model engine or a plain service beside an agent.
type Endpoint struct {
	Name        string `json:"name"`
	Driver      string `json:"driver"`
	Address     string `json:"address"`
	Model       string `json:"model"`
	Service     string `json:"service"`
	MaxRequests int    `json:"most"`   // maximum concurrent requests, 0 for the learned limit only
	Fenced      bool   `json:"fenced"` // whether the endpoint checks fencing tokens
}

// Target returns the target that the endpoint serves.
func (e Endpoint) Target() string {
	if e.Service != "" {
		return settings.ServiceTarget(e.Service)
	}
	return e.Model
}

const (
	// DefaultStopGrace is the default time from failing the readiness check to refusing
	// requests, in which the load balancer notices.
	DefaultStopGrace = 2 * time.Second
	// DefaultStopTimeout is the default time that a graceful stop waits for running responses.
	DefaultStopTimeout = 10 * time.Minute
)

// Milliseconds converts a field to a duration, or returns the default if the field is 0.
func Milliseconds(n int, fallback time.Duration) time.Duration {
	if n <= 0 {
		return fallback
	}
	return time.Duration(n) * time.Millisecond
}

//go:embed entry.schema.json
var entrySchema []byte

//go:embed agent.schema.json
var agentSchema []byte

// ReadEntry reads the settings file of an entry.
func ReadEntry(path string) (Entry, error) {
	var c Entry
	err := read(path, entrySchema, &c)
	return c, err
}

// ReadAgent reads the settings file of an agent.
func ReadAgent(path string) (Agent, error) {
	var c Agent
	err := read(path, agentSchema, &c)
	return c, err
}

// read reads a file into v. If the file does not match the schema, the error names the
// field.
func read(path string, schema []byte, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return result.Errorf(result.FileUnreadable, "%v", err)
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return result.Errorf(result.FileSyntax, "%s: %v", path, err)
	}
	if err := validate(schema, document); err != nil {
		return fieldError(path, err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return result.Errorf(result.FileField, "%s: %v", path, err)
	}
	return nil
}

func validate(schema []byte, document any) error {
	const name = "file.json"
	text, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, text); err != nil {
		return err
	}
	s, err := c.Compile(name)
	if err != nil {
		return err
	}
	return s.Validate(document)
}

func fieldError(path string, err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return result.Errorf(result.FileField, "%s: %v", path, err)
	}
	field, reason := settings.DescribeError(invalid)
	return result.Errorf(result.FileField, "%s: field %s: %s", path, field, reason)
}
