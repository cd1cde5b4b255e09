// When an endpoint counts as failing, silent or slow, and when it is back.
//
// Rules:
//   - failing: the decayed share of recent attempts that failed costs up to
//     failureWeight (cost.go); each success lowers it;
//   - unreachable: it is tried last, twice as long after each failure in a row; after that, or
//     after a success, it is tried like any other;
//   - silent: a first event later than twice the expected time, or no event of any
//     stream for silentAfter, costs by how late it is; the next event ends that;
//   - slow: the ratio of observed to expected times to a first event moves the
//     endpoint's slowdown, by little each time, within bounds;
//   - overloaded: an endpoint that asks an entry to back off is not failing: it says nothing
//     of its health, here or at other entries (signals.go).
//
// Inputs: events and outcomes of attempts, of all entries where they tell them.
// Never: an endpoint is not excluded by any of these, it only costs more.

package placement

import (
	"math"
	"time"
)

const (
	// failureDecay is the weight of the newest outcome in the share of failures.
	failureDecay = 0.2
	// minRedialWait is how long an unreachable endpoint is tried last at first.
	minRedialWait = 300 * time.Millisecond
	// maxRedialWait is the longest such time.
	maxRedialWait = 5 * time.Second
	// overdueSlackMS is how much later than twice the expected time a first event may be, in
	// ms, before the endpoint is suspected.
	overdueSlackMS = 150
	// overdueFactor is the multiple of the expected time that a first event may take.
	overdueFactor = 2
	// silentAfter is how long no event of any stream may come. Above the targets between
	// events that were met so far.
	silentAfter = 400 * time.Millisecond
	// minSlowdown and maxSlowdown bound an endpoint's slowdown.
	minSlowdown = 0.5
	maxSlowdown = 20.0
	// slowdownWeight is the weight of one observation, as an exponent of its ratio.
	slowdownWeight = 0.2
	// maxSlowdownRatio bounds the ratio of observed to expected time that counts.
	maxSlowdownRatio = 2.0
	// tellingMS is the expected time, in ms, from which an observation counts in full. Shorter
	// ones are mostly the way to the endpoint and back.
	tellingMS = 60.0
)

// health is what recent outcomes say of an endpoint. The zero value is healthy.
type health struct {
	failures   float64 // decayed share of recent attempts that failed
	redialWait time.Duration
	redialAt   time.Time // until then it counts as unreachable
}

// record takes in how an attempt ended.
func (h *health) record(now time.Time, o Outcome) {
	if o == Abandoned || o == PushedBack {
		return
	}
	failed := 0.0
	if o.failed() {
		failed = 1
	}
	h.failures += failureDecay * (failed - h.failures)
	switch o {
	case Succeeded:
		h.redialWait = 0
		h.redialAt = time.Time{}
	case Unreachable:
		h.redialWait = min(max(2*h.redialWait, minRedialWait), maxRedialWait)
		h.redialAt = now.Add(h.redialWait)
	}
}

// failureCost returns the cost of recent failures.
func (h *health) failureCost(now time.Time) float64 {
	cost := failureWeight * h.failures
	if now.Before(h.redialAt) {
		cost += unreachableCost
	}
	return cost
}

// overdueMS returns by how many ms the endpoint is later than it should be: with
// the first event of a waiting attempt, or with the next event of any stream of
// this entry.
func (e *endpoint) overdueMS(now time.Time) float64 {
	worst := 0.0
	streaming := false
	for _, a := range e.attempts {
		if a.waiting() {
			late := milliseconds(now.Sub(a.sentAt)) - overdueFactor*a.expectedMS - overdueSlackMS
			worst = max(worst, late)
		} else if a.own && a.request.BetweenTokens > 0 {
			streaming = true
		}
	}
	if streaming {
		if silent := now.Sub(e.lastEvent); silent > silentAfter {
			worst = max(worst, milliseconds(silent))
		}
	}
	return worst
}

// updateSlowdown takes in how long a first event took against what was expected.
// One observation moves the slowdown by little, whatever it was.
func (e *endpoint) updateSlowdown(expectedMS, observedMS float64) {
	if expectedMS <= 0 {
		return
	}
	ratio := min(max(observedMS/expectedMS, 1/maxSlowdownRatio), maxSlowdownRatio)
	weight := slowdownWeight * min(expectedMS/tellingMS, 1)
	e.setSlowdown(e.slowdown * math.Pow(ratio, weight))
}

// setSlowdown sets the slowdown, within its bounds. Its logarithm is kept, since each first event
// asks for the mean of all.
func (e *endpoint) setSlowdown(factor float64) {
	e.slowdown = min(max(factor, minSlowdown), maxSlowdown)
	e.logFactor = math.Log(e.slowdown)
}

// meanSlowdown returns the geometric mean of the slowdowns of a service's endpoints. What is
// learned of the service is learned of an endpoint of this slowdown, so that the mean stays
// about 1: a line and slowdowns that drift apart say the same of each endpoint, until a
// slowdown meets its bound.
func (s *service) meanSlowdown() float64 {
	sum := 0.0
	for _, e := range s.endpoints {
		sum += e.logFactor
	}
	return math.Exp(sum / float64(max(len(s.endpoints), 1)))
}
