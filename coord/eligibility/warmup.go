// Rate limit of an endpoint during its warm-up.
//
// Rule: while an endpoint warms up, all entries together send it requests at most at the warm-up
// rate of its service (sharedrate.go).
// Inputs: the warm-up time reported by the endpoint, requests sent by all entries, the number of
// entries, the arrival rate at the service.
// Units: requests per second.
// Never: the limit applies to a warm endpoint; a refusal here counts against the endpoint's health.

package eligibility

import "time"

// WarmupLimit is the rate limit of a service's endpoints while they warm up. The zero value sets
// no limit.
type WarmupLimit struct {
	PerSecond float64       // requests per second to one endpoint, 0 for no limit
	Duration  time.Duration // from the start of an endpoint until it is warm
}

// Enabled reports whether there is a limit.
func (l WarmupLimit) Enabled() bool { return l.PerSecond > 0 }

// Warmup is the warm-up of one endpoint. The zero value is warm.
type Warmup struct {
	until      time.Time // end of the warm-up
	sharedRate SharedRate
}

// Start records that the endpoint warms up for the time left from now. It never shortens a
// warm-up that ends later.
func (w *Warmup) Start(now time.Time, left time.Duration) {
	if !w.Warming(now) {
		w.sharedRate = SharedRate{tokens: 1} // allows the first request immediately
	}
	if until := now.Add(left); until.After(w.until) {
		w.until = until
	}
}

// Warming reports whether the endpoint warms up.
func (w *Warmup) Warming(now time.Time) bool { return now.Before(w.until) }

// Remaining returns the time until the endpoint is warm, 0 if it is warm.
func (w *Warmup) Remaining(now time.Time) time.Duration { return max(w.until.Sub(now), 0) }

// RecordSend counts a request sent to the endpoint by this entry, if own, or by another one.
func (w *Warmup) RecordSend(at time.Time, l WarmupLimit, own bool, g Group) {
	if w.limits(at, l) {
		w.sharedRate.RecordSend(at, l.PerSecond, own, g)
	}
}

// Allows reports whether the entry may send one more request to the endpoint.
func (w *Warmup) Allows(now time.Time, l WarmupLimit, g Group) bool {
	return !w.limits(now, l) || w.sharedRate.Allows(now, l.PerSecond, g)
}

// CandidateProbability returns the probability with which the endpoint is a candidate for a
// request. arrivalsPerSecond is the rate of the service's requests at all entries.
func (w *Warmup) CandidateProbability(now time.Time, l WarmupLimit, arrivalsPerSecond float64, g Group) float64 {
	if !w.limits(now, l) {
		return 1
	}
	return w.sharedRate.CandidateProbability(now, l.PerSecond, arrivalsPerSecond, g)
}

func (w *Warmup) limits(now time.Time, l WarmupLimit) bool { return l.Enabled() && w.Warming(now) }
