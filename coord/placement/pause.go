// Estimates the chance that a stream pauses for longer than its target between events.
//
// Rule: while prompts are computed at an engine, every step computes one piece of them, and a
// stream gets one token a step. A busy period makes a stream pause if enough of its steps fall
// between two events: the chance is 0 if it is too short, grows with its length, since it
// begins at any point of an event, and is 1 once it covers the needed steps twice. At an engine
// where even an event of nothing but such steps is within the target, no busy period makes a
// stream pause. The engine's speed varies for spells; the chance is the mean over the spread of
// the observed over the expected intervals (spread.go). Where the engines of a service are uneven,
// placement adds the expected misses to the cost of an engine: of the request's own stream, because
// of the prompts that wait behind it and of busy periods as frequent as lately (busy.go); of the
// streams there, because of the request's prompt and the longer steps.
// Inputs: the times of a step and of a piece, tokens per event, the target, busy periods.
// Units: ms; chances from 0 to 1.
// Never: the name of a class counts; a foreseen pause excludes no endpoint.
// Load: urgent streams that run beside long prompts, and beside many short ones.

package placement

import (
	"math"
	"time"
)

const (
	// pauseWeight is the cost of a stream that misses its inter-event target. It is that of a
	// late first event, since both make the request late.
	pauseWeight = latenessWeight
	// spellMS is the time, in ms, after which an engine counts as in another spell or in none.
	spellMS = 500.0
	// commonDemandShare is the share of the prompts to come that is expected at every engine alike.
	// The rest comes where prompts came lately.
	commonDemandShare = 0.4
)

// pauseModel estimates the pauses of the streams with one target at one engine. It holds, for
// each ratio of the spread at which a busy period can make them pause, the ms of prefill that
// it has to compute between two events, and those that it can.
type pauseModel struct {
	ratios  int
	shares  [spreadBuckets]float64
	needMS  [spreadBuckets]float64 // at the engine's usual speed
	eventMS float64                // prefill computed while one event is made
	wallMS  float64                // time for a ms of prefill beside the steps
	always  float64                // share of time in which events come late without prefill
}

// newPauseModel returns the model of an engine whose steps take stepMS, and pieceMS more while
// prompts are computed.
func newPauseModel(shares *[spreadBuckets]float64, stepMS, pieceMS float64, eventTokens int, targetMS float64) pauseModel {
	tokens := float64(max(eventTokens, 1))
	m := pauseModel{eventMS: tokens * pieceMS, wallMS: 1 + stepMS/max(pieceMS, 1)}
	for n, ratio := range spreadRatios {
		needMS := targetMS/ratio - tokens*stepMS
		switch {
		case shares[n] == 0 || needMS > m.eventMS:
		case needMS <= 0:
			m.always += shares[n]
		default:
			m.shares[m.ratios], m.needMS[m.ratios] = shares[n], needMS
			m.ratios++
		}
	}
	return m
}

// chance returns the chance that a busy period with the given ms of prefill makes a stream
// pause for longer than its target, of which it sees at most the given time.
func (m *pauseModel) chance(busyMS, seenMS float64) float64 {
	if busyMS <= 0 || m.ratios == 0 {
		return 0
	}
	sum := 0.0
	for n := range m.ratios {
		need := m.needMS[n]
		if busyMS >= need {
			sum += m.shares[n] * min(1-(2*need-busyMS)/m.eventMS, 1)
		}
	}
	return min(sum*max(min(busyMS*m.wallMS, seenMS)/spellMS, 1), 1)
}

// harmless reports whether no pause is foreseen.
func (m *pauseModel) harmless() bool { return m.ratios == 0 && m.always == 0 }

// streamGroup is the number of open streams at an engine with one target.
type streamGroup struct {
	target time.Duration
	count  int
}

// countStream adds n streams with a target to those of the engine.
func (e *endpoint) countStream(target time.Duration, n int) {
	if target <= 0 {
		return
	}
	for k := range e.streams {
		if e.streams[k].target == target {
			e.streams[k].count += n
			return
		}
	}
	e.streams = append(e.streams, streamGroup{target, n})
}

// pauses returns the chance that the request's own stream pauses at an engine for longer than
// its target, and the expected number of others that do because of it, with a prompt of the
// given prefill time at this engine.
func (q *query) pauses(e *endpoint, prefillMS float64) (own, others float64) {
	s := q.service
	pieceMS := s.pieceMS(e)
	stepMS := s.stepMS(e, e.running)
	grownMS := s.stepMS(e, e.running+1)
	slowdown := s.decodeSlowdown(e)
	prefillMS *= slowdown / e.slowdown
	waitingMS := e.backlogMS(q.now) * slowdown / e.slowdown
	for _, g := range e.streams {
		if g.count == 0 {
			continue
		}
		target := milliseconds(g.target)
		after := newPauseModel(&q.spread, grownMS, pieceMS, s.EventTokens, target)
		if after.harmless() {
			continue
		}
		before := newPauseModel(&q.spread, stepMS, pieceMS, s.EventTokens, target)
		remainingMS := q.streamMS(grownMS) / 2
		more := after.chance(waitingMS+prefillMS, remainingMS) - before.chance(waitingMS, remainingMS) + after.always - before.always
		rate := e.busy.pausesPerSecond(q.now, slowdown, remainingMS, &after) - e.busy.pausesPerSecond(q.now, slowdown, remainingMS, &before)
		more += rate * remainingMS / 1000
		others += float64(g.count) * min(max(more, 0), 1)
	}
	if target := q.request.InterEventTarget; target > 0 {
		m := newPauseModel(&q.spread, grownMS, pieceMS, s.EventTokens, milliseconds(target))
		behindMS := waitingMS - e.waitMS(q.now, q.request.Priority)*slowdown/e.slowdown
		streamMS := q.streamMS(grownMS)
		rate := e.busy.pausesPerSecond(q.now, slowdown, streamMS, &m)
		rate += commonDemandShare * (s.steps.demand.pausesPerSecond(len(s.endpoints), slowdown, streamMS, &m) - rate)
		expected := m.chance(behindMS, streamMS) + m.always + streamMS/1000*rate
		own = 1 - math.Exp(-expected*q.calibration)
	}
	return own, others * q.calibration
}

// foreseesPauses reports whether the speeds of the service's engines are learned and uneven.
func (s *service) foreseesPauses() bool { return s.EngineSpeeds && s.steps.uneven }

// streamMS returns the expected time from the first to the last event of the request at an engine
// with the given time of a step.
func (q *query) streamMS(stepMS float64) float64 {
	return stepMS * float64(q.request.Prompt.ExpectedOutput())
}

// StreamEnded records whether a stream of this entry paused for longer than its target, for the
// calibration of the chance foreseen when it was placed. It reports false for an attempt that
// isn't a stream with a target that has begun, or whose service foresees no pauses. It must precede End.
func (t *Table) StreamEnded(id AttemptID, chance float64) (missed, counted bool) {
	e := t.byAttempt[id]
	if e == nil || !e.Engine || !t.service(e.Service).foreseesPauses() {
		return false, false
	}
	a := e.attempts[id]
	if a.waiting() || a.request.InterEventTarget <= 0 {
		return false, false
	}
	t.service(e.Service).steps.calibration.observe(chance, a.missed)
	return a.missed, true
}
