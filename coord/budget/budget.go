// Package budget bounds the repeats of requests, so that the sum over all
// entries stays within what the operator allows for a service.
package budget

import "time"

// Shares of what is allowed that one entry uses: some is left for entries that
// another one hasn't heard of and for one that has just started anew.
const (
	ratioShare = 0.5
	slackShare = 0.45
)

// maxTimes bounds the remembered times of a service.
const maxTimes = 1 << 16

// Rules are what the operator allows for each service, over all entries.
type Rules struct {
	Ratio  float64 // repeats per request
	Window time.Duration
	Slack  int // repeats beside the ratio in a window
}

// Budget counts the requests and repeats of one service at one entry. The zero
// value allows nothing.
type Budget struct {
	Rules    Rules
	requests []time.Time
	repeats  []time.Time
}

// Request counts a request that came for the service.
func (b *Budget) Request(now time.Time) {
	b.requests = recent(b.requests, now, b.Rules.Window)
	if len(b.requests) < maxTimes {
		b.requests = append(b.requests, now)
	}
}

// Repeat asks for one more send of a request. It is counted if allowed.
func (b *Budget) Repeat(now time.Time, entries int) bool {
	b.requests = recent(b.requests, now, b.Rules.Window)
	b.repeats = recent(b.repeats, now, b.Rules.Window)
	slack := slackShare * float64(b.Rules.Slack) / float64(max(entries, 1))
	allowed := ratioShare*b.Rules.Ratio*float64(len(b.requests)) + slack
	if float64(len(b.repeats)+1) > allowed {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

// recent drops the times before the window.
func recent(times []time.Time, now time.Time, window time.Duration) []time.Time {
	n := 0
	for n < len(times) && now.Sub(times[n]) >= window {
		n++
	}
	return times[n:]
}
