package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// State is what is held against one content, for operators.
type State struct {
	Content   Key      `json:"content"`
	Ends      int      `json:"ends"`            // that count against it
	LastMS    int64    `json:"last_ms_ago"`     // since the last of these
	Held      bool     `json:"held"`            // it is sent to no endpoint
	ForMS     int64    `json:"held_for_ms"`     // until the next trial
	Endpoints []string `json:"ended_endpoints"` // at which it was under way
	ToldBy    []uint64 `json:"told_by"`         // incarnations of the entries that saw these ends, 0 for this one
}

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// maxStates bounds the contents that operators are shown. Chosen, not measured.
const maxStates = 100

// Counts returns how many contents have something against them, and how many are held.
func (t *Table) Counts(now time.Time) (known, held int) {
	for k, c := range t.contents {
		if (len(c.ends) >= maxEnds || c.toldEnds > 0) && t.Verdict(now, k).Held {
			held++
		}
	}
	return len(t.contents), held
}

// States returns what is held against contents, those with the most ends first.
func (t *Table) States(now time.Time) []State {
	all := make([]State, 0, len(t.contents))
	for k, c := range t.contents {
		all = append(all, t.state(now, k, c))
	}
	slices.SortFunc(all, func(a, b State) int {
		return cmp.Or(-cmp.Compare(a.Ends, b.Ends), cmp.Compare(a.LastMS, b.LastMS), bytes.Compare(a.Content[:], b.Content[:]))
	})
	return all[:min(len(all), maxStates)]
}

// State returns what is held against one content.
func (t *Table) State(now time.Time, k Key) State {
	c := t.contents[k]
	if c == nil {
		return State{Content: k}
	}
	return t.state(now, k, c)
}

func (t *Table) state(now time.Time, k Key, c *content) State {
	v := t.Verdict(now, k)
	s := State{Content: k, Ends: v.Ends, Held: v.Held, ForMS: v.For.Milliseconds()}
	if !v.Last.IsZero() {
		s.LastMS = now.Sub(v.Last).Milliseconds()
	}
	for _, e := range c.ends {
		s.Endpoints = append(s.Endpoints, e.endpoint)
		s.ToldBy = append(s.ToldBy, e.from)
	}
	return s
}

// Snapshot is what a table hands to that of a process which has just started. The forms of
// it and of its parts are on the wire.
type Snapshot struct {
	Ends  []EndReport  `cbor:"1,keyasint,omitempty"`
	Holds []HoldReport `cbor:"2,keyasint,omitempty"`
}

// EndReport tells of an end of an endpoint.
type EndReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	AgeMS    int64
	From     uint64 // incarnation of the process that saw it
	Runs     []RunReport
}

// RunReport tells of a run that was under way when its endpoint ended.
type RunReport struct {
	_       struct{} `cbor:",toarray"`
	Content []byte   // a key
	RanMS   int64    // until the end
}

// HoldReport tells of a content that is held.
type HoldReport struct {
	_       struct{} `cbor:",toarray"`
	Content []byte   // a key
	Ends    int
	Trials  int
	ForMS   int64 // until the next trial
}

// ReportOf returns what is told of a run at an endpoint that ended at a time.
func ReportOf(r Run, at time.Time) RunReport {
	return RunReport{Content: r.Content[:], RanMS: at.Sub(r.Began).Milliseconds()}
}

// KeyFrom returns the key that a report holds; false if it holds none.
func KeyFrom(told []byte) (Key, bool) {
	if len(told) != keyBytes {
		return Key{}, false
	}
	return Key(told), true
}

// TakeEnd is End for what another process told. What can't be right is left out.
func (t *Table) TakeEnd(now time.Time, r EndReport) []Key {
	at := ago(now, r.AgeMS)
	if r.AgeMS < 0 || now.Sub(at) >= keepFor {
		return nil
	}
	var runs []Run
	for _, x := range r.Runs {
		if k, ok := KeyFrom(x.Content); ok && x.RanMS >= 0 {
			runs = append(runs, Run{k, ago(at, x.RanMS)})
		}
	}
	if len(runs) == 0 {
		return nil
	}
	return t.End(r.Endpoint, at, r.From, runs...)
}

// TakeHold is Hold for what another process told. What can't be right is left out.
func (t *Table) TakeHold(now time.Time, r HoldReport) {
	k, ok := KeyFrom(r.Content)
	if ok && r.Ends >= maxEnds && r.ForMS <= maxHold.Milliseconds() {
		t.Hold(k, r.Ends, max(r.Trials, 0), ago(now, -r.ForMS))
	}
}

// Snapshot returns what is held against contents. self is the incarnation of this process.
func (t *Table) Snapshot(now time.Time, self uint64) Snapshot {
	var s Snapshot
	for _, name := range t.order {
		e := t.ends[name]
		x := EndReport{Endpoint: name, AgeMS: now.Sub(e.at).Milliseconds(), From: cmp.Or(e.from, self)}
		for k, r := range e.runs {
			if !r.cleared {
				x.Runs = append(x.Runs, ReportOf(Run{k, r.began}, e.at))
			}
		}
		if len(x.Runs) > 0 {
			s.Ends = append(s.Ends, x)
		}
	}
	for k, c := range t.contents {
		if c.toldEnds > 0 {
			s.Holds = append(s.Holds, HoldReport{Content: k[:], Ends: c.toldEnds, Trials: c.trials, ForMS: c.until.Sub(now).Milliseconds()})
		}
	}
	return s
}

// Restore takes in the snapshot of another table.
func (t *Table) Restore(now time.Time, s Snapshot) {
	for _, e := range s.Ends[:min(len(s.Ends), maxKnownEnds)] {
		t.TakeEnd(now, e)
	}
	for _, h := range s.Holds[:min(len(s.Holds), maxKnownEnds)] {
		t.TakeHold(now, h)
	}
}

// maxAgeMS bounds an age, so that it does not overflow a time. Derived: above keepFor.
const maxAgeMS = int64(24 * time.Hour / time.Millisecond)

// ago returns the time so many ms before.
func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(min(ms, maxAgeMS), -maxAgeMS)) * time.Millisecond)
}
