// Package quarantine decides which contents of requests are kept from endpoints, because
// endpoints that ran them have ended.
//
// Rule: the end of an endpoint counts against each content that was under way there. It does
// not count where the last end that counted was less than togetherFor before and the run had
// begun by then: what is under way at many endpoints that end together has met one
// misfortune, not many.
//
// A content with maxEnds such ends is held: it is sent to no endpoint for minHold after the
// last one. Then one request at a time is a trial; if its endpoint ends, the content is held
// for holdFactor times as long as before. Where another content with as many ends was under
// way as well, so that it is not clear which of them is to blame, unclearHold takes the place
// of minHold. A run that ended well clears its content of all that was held against it.
//
// Inputs: which contents were under way where an endpoint ended, when these runs began,
// runs that ended well, the time. Entries tell each other of both; it does not matter in
// which order, or how often, an end is told.
// Units: ends of endpoints; each start of an endpoint is one of its own.
// Never: a content is judged by a connection that broke, by silence, by an endpoint's own
// failure or by the end of one that was leaving. Whoever asks for something can't have
// another caller's request held: the caller is part of the content.
//
// This file decides; table.go holds what is known, report.go what processes tell each other
// and operators, key.go names contents.
package quarantine

import "time"

const (
	// maxEnds is how many ends a content may have against it before it is held: what the
	// operators bear. Fewer would hold what was twice beside misfortune.
	maxEnds = 3
	// togetherFor is the time within which endpoints that end have ended together. Chosen,
	// not measured: a rack that loses power takes its endpoints along within a second.
	togetherFor = time.Second
	// minHold is how long a content is held first. Derived: of a request that goes on to
	// end what runs it operators bear three sends after it is known, so that trials have to
	// be seldom; and a caller that comes back within its deadline, 15 s, is told once.
	minHold = time.Minute
	// unclearHold is the same for a content that may only have run beside others that are
	// held. Chosen: shorter than entries have to hear of an end, 3 s, so that the trial of one
	// that is to blame is none of the three sends.
	unclearHold = 2 * time.Second
	// TrialTime is how long a trial is waited for before another one may begin. Chosen, not
	// measured: an endpoint that a content brings down ends within a tenth of a second.
	TrialTime = 5 * time.Second
	// holdFactor makes each further hold longer, up to maxHold. Chosen, not measured: three
	// trials in the first 20 minutes, then one an hour.
	holdFactor = 4
	maxHold    = time.Hour
)

// Run is one run of a content at an endpoint.
type Run struct {
	Content Key
	Began   time.Time
}

// Verdict is what is decided of a content.
type Verdict struct {
	Ends int           // of endpoints that count against it
	Last time.Time     // when the last of these was
	Held bool          // it is sent to no endpoint, but for a trial
	For  time.Duration // for so long, if held; 0 for that a trial is due
}

// Verdict decides of a content.
func (t *Table) Verdict(now time.Time, k Key) Verdict {
	c := t.contents[k]
	if c == nil {
		return Verdict{}
	}
	v, unclear := t.judge(k, c)
	v.Ends = max(v.Ends, c.toldEnds)
	if v.Ends < maxEnds {
		return v
	}
	v.Held = true
	hold := minHold
	if unclear {
		hold = unclearHold
	}
	failed := min(c.trials, v.Ends-maxEnds)
	v.For = max(c.until.Sub(now), v.Last.Add(afterTrials(hold, failed)).Sub(now), 0)
	return v
}

// judge counts the ends against a content. It is not clear whether the content is to blame if
// fewer than maxEnds of them, or at a trial not the last one, came while no other one was under
// way that may be.
func (t *Table) judge(k Key, c *content) (v Verdict, unclear bool) {
	clear, lastClear := 0, false
	for _, e := range c.ends {
		if e.together(k, v.Last) {
			continue
		}
		v.Ends++
		v.Last = e.at
		lastClear = !t.blamedBeside(e, k)
		if lastClear {
			clear++
		}
	}
	return v, clear < maxEnds && !(c.trials > 0 && lastClear)
}

// blamedBeside tells whether another content with maxEnds against it was under way at an end.
func (t *Table) blamedBeside(e *end, k Key) bool {
	for other, r := range e.runs {
		if other == k || r.cleared {
			continue
		}
		if c := t.contents[other]; c != nil && c.rounds >= maxEnds {
			return true
		}
	}
	return false
}

// count counts the ends at which the content was under way, those that came together once.
func (c *content) count() {
	c.rounds = 0
	var last time.Time
	for _, e := range c.ends {
		if !e.together(c.key, last) {
			c.rounds++
			last = e.at
		}
	}
}

// together tells whether an end is one misfortune of a content with an end before it.
func (e *end) together(k Key, last time.Time) bool {
	return e.at.Sub(last) < togetherFor && !e.runs[k].began.After(last)
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
