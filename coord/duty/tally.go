// The counts of requests that begin to run at one process.
//
// Rule: a request counts in the window of true time in which it began. Counts only rise, and each
// statement holds the full counts of a window, so that a later statement replaces a lost one. A
// window is stated until repeatFor after its end or its last change, whichever is later. A new
// holder receives all windows that are kept.
// Inputs: requests that begin, the true time.
// Never: a request counts in a window that was already stated as complete.

package duty

import (
	"maps"
	"time"
)

const (
	// repeatFor is how long a window is stated after its end or its last change. It covers
	// several statements, most of which may be lost.
	repeatFor = 1500 * time.Millisecond
	// keepFor is how long a process keeps the counts of a window after its end. It is longer
	// than the known outages of the store.
	keepFor = 2 * time.Minute
)

// Statement holds the request counts that one process reports to the others.
type Statement struct {
	Owner   uint64    // incarnation of the process
	Through time.Time // true time up to which all requests are counted
	Windows []WindowCounts
}

// WindowCounts are the counts of one process in a window. A message may hold only some teams.
type WindowCounts struct {
	Window Window
	Total  int64 // over all teams, also those not in Counts
	Counts Counts
}

// Tally counts the requests of one process. Set Length; the zero value has counted nothing. It is
// not safe for concurrent use.
type Tally struct {
	Owner    uint64        // incarnation of the process
	Length   time.Duration // of a window
	windows  map[Window]*windowTally
	statedAt time.Time // true time of the last statement
}

// windowTally is the counts of one window.
type windowTally struct {
	counts    Counts
	total     int64
	changedAt time.Time
}

// Count counts a request of a team that began to run at a true time.
func (t *Tally) Count(team string, at time.Time) {
	if lag := t.statedAt.Sub(at); lag > 0 && lag < t.Length {
		at = t.statedAt // the previous window may have been stated as complete
	}
	if t.windows == nil {
		t.windows = map[Window]*windowTally{}
	}
	w := WindowAt(at, t.Length)
	x := t.windows[w]
	if x == nil {
		x = &windowTally{counts: Counts{}}
		t.windows[w] = x
	}
	x.counts[team]++
	x.total++
	x.changedAt = at
}

// Statement returns the statement that is due at a true time: of the windows that changed within
// repeatFor, or of all that are kept. It deletes windows that ended more than keepFor ago.
func (t *Tally) Statement(now time.Time, all bool) Statement {
	t.statedAt = now
	s := Statement{Owner: t.Owner, Through: now}
	for w, x := range t.windows {
		sinceEnd := now.Sub(w.End(t.Length))
		switch {
		case sinceEnd > keepFor:
			delete(t.windows, w)
		case all || sinceEnd < 0 || sinceEnd < repeatFor || now.Sub(x.changedAt) < repeatFor:
			s.Windows = append(s.Windows, WindowCounts{Window: w, Total: x.total, Counts: maps.Clone(x.counts)})
		}
	}
	return s
}
