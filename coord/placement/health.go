// Tracks whether an endpoint is failing, unreachable, stalled or slow, and when it has
// recovered.
//
// Rules:
//   - failing: the decayed share of recent attempts that failed costs up to
//     failureWeight (cost.go); each success lowers it;
//   - unreachable: the endpoint is tried last, for twice as long after each consecutive
//     failure; after that time, or after a success, it is tried like any other;
//   - stalled: a first event later than twice the expected time, or no event of any
//     stream for stallTimeout, costs by how late it is; the next event ends that;
//   - slow: the ratio of observed to expected times to a first event changes the
//     endpoint's slowdown, by a small step each time, within bounds;
//   - overloaded: an endpoint that asks an entry to back off is not failing: this is no
//     sign of its health, here or at other entries (signals.go).
//
// Inputs: events and outcomes of attempts, including those announced by other entries.
// Never: any of these excludes an endpoint; they only raise its cost.

package placement

import (
	"math"
	"time"
)

const (
	// failureDecay is the weight of the newest outcome in the share of failures.
	failureDecay = 0.2
	// minUnreachableFor is how long an endpoint is tried last after the first failure to
	// connect.
	minUnreachableFor = 300 * time.Millisecond
	// maxUnreachableFor is the longest such time.
	maxUnreachableFor = 5 * time.Second
	// overdueSlackMS is how much later than twice the expected time a first event may be, in
	// ms, before the endpoint counts as overdue.
	overdueSlackMS = 150
	// overdueFactor is the multiple of the expected time that a first event may take.
	overdueFactor = 2
	// stallTimeout is the longest time without an event of any stream. It is above the
	// inter-event targets in use.
	stallTimeout = 400 * time.Millisecond
	// minSlowdown and maxSlowdown bound an endpoint's slowdown.
	minSlowdown = 0.5
	maxSlowdown = 20.0
	// slowdownWeight is the weight of one observation, as an exponent of its ratio.
	slowdownWeight = 0.2
	// maxSlowdownRatio bounds the ratio of observed to expected time of one observation.
	maxSlowdownRatio = 2.0
	// fullWeightExpectedMS is the expected time, in ms, from which an observation has its full
	// weight. Shorter times consist mostly of the network round trip.
	fullWeightExpectedMS = 60.0
)

// health holds the results of recent attempts at an endpoint. The zero value is healthy.
type health struct {
	failures         float64 // decayed share of recent attempts that failed
	unreachableFor   time.Duration
	unreachableUntil time.Time // counts as unreachable until then
	crashedUntil     time.Time // counts as crashed until then, unless it responds
}

// crashRetention is how long an endpoint counts as crashed. By then one that has crashed has left the
// list.
const crashRetention = 15 * time.Second

// RecordCrash records that an incarnation of an endpoint has crashed, as this entry or another observed.
// Nothing is copied to it or fetched from it.
func (t *Table) RecordCrash(now time.Time, incarnation string) {
	if e := t.endpoints[incarnation]; e != nil {
		e.crashedUntil = now.Add(crashRetention)
	}
}

// holdsMemory reports whether an endpoint may be expected to hold memory for others.
func (h *health) holdsMemory(now time.Time) bool {
	return h.failures <= maxSourceFailures && !now.Before(h.unreachableUntil) && !now.Before(h.crashedUntil)
}

// record adds the outcome of an attempt.
func (h *health) record(now time.Time, o Outcome) {
	if o == Abandoned || o == PushedBack {
		return
	}
	failure := 0.0
	if o.failed() {
		failure = 1
	}
	h.failures += failureDecay * (failure - h.failures)
	switch o {
	case Succeeded:
		h.unreachableFor = 0
		h.unreachableUntil = time.Time{}
		h.crashedUntil = time.Time{}
	case Unreachable:
		h.unreachableFor = min(max(2*h.unreachableFor, minUnreachableFor), maxUnreachableFor)
		h.unreachableUntil = now.Add(h.unreachableFor)
	}
}

// failureCost returns the cost of recent failures.
func (h *health) failureCost(now time.Time) float64 {
	cost := failureWeight * h.failures
	if now.Before(h.unreachableUntil) {
		cost += unreachableCost
	}
	return cost
}

// overdueMS returns by how many ms the endpoint is overdue with the first event of a waiting
// attempt, or with the next event of any stream of this entry.
func (e *endpoint) overdueMS(now time.Time) float64 {
	worst := 0.0
	streaming := false
	for _, a := range e.attempts {
		if a.waiting() {
			late := milliseconds(now.Sub(a.sentAt)) - overdueFactor*a.expectedMS - overdueSlackMS
			worst = max(worst, late)
		} else if a.own && a.request.InterEventTarget > 0 {
			streaming = true
		}
	}
	if streaming {
		if stalledFor := now.Sub(e.lastEvent); stalledFor > stallTimeout {
			worst = max(worst, milliseconds(stalledFor))
		}
	}
	return worst
}

// updateSlowdown adjusts the slowdown by the time to a first event. The effect of one
// observation is bounded.
func (e *endpoint) updateSlowdown(expectedMS, observedMS float64) {
	if expectedMS <= 0 {
		return
	}
	ratio := min(max(observedMS/expectedMS, 1/maxSlowdownRatio), maxSlowdownRatio)
	weight := slowdownWeight * min(expectedMS/fullWeightExpectedMS, 1)
	e.setSlowdown(e.slowdown * math.Pow(ratio, weight))
}

// setSlowdown sets the slowdown, within its bounds. It also stores the logarithm, since each
// first event computes the mean of all logarithms.
func (e *endpoint) setSlowdown(slowdown float64) {
	e.slowdown = min(max(slowdown, minSlowdown), maxSlowdown)
	e.logSlowdown = math.Log(e.slowdown)
}

// meanSlowdown returns the geometric mean of the slowdowns of a service's endpoints. The
// prefill model is fitted to an endpoint of this slowdown, which keeps the mean at about 1.
// Otherwise the model and the slowdowns could drift apart without a change in the estimates,
// until a slowdown reaches its bound.
func (s *service) meanSlowdown() float64 {
	sum := 0.0
	for _, e := range s.endpoints {
		sum += e.logSlowdown
	}
	return math.Exp(sum / float64(max(len(s.endpoints), 1)))
}
