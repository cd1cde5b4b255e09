// Learns how fast each engine generates tokens, apart from how fast it computes prompts.
//
// Rule: an engine's time per token without prefill is the middle of its last observations, from the
// intervals between events of this entry's streams, with the growth by the requests that run there
// taken out. An engine without observations differs from the others of its service as its slowdown
// of prefill does (health.go), which is learned from first events alone. The growth, the time for a
// piece of a prompt in one step, as a multiple of the step, and the spread of the observed over the
// expected intervals are learned per service.
// Inputs: times of first events and intervals, the requests that run, the prompts that wait.
// Units: ms; slowdowns relative to the service's mean.
// Never: one spell of slowness moves a speed; a speed outlives its engine's incarnation.
// Load: engines that differ in speed by more than two and have slow spells.

package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// recentObservations is the number of observations whose middle counts. More than half of
	// them must agree before a speed changes.
	recentObservations = 9
	// minObservations is the number of observations below which a speed isn't known.
	minObservations = 3
	// observationSpacing is the shortest time between two observations of an engine's speed, so
	// that one spell doesn't fill the middle.
	observationSpacing = 100 * time.Millisecond
	// unevenFrom is the ratio of the times of steps of slow to fast engines from which pauses are
	// foreseen by engine. With less, interference is that of prompts longer than an event allows.
	unevenFrom = 1.7
	// minKnownEngines is the number of engines with a known speed below which their spread says
	// nothing: a fifth has to be more than one engine in a spell.
	minKnownEngines = 10
	// unevenInterval is the time between two looks at all engines of a service.
	unevenInterval = 500 * time.Millisecond
	// minStepMS and minPieceSteps are the shortest plausible times of a step, in ms, and of a
	// prompt's piece in one, as a multiple of it.
	minStepMS     = 0.05
	minPieceSteps = 0.1
	// defaultPieceTokens are the tokens of prompts that an engine computes in one step, until
	// intervals with prefill have been observed.
	defaultPieceTokens = 2048
	// priorRunning and priorGrowth are the prior of the growth of a step: with this many running
	// requests it takes this multiple of its time with none.
	priorRunning = 32.0
	priorGrowth  = 1.3
	// stepDecay is the weight of the newest observation in a service's times of steps, and the
	// share by which it moves the time of a piece.
	stepDecay = 0.02
)

// recent holds the last observations of a value, as a ring. The zero value is empty.
type recent struct {
	values [recentObservations]float64
	count  int // of all observations
	lastAt time.Time
}

// observe adds a value, unless the last one is too fresh. It reports whether it did.
func (r *recent) observe(now time.Time, v float64) bool {
	if r.count > 0 && now.Sub(r.lastAt) < observationSpacing {
		return false
	}
	r.values[r.count%recentObservations] = v
	r.count++
	r.lastAt = now
	return true
}

// known reports whether there are enough values for a middle.
func (r *recent) known() bool { return r.count >= minObservations }

// fill sets the values to one that another table has learned, of the least number that counts.
func (r *recent) fill(now time.Time, v float64) {
	for n := range minObservations {
		r.values[n] = v
	}
	r.count = minObservations
	r.lastAt = now
}

// middle returns the median. It returns false while there are too few values.
func (r *recent) middle() (float64, bool) {
	if !r.known() {
		return 0, false
	}
	sorted := r.values
	n := min(r.count, recentObservations)
	slices.Sort(sorted[:n])
	return sorted[n/2], true
}

// engineSpeed is what is learned of one engine. The zero value knows nothing.
type engineSpeed struct {
	decode recent  // ms of a step without prefill and with no other request
	stepMS float64 // middle of decode, 0 for unknown
}

// stepTimes is what is learned of the steps of a service's engines. The zero value is the prior.
type stepTimes struct {
	growth      prefillModel // relative time of a step by the requests that run
	logStepMS   float64      // decayed mean of log(step / slowdown of prefill)
	steps       int
	pieceSteps  float64 // middle time of the prompt's piece in a step, as a multiple of a step without, 0 for unknown
	spread      spread
	demand      promptDemand
	calibration calibration

	uneven    bool // some engines decode clearly more slowly than others
	checkedAt time.Time
}

