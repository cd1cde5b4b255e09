package duty

import (
	"fmt"
	"maps"
	"time"
)

// Window is the number of a time window: window k begins k times the window length after the
// start of 1970, in true time.
type Window int64

// WindowAt returns the window that contains t.
func WindowAt(t time.Time, length time.Duration) Window {
	ms := t.UnixMilli()
	w := ms / length.Milliseconds()
	if ms < 0 {
		w-- // keeps windows before 1970 in order
	}
	return Window(w)
}

// End returns when the window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.UnixMilli((int64(w) + 1) * length.Milliseconds())
}

// String returns the window's number.
func (w Window) String() string { return fmt.Sprintf("%d", int64(w)) }

// Counts are the numbers of requests that began to run in a window, by team.
type Counts map[string]int64

// Total returns the requests of all teams.
func (c Counts) Total() int64 {
	total := int64(0)
	for _, n := range c {
		total += n
	}
	return total
}

// Plus returns the sum of both counts.
func (c Counts) Plus(other Counts) Counts {
	sum := make(Counts, max(len(c), len(other)))
	maps.Copy(sum, c)
	for team, n := range other {
		sum[team] += n
	}
	return sum
}

// Union returns, for each team, the higher of two counts by the same process of the same
// requests.
func (c Counts) Union(other Counts) Counts {
	both := make(Counts, max(len(c), len(other)))
	maps.Copy(both, c)
	for team, n := range other {
		both[team] = max(both[team], n)
	}
	return both
}
