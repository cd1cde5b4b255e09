package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of one content, for operators.
type State struct {
	Content    Key      `json:"content"`
	Crashes    int      `json:"crashes"`           // counted against the content
	LastMS     int64    `json:"last_ms_ago"`       // ms since the last of the crashes, 0 if none
	Held       bool     `json:"held"`              // it is sent to no endpoint, except for a trial
	ForMS      int64    `json:"held_for_ms"`       // ms until the next trial
	Endpoints  []string `json:"crashed_endpoints"` // endpoints of the crashes
	ReportedBy []uint64 `json:"told_by"`           // incarnations of the entries that reported the crashes, 0 for this one
}

// maxStates bounds the contents that States returns.
const maxStates = 100

// Counts returns the number of contents with crashes or a hold, and the number of held ones.
func (t *Table) Counts(now time.Time) (known, held int) {
	for k, c := range t.contents {
		if (len(c.crashes) >= maxCrashes || c.reportedCrashes > 0) && t.Verdict(now, k).Held {
			held++
		}
	}
	return len(t.contents), held
}

// States returns the states of contents, those with the most crashes first. If there are more
// than maxStates, it omits contents with at most one counted crash: after a large failure these
// include every content that was in progress.
func (t *Table) States(now time.Time) []State {
	all := []State{}
	for k, c := range t.contents {
		if len(t.contents) > maxStates && c.counted <= 1 && c.reportedCrashes == 0 {
			continue
		}
		all = append(all, t.state(now, k, c))
	}
	slices.SortFunc(all, func(a, b State) int {
		return cmp.Or(-cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.LastMS, b.LastMS), a.Content.Compare(b.Content))
	})
	return all[:min(len(all), maxStates)]
}

// State returns the state of one content.
func (t *Table) State(now time.Time, k Key) State {
	c := t.contents[k]
	if c == nil {
		return State{Content: k}
	}
	return t.state(now, k, c)
}

func (t *Table) state(now time.Time, k Key, c *content) State {
	v := t.Verdict(now, k)
	s := State{Content: k, Crashes: v.Crashes, Held: v.Held, ForMS: v.Remaining.Milliseconds()}
	if !v.LastCrash.IsZero() {
		s.LastMS = now.Sub(v.LastCrash).Milliseconds()
	}
	for _, x := range c.crashes {
		s.Endpoints = append(s.Endpoints, x.endpoint)
		s.ReportedBy = append(s.ReportedBy, x.from)
	}
	return s
}

// Snapshot is the state of a table, or a part of it, as sent to another process: all of it to a
// process that has just started, and new data to the others. Its encoding is part of the protocol
// between processes.
type Snapshot struct {
	Crashes []CrashReport `cbor:"1,keyasint,omitempty"`
	Holds   []HoldReport  `cbor:"2,keyasint,omitempty"`
	Cleared [][]byte      `cbor:"3,keyasint,omitempty"` // keys of contents that have succeeded since
	// PartCrashes are the crashes counted against prompt parts. Processes of earlier builds ignore them.
	PartCrashes []PartCrashReport `cbor:"4,keyasint,omitempty"`
}

// Empty reports whether the snapshot has no crash, hold or cleared content or part.
func (s Snapshot) Empty() bool {
	return len(s.Crashes)+len(s.Holds)+len(s.Cleared)+len(s.PartCrashes) == 0
}

// CrashReport is the report of a crash of an endpoint.
type CrashReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	AgeMS    int64  // ms since the crash
	From     uint64 // incarnation of the process that detected it
	Runs     []RunReport
}

// RunReport is the report of a run in progress when its endpoint crashed.
type RunReport struct {
	_       struct{} `cbor:",toarray"`
	Content []byte   // key of the content
	RanMS   int64    // ms from the start of the run to the crash
	Known   int      // crashes that the sender counted against the content when the run started
}

