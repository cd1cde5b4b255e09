package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// State is what is counted against one content, for operators.
type State struct {
	Content   Key      `json:"content"`
	Crashes   int      `json:"crashes"`           // that count against it
	LastMS    int64    `json:"last_ms_ago"`       // since the last of these
	Held      bool     `json:"held"`              // it is sent to no endpoint
	ForMS     int64    `json:"held_for_ms"`       // until the next trial
	Endpoints []string `json:"crashed_endpoints"` // at which it was under way
	ToldBy    []uint64 `json:"told_by"`           // incarnations of the entries that saw these crashes, 0 for this one
}

// maxStates bounds the contents that operators are shown.
const maxStates = 100

// Counts returns how many contents have something against them, and how many are held.
func (t *Table) Counts(now time.Time) (known, held int) {
	for k, c := range t.contents {
		if (len(c.crashes) >= maxCrashes || c.toldCrashes > 0) && t.Verdict(now, k).Held {
			held++
		}
	}
	return len(t.contents), held
}

// States returns what is counted against contents, those with the most crashes first. Where
// there are many, those that were under way at one crash only are left out: after a large
// failure they are all that ran beside it.
func (t *Table) States(now time.Time) []State {
	all := []State{}
	for k, c := range t.contents {
		if len(t.contents) > maxStates && c.counted <= 1 && c.toldCrashes == 0 {
			continue
		}
		all = append(all, t.state(now, k, c))
	}
	slices.SortFunc(all, func(a, b State) int {
		return cmp.Or(-cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.LastMS, b.LastMS), bytes.Compare(a.Content[:], b.Content[:]))
	})
	return all[:min(len(all), maxStates)]
}

// State returns what is counted against one content.
func (t *Table) State(now time.Time, k Key) State {
	c := t.contents[k]
	if c == nil {
		return State{Content: k}
	}
	return t.state(now, k, c)
}

func (t *Table) state(now time.Time, k Key, c *content) State {
	v := t.Verdict(now, k)
	s := State{Content: k, Crashes: v.Crashes, Held: v.Held, ForMS: v.For.Milliseconds()}
	if !v.Last.IsZero() {
		s.LastMS = now.Sub(v.Last).Milliseconds()
	}
	for _, x := range c.crashes {
		s.Endpoints = append(s.Endpoints, x.endpoint)
		s.ToldBy = append(s.ToldBy, x.from)
	}
	return s
}

// Snapshot is what a table hands to that of a process which has just started, or some of it that
// is news. The forms of it and of its parts are on the wire.
type Snapshot struct {
	Crashes []CrashReport `cbor:"1,keyasint,omitempty"`
	Holds   []HoldReport  `cbor:"2,keyasint,omitempty"`
	Cleared [][]byte      `cbor:"3,keyasint,omitempty"` // keys of contents that have succeeded since
}

// Empty tells whether it holds nothing.
func (s Snapshot) Empty() bool { return len(s.Crashes)+len(s.Holds)+len(s.Cleared) == 0 }

// CrashReport tells of a crash of an endpoint.
type CrashReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	AgeMS    int64
	From     uint64 // incarnation of the process that saw it
	Runs     []RunReport
}

// RunReport tells of a run that was under way when its endpoint crashed.
type RunReport struct {
	_       struct{} `cbor:",toarray"`
	Content []byte   // a key
	RanMS   int64    // until the crash
	Known   int      // crashes that counted against the content when it began
}

// HoldReport tells of a content that is held.
type HoldReport struct {
	_       struct{} `cbor:",toarray"`
	Content []byte   // a key
	Crashes int
	Trials  int
	ForMS   int64 // until the next trial
}

// until returns when the next trial is, bounded, so that it does not overflow a time.
func (r HoldReport) until(now time.Time) time.Time {
	return now.Add(time.Duration(max(min(r.ForMS, maxAgeMS), -maxAgeMS)) * time.Millisecond)
}

// ReportOf returns what is told of a run at an endpoint that crashed at a time.
func ReportOf(r Run, at time.Time) RunReport {
	return RunReport{Content: r.Content[:], RanMS: at.Sub(r.Began).Milliseconds(), Known: r.Known}
}

// KeyFrom returns the key that a report holds; false if it holds none.
func KeyFrom(told []byte) (Key, bool) {
	if len(told) != keyBytes {
		return Key{}, false
	}
	return Key(told), true
}