// updateUneven updates whether the engines are uneven: of those with recentObservations, which last
// longer than a spell, the slow fifth takes unevenFrom times as long for a step as the fast fifth.
func (s *service) updateUneven(now time.Time) {
	if now.Sub(s.steps.checkedAt) < unevenInterval {
		return
	}
	s.steps.checkedAt = now
	var known []float64
	for _, e := range s.endpoints {
		if e.speed.decode.count >= recentObservations {
			known = append(known, e.speed.stepMS)
		}
	}
	slices.Sort(known)
	n := len(known)
	s.steps.uneven = n >= minKnownEngines && known[n-1-n/5] >= unevenFrom*known[n/5]
}

// growthPerRequest returns by what share of its time with none a step grows with each running
// request.
func (s *stepTimes) growthPerRequest() float64 {
	s.initGrowth()
	base, slope := s.growth.coefficients()
	if base <= 0 {
		return (priorGrowth - 1) / priorRunning
	}
	return slope / base
}

// initGrowth sets the prior of the growth.
func (s *stepTimes) initGrowth() {
	if s.growth.weight > 0 {
		return
	}
	s.growth.add(priorWeight, 0, 1)
	s.growth.add(priorWeight, priorRunning, priorGrowth)
}

// meanStepMS returns the expected time of a step of an engine with a slowdown of 1, without
// prefill and other requests.
func (s *stepTimes) meanStepMS() float64 {
	if s.steps == 0 {
		return defaultDecodeStepMS
	}
	return math.Exp(s.logStepMS)
}

// baseStepMS returns the expected time of a step of an engine without prefill and other requests.
func (s *service) baseStepMS(e *endpoint) float64 {
	if e.speed.stepMS > 0 {
		return e.speed.stepMS
	}
	return s.steps.meanStepMS() * e.slowdown
}

// decodeSlowdown returns the slowdown of an engine's steps.
func (s *service) decodeSlowdown(e *endpoint) float64 { return s.baseStepMS(e) / s.steps.meanStepMS() }

// stepMS returns the expected time of a step of an engine that runs the given number of
// requests, without prefill.
func (s *service) stepMS(e *endpoint, running int) float64 {
	return s.baseStepMS(e) * (1 + s.steps.growthPerRequest()*float64(running))
}

// pieceMS returns the expected time of the prompt's piece in a step of an engine.
func (s *service) pieceMS(e *endpoint) float64 { return s.baseStepMS(e) * s.pieceSteps() }

// pieceSteps returns the time of the prompt's piece as a multiple of a step without prefill and
// other requests.
func (s *service) pieceSteps() float64 {
	if s.steps.pieceSteps > 0 {
		return s.steps.pieceSteps
	}
	_, perTokenMS := s.prefill.coefficients()
	return defaultPieceTokens * perTokenMS / s.steps.meanStepMS()
}

// observePlainInterval records an interval between events during which no prompt was computed.
func (s *service) observePlainInterval(now time.Time, e *endpoint, intervalMS float64) {
	if !s.EngineSpeeds {
		return
	}
	stepMS := intervalMS / float64(max(s.EventTokens, 1))
	s.steps.spread.observe(stepMS / s.stepMS(e, e.running))
	s.steps.initGrowth()
	grown := 1 + s.steps.growthPerRequest()*float64(e.running)
	if e.speed.stepMS > 0 {
		s.steps.growth.observe(e.running, min(stepMS/e.speed.stepMS, maxSlowdownRatio*grown))
	}
	if !e.speed.decode.observe(now, stepMS/grown) {
		return
	}
	middle, known := e.speed.decode.middle()
	if !known {
		return
	}
	e.speed.stepMS = max(middle, minStepMS)
	s.updateUneven(now)
	s.steps.steps++
	weight := max(stepDecay, 1/float64(s.steps.steps))
	s.steps.logStepMS += weight * (math.Log(e.speed.stepMS/e.slowdown) - s.steps.logStepMS)
}

// observeBusyInterval records an interval between events during which prompts were computed all
// the time.
func (s *service) observeBusyInterval(e *endpoint, intervalMS float64) {
	if !s.EngineSpeeds {
		return
	}
	stepMS := s.stepMS(e, e.running)
	perStepMS := intervalMS / float64(max(s.EventTokens, 1))
	s.steps.spread.observe(perStepMS / (stepMS + s.pieceMS(e)))
	steps := s.pieceSteps()
	if (perStepMS-stepMS)/s.baseStepMS(e) > steps {
		s.steps.pieceSteps = steps * (1 + stepDecay)
	} else {
		s.steps.pieceSteps = max(steps/(1+stepDecay), minPieceSteps)
	}
}
