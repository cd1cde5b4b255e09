package duty

import (
	"fmt"
	"maps"
	"time"
)

// Window is the number of a window of true time: window k begins k times its length after
// the start of 1970.
type Window int64

// WindowAt returns the window that a time lies in.
func WindowAt(t time.Time, length time.Duration) Window {
	ms := t.UnixMilli()
	w := ms / length.Milliseconds()
	if ms < 0 {
		w-- // of times before 1970, for order alone
	}
	return Window(w)
}

// End returns when the window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.UnixMilli((int64(w) + 1) * length.Milliseconds())
}

// String returns the window's number.
func (w Window) String() string { return fmt.Sprintf("%d", int64(w)) }

// Counts are the requests of each team that began to run in a window.
type Counts map[string]int64

// Total returns the requests of all teams.
func (c Counts) Total() int64 {
	total := int64(0)
	for _, n := range c {
		total += n
	}
	return total
}

// Plus returns the sum of two counts.
func (c Counts) Plus(other Counts) Counts {
	sum := make(Counts, max(len(c), len(other)))
	maps.Copy(sum, c)
	for team, n := range other {
		sum[team] += n
	}
	return sum
}

// Union returns, for each team, the higher of two counts that the same process gave of the
// same requests.
func (c Counts) Union(other Counts) Counts {
	both := make(Counts, max(len(c), len(other)))
	maps.Copy(both, c)
	for team, n := range other {
		both[team] = max(both[team], n)
	}
	return both
}
