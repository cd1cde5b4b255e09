// Package record defines the log line of a request, as far as package explain reads it
// back. The JSON names must stay those of stored logs; where one is misleading, the Go
// field name says what the field holds.
package record

import (
	"encoding/json"
	"strings"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/result"
	"foxcross.dev/coord/share"
)

// Line is a line of a log. Fields is set only in the line of a request.
type Line struct {
	Message string    `json:"message"`
	At      time.Time `json:"timestamp"`
	Fields  Request   `json:"fields"`
	Raw     string    `json:"-"` // the line's JSON
}

// Request holds the fields of the line of an ended request.
type Request struct {
	ID              string      `json:"request"`
	Class           string      `json:"class"`
	Team            string      `json:"team"`
	Service         string      `json:"service"`
	Code            result.Code `json:"code"`
	Run             string      `json:"run"`
	Reason          string      `json:"reason"`
	Priority        int         `json:"priority"`
	TotalMS         int64       `json:"total_ms"`
	FirstMS         *int64      `json:"first_ms"` // nil if there was no event
	PauseMS         int64       `json:"pause_ms"`
	Standing        float64     `json:"standing"`          // engine time given to the team over its share, 0 without contention
	FirstTargetMS   int64       `json:"first_target_ms"`   // 0 in logs of earlier versions
	BetweenTargetMS int64       `json:"between_target_ms"` // 0 for none
	Resumes         *Resumption `json:"resumes"`           // nil if it resumes no stream
	Attempts        []Attempt   `json:"sends"`
	Parts           []string    `json:"prompt_parts"` // IDs of those that other prompts may share, if an attempt's endpoint crashed
	Admission       *Admission  `json:"admission"`    // nil where nothing waited, and in logs of earlier versions
}

// Admission is what queued admission decided about a request, and the state of the service that
// decided it.
type Admission struct {
	Outcome  string  `json:"outcome"`
	State    string  `json:"state"`
	Returned bool    `json:"returned"`            // the caller was refused before and waited for its time
	EarlyMS  int64   `json:"early_ms,omitempty"`  // until its time, of a refused caller that returned before it
	HeldMS   int64   `json:"held_ms"`             // at the entry
	LineMS   int64   `json:"line_ms"`             // prefill of the callers in line
	Asked    float64 `json:"asked"`               // ms of prefill per ms
	Capacity float64 `json:"capacity"`            // ms of prefill per ms
	ReturnMS int64   `json:"return_ms,omitempty"` // until the refused caller may return
}

// NeverListed is the age of a list of endpoints that was never known to be the newest.
const NeverListed = -1

// Resumption is a stream that a request resumes, with what decided where it is resumed.
type Resumption struct {
	Request  string `json:"request"`                // that brought its first event, as the caller says; empty if it names none
	After    string `json:"after"`                  // ID of the last event that the caller has
	Source   string `json:"origin"`                 // where the version that began it is known from, or "unknown"
	Endpoint string `json:"begun_at,omitempty"`     // incarnation
	Version  string `json:"version,omitempty"`      // that began it
	AgeMS    int64  `json:"begun_ms_ago,omitempty"` // 0 for unknown

	ListAgeMS   int64  `json:"list_ms_ago"`            // since the list of endpoints was known to be the newest, or NeverListed
	OnlyVersion string `json:"only_version,omitempty"` // that the service has run lately, as far as is known; empty for several
	Observed    bool   `json:"observed"`               // for as long as an attempt lasts, without a gap
	PeersAsked  bool   `json:"peers_asked"`
	PeerAnswers int    `json:"peer_answers"`       // of those that were asked
	Unlisted    bool   `json:"unlisted,omitempty"` // it began at an endpoint that has never been on the list
}

// Parse parses a line. Text before its JSON is ignored. It reports whether the JSON is valid.
func Parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Raw: text[start:]}
	err := json.Unmarshal([]byte(l.Raw), &l)
	return l, err == nil
}

// StandingOf returns the record of a team's standing.
func StandingOf(s share.Standing) float64 { return Round(float64(s)) }

// Total returns the duration of the request.
func (r Request) Total() time.Duration { return time.Duration(r.TotalMS) * time.Millisecond }

// Attempt is one attempt to run a request on an endpoint, with the estimates on which the
// choice was based. Numbers are cut to three decimals.
type Attempt struct {
	Endpoint         string          `json:"endpoint"`
	Version          string          `json:"version,omitempty"` // of the endpoint's software
	Cost             float64         `json:"cost"`
	Terms            placement.Terms `json:"terms"`
	WaitMS           float64         `json:"expected_wait_ms"`  // until the prefill starts
	FirstMS          float64         `json:"expected_first_ms"` // until the first event
	PrefillTokens    int             `json:"uncached"`
	RecomputedTokens int             `json:"read_again"`
	Long             bool            `json:"long"`
	PoolSize         int             `json:"pool"`
	Slowdown         float64         `json:"factor"`
	PauseChance      float64         `json:"pause_chance,omitempty"`
	Outcome          string          `json:"outcome"`
	Source           string          `json:"fetched_from,omitempty"`
	FetchedTokens    int             `json:"fetched,omitempty"`
	FetchMS          float64         `json:"expected_fetch_ms,omitempty"`
	Limit            string          `json:"limit,omitempty"`          // advertised rate limit, as received
	RetryAfter       string          `json:"retry_after,omitempty"`    // as received
	Draining         string          `json:"draining,omitempty"`       // as received
	Silent           bool            `json:"crashed_silent,omitempty"` // the endpoint crashed before the attempt's first event
	Framing          string          `json:"framing,omitempty"`        // of the response's body; empty if none was read
	Ended            string          `json:"ended,omitempty"`          // how the response's body ended
	Replica          string          `json:"replica,omitempty"`        // engine that holds the copy of the run's memory
	NotResumed       string          `json:"not_resumed,omitempty"`    // why its stream was not resumed
	NotContinued     string          `json:"not_continued,omitempty"`  // why its run was not continued from the copy
	ContinuedFrom    string          `json:"continued_from,omitempty"`
	ContinuedAfter   string          `json:"continued_after,omitempty"` // ID of the last event of the engine before, empty for none
}

// AttemptOf returns the record of an attempt on the chosen endpoint.
func AttemptOf(c placement.Choice, outcome string) Attempt {
	return Attempt{
		Endpoint:         c.Endpoint.ID,
		Version:          c.Endpoint.Version,
		Cost:             Round(c.Cost),
		Terms:            roundTerms(c.Terms),
		WaitMS:           Round(c.WaitMS),
		FirstMS:          Round(c.FirstMS),
		PrefillTokens:    c.PrefillTokens,
		RecomputedTokens: c.RecomputedTokens,
		Long:             c.Long,
		PoolSize:         c.PoolSize,
		Slowdown:         Round(c.Slowdown),
		PauseChance:      Round(c.PauseChance),
		Outcome:          outcome,
		Source:           c.Fetch.Source,
		FetchedTokens:    c.Fetch.Tokens,
		FetchMS:          Round(c.Fetch.MS()),
	}
}

func roundTerms(t placement.Terms) placement.Terms {
	return placement.Terms{
		Late: Round(t.Late), Interference: Round(t.Interference), Recompute: Round(t.Recompute), Saturation: Round(t.Saturation),
		Pool: Round(t.Pool), Unreliability: Round(t.Unreliability), Distance: Round(t.Distance),
	}
}

// roundFactor is the factor by which Round scales a number before it cuts off the decimals.
const roundFactor = 1000

// Round cuts a number to the decimals of a log line.
func Round(v float64) float64 { return float64(int64(v*roundFactor)) / roundFactor }