// TakeCrash is Crashed for what another process told. What can't be right is left out.
func (t *Table) TakeCrash(now time.Time, r CrashReport) []Key {
	at := ago(now, r.AgeMS)
	if r.AgeMS < 0 || now.Sub(at) >= keepFor {
		return nil
	}
	var runs []Run
	for _, x := range r.Runs {
		if k, ok := KeyFrom(x.Content); ok && x.RanMS >= 0 {
			runs = append(runs, Run{Content: k, Began: ago(at, x.RanMS), Known: x.Known})
		}
	}
	if len(runs) == 0 {
		return nil
	}
	return t.Crashed(r.Endpoint, at, r.From, runs...)
}

// TakeHold is Hold for what another process told. What can't be right is left out.
func (t *Table) TakeHold(now time.Time, r HoldReport) {
	k, ok := KeyFrom(r.Content)
	if ok && r.Crashes >= maxCrashes && r.ForMS <= maxHold.Milliseconds() {
		t.Hold(k, r.Crashes, max(r.Trials, 0), r.until(now))
	}
}

// Snapshot returns what is counted against contents. self is the incarnation of this process.
func (t *Table) Snapshot(now time.Time, self uint64) Snapshot {
	var s Snapshot
	for _, name := range t.order {
		known := t.crashes[name]
		x := CrashReport{Endpoint: name, AgeMS: now.Sub(known.at).Milliseconds(), From: cmp.Or(known.from, self)}
		for k, r := range known.runs {
			if !r.cleared {
				x.Runs = append(x.Runs, ReportOf(Run{Content: k, Began: r.began, Known: r.known}, known.at))
			}
		}
		if len(x.Runs) > 0 {
			s.Crashes = append(s.Crashes, x)
		}
	}
	for k, c := range t.contents {
		if crashes := max(c.toldCrashes, c.counted); crashes >= maxCrashes && !c.until.IsZero() {
			s.Holds = append(s.Holds, HoldReport{Content: k[:], Crashes: crashes, Trials: c.trials, ForMS: c.until.Sub(now).Milliseconds()})
		}
	}
	return s
}

// Learn takes in what another process told. It returns the contents that are held since by the
// crashes in it, and what of it was news, to be told on: what is known already, and what can't be
// right, is none, so that telling on comes to an end.
func (t *Table) Learn(now time.Time, s Snapshot) (held []Key, news Snapshot) {
	for _, r := range s.Crashes[:min(len(s.Crashes), maxKnownCrashes)] {
		known := t.knowsCrash(r)
		held = append(held, t.TakeCrash(now, r)...)
		if !known && t.knowsCrash(r) {
			news.Crashes = append(news.Crashes, r)
		}
	}
	for _, h := range s.Holds[:min(len(s.Holds), maxKnownCrashes)] {
		known := t.knowsHold(now, h)
		t.TakeHold(now, h)
		if !known && t.knowsHold(now, h) {
			news.Holds = append(news.Holds, h)
		}
	}
	for _, told := range s.Cleared[:min(len(s.Cleared), maxKnownCrashes)] {
		if k, ok := KeyFrom(told); ok && t.Succeeded(k) {
			news.Cleared = append(news.Cleared, told)
		}
	}
	return held, news
}

// knowsCrash tells whether all runs of a crash that was told are known, counted or cleared.
func (t *Table) knowsCrash(r CrashReport) bool {
	x := t.crashes[r.Endpoint]
	if x == nil {
		return false
	}
	for _, run := range r.Runs {
		if k, ok := KeyFrom(run.Content); ok {
			if _, known := x.runs[k]; !known {
				return false
			}
		}
	}
	return true
}

// sameHold is by how much the ends of two holds differ at the most that are one, told on
// several ways. Above the time that a message takes, below TrialTime.
const sameHold = time.Second

// knowsHold tells whether a hold that was told ends when the known one does.
func (t *Table) knowsHold(now time.Time, h HoldReport) bool {
	k, ok := KeyFrom(h.Content)
	c := t.contents[k]
	return ok && c != nil && h.until(now).Sub(c.until).Abs() < sameHold
}

// maxAgeMS bounds an age, so that it does not overflow a time. Above keepFor.
const maxAgeMS = int64(24 * time.Hour / time.Millisecond)

// ago returns the time so many ms before.
func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(min(ms, maxAgeMS), -maxAgeMS)) * time.Millisecond)
}
