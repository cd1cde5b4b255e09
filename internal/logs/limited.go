package logs

import (
	"sync"
	"time"
)

// minInterval is the minimum time between two lines of one kind that WarnLimited writes.
const minInterval = time.Second

// kindStates holds the state of each kind of lines, by prefix and kind.
var kindStates struct {
	mu    sync.Mutex
	kinds map[string]*kindState
}

// kindState is the state of one kind of lines.
type kindState struct {
	last    time.Time
	dropped int
}

// WarnLimited logs a warning, at most once per second for each kind. The field "left_out" is
// the number of lines of the kind dropped since the previous one.
func (l Logger) WarnLimited(kind, line string) {
	dropped, ok := allow(l.prefix+kind, time.Now())
	if ok {
		l.With("left_out", dropped).Warnf("%s", line)
	}
}

// allow reports whether a line of a kind may be written, and how many were dropped before it.
func allow(kind string, now time.Time) (dropped int, ok bool) {
	kindStates.mu.Lock()
	defer kindStates.mu.Unlock()
	if kindStates.kinds == nil {
		kindStates.kinds = map[string]*kindState{}
	}
	s := kindStates.kinds[kind]
	if s == nil {
		s = &kindState{}
		kindStates.kinds[kind] = s
	}
	if !s.last.IsZero() && now.Sub(s.last) < minInterval {
		s.dropped++
		return 0, false
	}
	dropped = s.dropped
	*s = kindState{last: now}
	return dropped, true
}