// PartCrashReport is the report of a crash of an endpoint, as far as it counts against prompt parts.
type PartCrashReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	AgeMS    int64  // ms since the crash
	From     uint64 // incarnation of the process that detected it
	Runs     []PartReport
}

// PartReport is the report of a run with a prompt part that had not begun to write when its endpoint
// crashed.
type PartReport struct {
	_      struct{} `cbor:",toarray"`
	Part   []byte   // key
	Source uint64   // of the run's content
	RanMS  int64    // ms from the start of the run to the crash
	Known  int      // crashes that the sender counted against the part when the run started
}

// HoldReport is the report of a held content.
type HoldReport struct {
	_       struct{} `cbor:",toarray"`
	Content []byte   // key of the content
	Crashes int      // counted against the content
	Trials  int      // since it is held
	ForMS   int64    // ms until the next trial
}

// until returns the time of the next trial. ForMS is clamped to maxAgeMS to avoid an overflow.
func (r HoldReport) until(now time.Time) time.Time {
	return now.Add(time.Duration(max(min(r.ForMS, maxAgeMS), -maxAgeMS)) * time.Millisecond)
}

// ReportOf returns the report of a run at an endpoint that crashed at a time.
func ReportOf(r Run, at time.Time) RunReport {
	return RunReport{Content: r.Content[:], RanMS: at.Sub(r.Started).Milliseconds(), Known: r.KnownCrashes}
}

// PartReportOf returns the report of a run with a part at an endpoint that crashed at a time.
func PartReportOf(r Run, at time.Time) PartReport {
	return PartReport{Part: r.Content[:], Source: uint64(r.Source), RanMS: at.Sub(r.Started).Milliseconds(), Known: r.KnownCrashes}
}

// KeyFromBytes returns the key in a report. It returns false if its length is wrong.
func KeyFromBytes(data []byte) (Key, bool) {
	if len(data) != keyBytes {
		return Key{}, false
	}
	return Key(data), true
}

// ApplyCrash applies another process's report of a crash like RecordCrash. It ignores invalid and
// expired data.
func (t *Table) ApplyCrash(now time.Time, r CrashReport) []Key {
	at := ago(now, r.AgeMS)
	if r.AgeMS < 0 || now.Sub(at) >= retention {
		return nil
	}
	var runs []Run
	for _, x := range r.Runs {
		if k, ok := KeyFromBytes(x.Content); ok && x.RanMS >= 0 && !k.IsPart() {
			runs = append(runs, Run{Content: k, Started: ago(at, x.RanMS), KnownCrashes: x.Known})
		}
	}
	if len(runs) == 0 {
		return nil
	}
	return t.RecordCrash(r.Endpoint, at, r.From, runs...)
}

// ApplyPartCrash applies another process's report like ApplyCrash.
func (t *Table) ApplyPartCrash(now time.Time, r PartCrashReport) []Key {
	at := ago(now, r.AgeMS)
	if r.AgeMS < 0 || now.Sub(at) >= retention {
		return nil
	}
	var runs []Run
	for _, x := range r.Runs {
		if k, ok := KeyFromBytes(x.Part); ok && x.RanMS >= 0 && k.IsPart() {
			runs = append(runs, Run{Content: k, Started: ago(at, x.RanMS), KnownCrashes: x.Known, Source: Source(x.Source)})
		}
	}
	if len(runs) == 0 {
		return nil
	}
	return t.RecordCrash(r.Endpoint, at, r.From, runs...)
}

// ApplyHold applies another process's report of a hold like Hold. It ignores invalid reports.
func (t *Table) ApplyHold(now time.Time, r HoldReport) {
	k, ok := KeyFromBytes(r.Content)
	if ok && r.Crashes >= maxCrashes && r.ForMS <= maxHold.Milliseconds() {
		t.Hold(k, r.Crashes, max(r.Trials, 0), r.until(now))
	}
}

