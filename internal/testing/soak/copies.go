package soak

import (
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// endSlack is the time by which the recorded end of an endpoint may be later than its end.
const endSlack = 100 * time.Millisecond

// continues reports whether the run continues another from its copy.
func (r run) continues() bool { return r.Header.Get(platformtest.ContinueField) != "" }

// countRuns returns the number of runs that continue no other.
func countRuns(runs []run) int {
	count := 0
	for _, r := range runs {
		if !r.continues() {
			count++
		}
	}
	return count
}

// checkContinuations checks that a copy continued a run at most once, and after its endpoint had ended.
// history.mu must be held.
func (h *history) checkContinuations(s observation, runs []run) {
	continued := 0
	for _, r := range runs {
		if !r.continues() {
			continue
		}
		continued++
		if !endedBefore(runs, r.At) {
			h.addViolation(ContinuedAfterCrash, s.id, "%s continued it, and no endpoint that ran it had ended", r.endpoint)
		}
	}
	h.continued += continued
	if continued > 1 {
		h.addViolation(ContinuedAfterCrash, s.id, "%d copies continued it", continued)
	}
}

// endedBefore reports whether an endpoint that ran the request from its beginning had ended by a time.
func endedBefore(runs []run, at time.Time) bool {
	for _, r := range runs {
		if !r.continues() && !r.endedAt.IsZero() && r.endedAt.Before(at.Add(endSlack)) {
			return true
		}
	}
	return false
}
