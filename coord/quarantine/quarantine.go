// Package quarantine decides which request contents are not sent to endpoints because endpoints
// that ran them have crashed.
//
// Rule: a crash of an endpoint counts against each content with a run in progress there. It does
// not count if the last counted crash was less than correlationWindow earlier and the run had
// started by then: endpoints that crash together with the same content count as one event. If no
// run of the content succeeds within correlationWindow after the last of maxCrashes or more
// crashes, the next request is a trial even if they do not count. If the sender of a run had
// counted n crashes when the run started, at least n+1 crashes count, whatever the reported times.
//
// A content with maxCrashes counted crashes is held: it is sent to no endpoint for minHold after
// the last one. Then one request at a time is a trial; if its endpoint crashes, the content is
// held for holdFactor times as long as before. If another content with as many crashes was in
// progress too, so that either may have caused the crashes, minAmbiguousHold to maxAmbiguousHold
// replace minHold. A successful run clears all crashes counted against its content.
//
// Inputs: the contents in progress at a crashed endpoint, the start times of their runs,
// successful runs, the time. Entries exchange reports of crashes and successes; the order and
// the number of the reports of a crash do not matter.
// Units: crashes of endpoints; each start of an endpoint counts as an endpoint of its own.
// Never: a broken connection, a missing response, a failure that the endpoint reports, or the
// exit of a draining endpoint counts against a content. A caller can't cause another caller's
// request to be held: the caller is part of the content.
//
// This file holds the decisions; table.go holds the state, report.go the reports to other
// processes and operators, key.go the keys of contents.
package quarantine

import "time"

const (
	// maxCrashes is the number of counted crashes from which a content is held: the number that
	// operators accept. A lower one would hold contents that ran twice at endpoints which crashed
	// for other reasons.
	maxCrashes = 3
	// correlationWindow is the time within which crashes of endpoints count as one event. A power
	// failure of a rack stops its endpoints within a second, and a popular content succeeds at
	// other endpoints within the same time.
	correlationWindow = time.Second
	// minHold is the length of the first hold. Operators accept three sends of a request that is
	// known to crash endpoints, so trials have to be rare; a caller that retries within its
	// deadline, 15 s, is refused once.
	minHold = time.Minute
	// minAmbiguousHold and maxAmbiguousHold bound the first hold of a content that may not have
	// caused the crashes. Its length depends on the key: concurrent trials of several contents
	// would run at the same few remaining endpoints and show nothing. It is at most the 3 s that
	// crash reports may take to reach all entries, so that the trial of a content that causes
	// crashes is not one of the three sends.
	minAmbiguousHold = time.Second
	maxAmbiguousHold = 3 * time.Second
	// TrialInterval is the time from the start of a trial until another one may start. A content that
	// crashes its endpoint does so within a tenth of a second.
	TrialInterval = 5 * time.Second
	// holdFactor multiplies the length of each further hold, up to maxHold. Trials start 1, 5 and
	// 21 minutes after the crash that started the first hold, then once an hour.
	holdFactor = 4
	maxHold    = time.Hour
)

// Run is one run of a content at an endpoint.
type Run struct {
	Content Key
	Started time.Time
	// KnownCrashes is the number of crashes that the sender counted against the content when the run
	// started. It orders runs and crashes without a clock: a retry begins within 1 ms of the crash
	// before it, while reports of crashes have a resolution of 1 ms and take some ms to arrive.
	KnownCrashes int
	Source       Source // of the run's content, if Content is the key of a part; else 0
}

// Verdict is the decision on a content.
type Verdict struct {
	Crashes   int           // counted against the content
	Trials    int           // of the content since it is held
	LastCrash time.Time     // time of the last crash
	Held      bool          // it is sent to no endpoint, except for a trial
	Remaining time.Duration // time until the next trial, if held; 0 if a trial is due
	// Correlated is set if the crashes happened together, so that they may be one event that the
	// content did not cause.
	Correlated bool
	// Ambiguous is set for a held part if another part may have caused its crashes.
	Ambiguous bool
	// Probation is set for a part of which one run at a time is sent, ProbeOpen while that is open.
	Probation, ProbeOpen bool
}

