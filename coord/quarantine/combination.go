package quarantine

import (
	"slices"
	"time"
)

// Trials of requests with several suspect parts.
//
// Rule: a trial of a request with one suspect part tests that part. One with several tests their
// combination. If its endpoint crashes, requests that have all parts of the combination are not sent
// until its next trial. The holds of the parts stay as they were, so that a request without the cause
// may clear the other parts at once. A part that begins to write leaves its combinations.
// Inputs: the runs with parts at a crashed endpoint, of this process and of others. A run whose sender
// had counted maxCrashes is a trial.
// Units: a combination is a set of keys of parts.
// Never: a trial of a request with the cause extends the hold of a part that a request without the
// cause has.

// maxCombinations bounds the stored combinations; the oldest are removed first.
const maxCombinations = 64

// combination is a set of suspect parts under whose trial an endpoint has crashed.
type combination struct {
	parts    []Key     // sorted
	failed   int       // number of trials under which an endpoint crashed
	endpoint string    // the last of those
	until    time.Time // of the next trial
}

// without returns the combination without a part.
func (c combination) without(k Key) combination {
	c.parts = slices.DeleteFunc(slices.Clone(c.parts), func(part Key) bool { return part == k })
	return c
}

// in reports whether all parts of the combination are among these.
func (c combination) in(parts []Key) bool {
	return !slices.ContainsFunc(c.parts, func(k Key) bool { return !slices.Contains(parts, k) })
}

// Suspects returns those of a request's parts that are held or on probation.
func (t *Table) Suspects(now time.Time, parts []Key) []Key {
	var suspects []Key
	for _, k := range parts {
		if v := t.Verdict(now, k); v.Held || v.Probation {
			suspects = append(suspects, k)
		}
	}
	return suspects
}

// CombinationHold returns how long a request with these suspect parts is not sent because endpoints
// crashed under trials of a combination that it has.
func (t *Table) CombinationHold(now time.Time, suspects []Key) time.Duration {
	var longest time.Duration
	for _, c := range t.combinations {
		if c.in(suspects) {
			longest = max(longest, c.until.Sub(now))
		}
	}
	return longest
}

// recordFailedTrials records the combinations that were tried at a crashed endpoint.
func (t *Table) recordFailedTrials(at time.Time, endpoint string, runs []Run) {
	bySource := map[Source][]Key{}
	var tried []Source
	for _, r := range runs {
		if !r.Content.IsPart() {
			continue
		}
		bySource[r.Source] = append(bySource[r.Source], r.Content)
		if r.KnownCrashes >= maxCrashes && !slices.Contains(tried, r.Source) {
			tried = append(tried, r.Source)
		}
	}
	for _, source := range tried {
		t.recordFailedTrial(at, endpoint, t.Suspects(at, bySource[source]))
	}
}

// recordFailedTrial records that an endpoint crashed under the trial of a combination, unless that is
// known.
func (t *Table) recordFailedTrial(at time.Time, endpoint string, suspects []Key) {
	suspects = slices.Clone(suspects)
	slices.SortFunc(suspects, Key.Compare)
	c := combination{parts: slices.Compact(suspects)}
	if n := t.indexOf(c); n >= 0 {
		c = t.combinations[n]
	}
	if c.endpoint == endpoint {
		return
	}
	c.until = at.Add(partHold(TrialInterval, c.failed))
	c.failed++
	c.endpoint = endpoint
	t.put(c)
}

// put stores a combination in place of what is known of its parts. One part is held by itself.
func (t *Table) put(c combination) {
	if len(c.parts) < 2 {
		return
	}
	if n := t.indexOf(c); n >= 0 {
		t.combinations = slices.Delete(t.combinations, n, n+1)
	}
	if len(t.combinations) >= maxCombinations {
		t.combinations = slices.Delete(t.combinations, 0, 1)
	}
	t.combinations = append(t.combinations, c)
}

func (t *Table) indexOf(c combination) int {
	return slices.IndexFunc(t.combinations, func(x combination) bool { return slices.Equal(x.parts, c.parts) })
}

// removeFromCombinations removes a part that a run has cleared, and returns the combinations that
// included it.
func (t *Table) removeFromCombinations(k Key) []combination {
	var with []combination
	for _, c := range t.combinations {
		if slices.Contains(c.parts, k) {
			with = append(with, c)
		}
	}
	for _, c := range with {
		n := t.indexOf(c)
		t.combinations = slices.Delete(t.combinations, n, n+1)
		t.put(c.without(k))
	}
	return with
}

// expireCombinations removes the combinations whose next trial was due long ago.
func (t *Table) expireCombinations(now time.Time) {
	t.combinations = slices.DeleteFunc(t.combinations, func(c combination) bool { return now.Sub(c.until) >= retention })
}
