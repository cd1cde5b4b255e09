// Package budget bounds the retries of a service, so that their sum over all entries stays within
// the limit that the operator allows.
//
// Rule: within a window an entry may retry a fraction of the requests that it received itself,
// plus its share of the slack, which is divided by the number of live entries.
// Inputs: the operator's rules, the times of this entry's requests and retries, the number of
// live entries visible to it.
// Units: requests and retries per window.
// Never: entries coordinate their budgets. Each therefore uses less than its share (ratioShare,
// slackShare), so that the sum stays within the rules while entries don't see each other or have
// just restarted (TestSumStaysBelow).
package budget

import "time"

const (
	// ratioShare is the fraction of the allowed ratio that an entry uses. It is one half, so that
	// an entry that restarts within a window cannot exceed the sum.
	ratioShare = 0.5
	// slackShare is the fraction of the slack that all entries together use. It is at most one
	// half for the same reason, and slightly lower since fractions of a retry do not count.
	slackShare = 0.45
	// maxTimes bounds the stored times of a service: some 6,500 requests per second in a window
	// of 10 s.
	maxTimes = 1 << 16
)

// Rules are the operator's limits on the retries of each service, for all entries together.
type Rules struct {
	Ratio  float64       // retries per request
	Window time.Duration // sliding window in which requests and retries are counted
	Slack  int           // retries per window in addition to the ratio
}

// Budget counts the requests and retries of one service at one entry. The zero value allows no
// retries. It is not safe for concurrent use.
type Budget struct {
	Rules    Rules
	requests []time.Time // times within the window, oldest first
	retries  []time.Time // times within the window, oldest first
}

// Request counts a request for the service.
func (b *Budget) Request(now time.Time) {
	b.requests = within(b.Rules.Window, now, b.requests)
	if len(b.requests) < maxTimes {
		b.requests = append(b.requests, now)
	}
}

// Retry reports whether a retry is allowed, and counts it if so. entries is the number of live
// entries.
func (b *Budget) Retry(now time.Time, entries int) bool {
	b.requests = within(b.Rules.Window, now, b.requests)
	b.retries = within(b.Rules.Window, now, b.retries)
	slack := slackShare * float64(b.Rules.Slack) / float64(max(entries, 1))
	allowed := ratioShare*b.Rules.Ratio*float64(len(b.requests)) + slack
	if float64(len(b.retries)+1) > allowed {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// within returns the times that are in the window ending now.
func within(window time.Duration, now time.Time, times []time.Time) []time.Time {
	n := 0
	for n < len(times) && now.Sub(times[n]) >= window {
		n++
	}
	return times[n:]
}