// Snapshot returns the state to transfer to another process. self is the incarnation of this
// process.
func (t *Table) Snapshot(now time.Time, self uint64) Snapshot {
	var s Snapshot
	for _, name := range t.order {
		known := t.crashes[name]
		x := CrashReport{Endpoint: name, AgeMS: now.Sub(known.at).Milliseconds(), From: cmp.Or(known.from, self)}
		p := PartCrashReport{Endpoint: name, AgeMS: x.AgeMS, From: x.From}
		for k, r := range known.runs {
			run := Run{Content: k, Started: r.started, KnownCrashes: r.knownCrashes, Source: r.source}
			switch {
			case r.cleared:
			case k.IsPart():
				p.Runs = append(p.Runs, PartReportOf(run, known.at))
			default:
				x.Runs = append(x.Runs, ReportOf(run, known.at))
			}
		}
		if len(x.Runs) > 0 {
			s.Crashes = append(s.Crashes, x)
		}
		if len(p.Runs) > 0 {
			s.PartCrashes = append(s.PartCrashes, p)
		}
	}
	for k, c := range t.contents {
		if crashes := max(c.reportedCrashes, c.counted); crashes >= maxCrashes && !c.until.IsZero() {
			s.Holds = append(s.Holds, HoldReport{Content: k[:], Crashes: crashes, Trials: c.trials, ForMS: c.until.Sub(now).Milliseconds()})
		}
	}
	return s
}

// Merge merges a snapshot of another process. It returns the contents that are held as a result
// of its crashes, and the part of the snapshot that was new, for forwarding. That part excludes
// known and invalid data, so that forwarding between processes ends.
func (t *Table) Merge(now time.Time, s Snapshot) (held []Key, added Snapshot) {
	for _, r := range s.Crashes[:min(len(s.Crashes), maxKnownCrashes)] {
		known := t.hasCrash(r)
		held = append(held, t.ApplyCrash(now, r)...)
		if !known && t.hasCrash(r) {
			added.Crashes = append(added.Crashes, r)
		}
	}
	for _, r := range s.PartCrashes[:min(len(s.PartCrashes), maxKnownCrashes)] {
		held = append(held, t.ApplyPartCrash(now, r)...)
	}
	for _, h := range s.Holds[:min(len(s.Holds), maxKnownCrashes)] {
		known := t.hasHold(now, h)
		t.ApplyHold(now, h)
		if !known && t.hasHold(now, h) {
			added.Holds = append(added.Holds, h)
		}
	}
	for _, data := range s.Cleared[:min(len(s.Cleared), maxKnownCrashes)] {
		if k, ok := KeyFromBytes(data); ok && t.RecordSuccess(k) {
			added.Cleared = append(added.Cleared, data)
		}
	}
	return held, added
}

// hasCrash reports whether all runs of a reported crash are stored, counted or cleared.
func (t *Table) hasCrash(r CrashReport) bool {
	x := t.crashes[r.Endpoint]
	if x == nil {
		return false
	}
	for _, run := range r.Runs {
		if k, ok := KeyFromBytes(run.Content); ok {
			if _, known := x.runs[k]; !known {
				return false
			}
		}
	}
	return true
}

// holdTolerance is the maximum difference between the ends of two reports of the same hold that
// arrive on different paths. It is longer than the transit of a message and shorter than
// TrialInterval.
const holdTolerance = time.Second

// hasHold reports whether a reported hold ends at the same time as the stored one.
func (t *Table) hasHold(now time.Time, h HoldReport) bool {
	k, ok := KeyFromBytes(h.Content)
	c := t.contents[k]
	return ok && c != nil && h.until(now).Sub(c.until).Abs() < holdTolerance
}

// maxAgeMS bounds reported durations, in ms, to avoid an overflow. It exceeds retention.
const maxAgeMS = int64(24 * time.Hour / time.Millisecond)

// ago returns the time ms milliseconds before now. ms is clamped to maxAgeMS.
func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(min(ms, maxAgeMS), -maxAgeMS)) * time.Millisecond)
}