// Verdict returns the decision on a content.
func (t *Table) Verdict(now time.Time, k Key) Verdict {
	c := t.contents[k]
	if c == nil {
		return Verdict{}
	}
	v := Verdict{Crashes: max(c.counted, c.reportedCrashes)}
	if len(c.crashes) > 0 {
		v.LastCrash = c.crashes[len(c.crashes)-1].at
	}
	var next time.Time // next trial, by the crashes known to this process
	switch {
	case v.Crashes >= maxCrashes:
		hold := minHold
		ambiguous := t.ambiguous(c)
		v.Ambiguous = ambiguous && k.IsPart()
		switch {
		case v.Ambiguous:
			hold = minAmbiguousHold
		case ambiguous:
			hold = ambiguousHold(k)
		}
		failed := min(c.trials, v.Crashes-maxCrashes)
		if k.IsPart() {
			next = c.holdStart().Add(partHold(hold, failed))
		} else {
			next = v.LastCrash.Add(holdAfterTrials(hold, failed))
		}
	case k.IsPart():
		v.Probation = len(c.crashes) >= probationCrashes
		v.ProbeOpen = v.Probation && now.Before(c.probe.until)
		return v
	case c.neverSucceeded(now):
		v.Crashes = maxCrashes
		v.Correlated = true
	default:
		return v
	}
	v.Held = true
	v.Trials = c.trials
	v.Remaining = max(c.until.Sub(now), next.Sub(now), 0)
	return v
}

// neverSucceeded reports whether a content was in progress at maxCrashes crashes, together or
// not, and no run of it has succeeded within correlationWindow. Many callers that send the same
// content at once crash endpoints together; a popular content also runs elsewhere, and has
// succeeded by then. Without this check, a content is sent up to 12 times after it has to be
// held (TestModelBoundsBursts).
func (c *content) neverSucceeded(now time.Time) bool {
	return len(c.crashes) >= maxCrashes && now.Sub(c.crashes[len(c.crashes)-1].at) >= correlationWindow
}

// ambiguous reports whether other contents may have caused the crashes of a held content: fewer
// than maxCrashes of them happened without another content with maxCrashes in progress. A trial
// without such a content in progress resolves this.
func (t *Table) ambiguous(c *content) bool {
	clear, lastClear := 0, false
	for _, x := range c.crashes {
		lastClear = !t.hasOtherSuspect(x, c.key)
		if lastClear {
			clear++
		}
	}
	if c.trials > 0 && lastClear {
		return false
	}
	return clear < maxCrashes
}

// ambiguousHold returns the length of the first hold of an ambiguous content.
func ambiguousHold(k Key) time.Duration {
	const values = 256 // number of values of a byte of the key
	return minAmbiguousHold + (maxAmbiguousHold-minAmbiguousHold)*time.Duration(k[0])/values
}

// hasOtherSuspect reports whether another content with maxCrashes was in progress at a crash; for a
// part, whether another part with probationCrashes was. Several causes that share a sound part each have
// fewer crashes than that part.
func (t *Table) hasOtherSuspect(x *crash, k Key) bool {
	for other, r := range x.runs {
		if other == k || r.cleared {
			continue
		}
		suspectFrom := maxCrashes
		if k.IsPart() && other.IsPart() {
			suspectFrom = probationCrashes
		}
		if c := t.contents[other]; c != nil && c.counted >= suspectFrom {
			return true
		}
	}
	return false
}

// recount updates the number of crashes counted against the content: those that did not happen
// together, or one more than the sender of any run had counted if that is more. Cleared crashes
// do not count.
func (c *content) recount() {
	separate, known := 0, 0
	var last time.Time
	for _, x := range c.crashes {
		r := x.runs[c.key]
		known = max(known, r.knownCrashes)
		if x.at.Sub(last) >= correlationWindow || r.started.After(last) {
			separate++
			last = x.at
		}
	}
	c.counted = min(max(separate, known+1), len(c.crashes))
	if c.key.IsPart() {
		c.counted = min(c.counted, c.sources())
	}
}

// holdAfterTrials returns the length of the hold after a number of failed trials.
func holdAfterTrials(hold time.Duration, failed int) time.Duration {
	for range failed {
		hold *= holdFactor
		if hold >= maxHold {
			return maxHold
		}
	}
	return hold
}
