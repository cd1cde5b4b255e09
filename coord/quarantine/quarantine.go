// Package quarantine decides which contents of requests are kept from endpoints, because
// endpoints that ran them have crashed.
//
// Rule: a crash of an endpoint counts against each content that was under way there. It does
// not count where the last crash that counted was less than togetherFor before and the run had
// begun by then: what is under way at many endpoints that crash together has met one
// misfortune, not many. If no run of it succeeds within togetherFor after the last of
// maxCrashes or more, the next request is a trial all the same. What the sender of a run knew to
// count when it began counts, whatever the times that were told.
//
// A content with maxCrashes of them is held: it is sent to no endpoint for minHold after the
// last one. Then one request at a time is a trial; if its endpoint crashes, the content is held
// for holdFactor times as long as before. Where another content with as many crashes was under
// way as well, so that it is not clear which of them is to blame, minUnclearHold to
// maxUnclearHold take the place of minHold. A run that succeeded clears its content of all that
// was counted against it.
//
// Inputs: which contents were under way where an endpoint crashed, when these runs began,
// runs that succeeded, the time. Entries tell each other of both; it does not matter in
// which order, or how often, a crash is told.
// Units: crashes of endpoints; each start of an endpoint is one of its own.
// Never: a content is judged by a connection that broke, by silence, by an endpoint's own
// failure or by the end of one that was leaving. Whoever asks for something can't have
// another caller's request held: the caller is part of the content.
//
// This file decides; table.go holds what is known, report.go what processes tell each other
// and operators, key.go names contents.
package quarantine

import "time"

const (
	// maxCrashes is how many crashes a content may have against it before it is held: what
	// the operators bear. Fewer would hold what was twice beside misfortune.
	maxCrashes = 3
	// togetherFor is the time within which endpoints that crash have crashed together. A rack
	// that loses power takes its endpoints along within a second, and a popular content
	// succeeds elsewhere within as long.
	togetherFor = time.Second
	// minHold is how long a content is held first. Operators accept three sends of a request that
	// is known to crash endpoints, so that trials have to be rare; and a caller that comes back
	// within its deadline, 15 s, is refused once.
	minHold = time.Minute
	// unclearHold is the same for a content that may only have run beside others, from the
	// first to the last, by the content: trials at the same time meet at the few endpoints
	// that are left, and show nothing. No longer than entries have to hear of a crash, 3 s, so
	// that the trial of one that is to blame is none of the three sends.
	minUnclearHold = time.Second
	maxUnclearHold = 3 * time.Second
	// TrialTime is how long a trial is waited for before another one may begin. An endpoint
	// that a content brings down crashes within a tenth of a second.
	TrialTime = 5 * time.Second
	// holdFactor makes each further hold longer, up to maxHold. Trials a minute, 5 and 21
	// minutes after the crash by which a content is held, then one an hour.
	holdFactor = 4
	maxHold    = time.Hour
)

// Run is one run of a content at an endpoint.
type Run struct {
	Content Key
	Began   time.Time
	// Known is how many crashes counted against the content, as far as its sender knew when it
	// began. It tells what came after what without a clock: a retry begins within a ms of the
	// crash before it, and a crash is told in ms, by datagrams that take some.
	Known int
}

// Verdict is what is decided of a content.
type Verdict struct {
	Crashes int           // of endpoints that count against it
	Trials  int           // of it since it is held
	Last    time.Time     // when the last crash was
	Held    bool          // it is sent to no endpoint, but for a trial
	For     time.Duration // for so long, if held; 0 for that a trial is due
	// Doubtful is set if its crashes came together, so that it may only have met one
	// misfortune.
	Doubtful bool
}

// Verdict decides of a content.
func (t *Table) Verdict(now time.Time, k Key) Verdict {
	c := t.contents[k]
	if c == nil {
		return Verdict{}
	}
	v := Verdict{Crashes: max(c.counted, c.toldCrashes)}
	if len(c.crashes) > 0 {
		v.Last = c.crashes[len(c.crashes)-1].at
	}
	var next time.Time // trial, by what is known here
	switch {
	case v.Crashes >= maxCrashes:
		hold := minHold
		if t.unclear(c) {
			hold = unclearHold(k)
		}
		failed := min(c.trials, v.Crashes-maxCrashes)
		next = v.Last.Add(afterTrials(hold, failed))
	case c.neverSucceeded(now):
		v.Crashes = maxCrashes
		v.Doubtful = true
	default:
		return v
	}
	v.Held = true
	v.Trials = c.trials
	v.For = max(c.until.Sub(now), next.Sub(now), 0)
	return v
}

// neverSucceeded tells whether a content was under way at maxCrashes crashes, together or not, and
// no run of it has succeeded though there was time for one. Many callers who ask for the same
// in the same moment bring down endpoints that crash together; what is popular runs elsewhere
// too, and has succeeded by then. Held without it: 12 sends too late (TestModelBoundsBursts).
func (c *content) neverSucceeded(now time.Time) bool {
	return len(c.crashes) >= maxCrashes && now.Sub(c.crashes[len(c.crashes)-1].at) >= togetherFor
}

// unclear tells whether a content that is held may only have run beside another one that is to
// blame: one was under way at all but a few of its crashes. A trial makes it clear, if no other
// one was under way.
func (t *Table) unclear(c *content) bool {
	clear, lastClear := 0, false
	for _, x := range c.crashes {
		lastClear = !t.blamedBeside(x, c.key)
		if lastClear {
			clear++
		}
	}
	if c.trials > 0 && lastClear {
		return false
	}
	return clear < maxCrashes
}

// unclearHold returns for how long a content is held that may only have run beside others.
func unclearHold(k Key) time.Duration {
	const values = 256 // of a byte of the key
	return minUnclearHold + (maxUnclearHold-minUnclearHold)*time.Duration(k[0])/values
}

// blamedBeside tells whether another content with maxCrashes against it was under way at a
// crash.
func (t *Table) blamedBeside(x *crash, k Key) bool {
	for other, r := range x.runs {
		if other == k || r.cleared {
			continue
		}
		if c := t.contents[other]; c != nil && c.counted >= maxCrashes {
			return true
		}
	}
	return false
}

// count counts the crashes against the content: those that did not come together, and one more
// than the sender of any run knew of, but for what was cleared meanwhile.
func (c *content) count() {
	apart, known := 0, 0
	var last time.Time
	for _, x := range c.crashes {
		r := x.runs[c.key]
		known = max(known, r.known)
		if x.at.Sub(last) >= togetherFor || r.began.After(last) {
			apart++
			last = x.at
		}
	}
	c.counted = min(max(apart, known+1), len(c.crashes))
}

// afterTrials returns how long a content is held of which so many trials failed.
func afterTrials(hold time.Duration, failed int) time.Duration {
	for range failed {
		hold *= holdFactor
		if hold >= maxHold {
			return maxHold
		}
	}
	return hold
}
