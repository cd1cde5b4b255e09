// How much an endpoint is sent while it warms up.
//
// Rule: while an endpoint warms up, all entries together send it what it bears (pace.go).
// Inputs: what the endpoint said of its warm-up, sends of all entries, the number of entries, the
// arrivals at the service.
// Units: requests a second.
// Never: an endpoint that is warm is held back; a refusal here says nothing of its health.

package eligibility

import "time"

// WarmupLimit is what endpoints of a service bear while they warm up. The zero value sets
// no limit.
type WarmupLimit struct {
	PerSecond float64       // requests that one endpoint bears, 0 for no limit
	Duration  time.Duration // from a start until the endpoint is warm
}

// Limits tells whether there is a limit.
func (l WarmupLimit) Limits() bool { return l.PerSecond > 0 }

// Warmup is the warm-up of one endpoint. The zero value is warm.
type Warmup struct {
	until time.Time // when it is warm
	pace  Pace
}

// Cold records that the endpoint warms up for so long from now. One that is expected to last
// longer stays.
func (w *Warmup) Cold(now time.Time, left time.Duration) {
	if !w.Warming(now) {
		w.pace = Pace{tokens: 1} // it bears a request at once
	}
	if until := now.Add(left); until.After(w.until) {
		w.until = until
	}
}

// Warming tells whether the endpoint warms up.
func (w *Warmup) Warming(now time.Time) bool { return now.Before(w.until) }

// Left returns how much longer the endpoint warms up, 0 if it is warm.
func (w *Warmup) Left(now time.Time) time.Duration { return max(w.until.Sub(now), 0) }

// Sent counts a request that was sent to the endpoint.
func (w *Warmup) Sent(at time.Time, l WarmupLimit, own bool, g Group) {
	if w.limits(at, l) {
		w.pace.Sent(at, l.PerSecond, own, g)
	}
}

// Allows tells whether the entry may send the endpoint one more request.
func (w *Warmup) Allows(now time.Time, l WarmupLimit, g Group) bool {
	return !w.limits(now, l) || w.pace.Allows(now, l.PerSecond, g)
}

// Chance returns the share of requests that the endpoint is shown to, where so many come to the
// service each second, at all entries.
func (w *Warmup) Chance(now time.Time, l WarmupLimit, arrivalsPerSecond float64, g Group) float64 {
	if !w.limits(now, l) {
		return 1
	}
	return w.pace.Chance(now, l.PerSecond, arrivalsPerSecond, g)
}

func (w *Warmup) limits(now time.Time, l WarmupLimit) bool { return l.Limits() && w.Warming(now) }
