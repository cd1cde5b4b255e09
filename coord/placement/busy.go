// Records the busy periods of engines, in which they compute prompts without a gap, and the prompts
// of a whole service by their length.
//
// Rule: a prompt that is sent before the one ahead of it is expected to be done continues the busy
// period. Those that began in the last prefillWindow tell how often the next ones begin.
// Inputs: the prompts sent by all entries.
// Units: ms of prefill at a slowdown of 1; ms.
// Never: a prompt counts by its class; more than maxBusyPeriods are kept per engine.

package placement

import (
	"math"
	"time"
)

// maxBusyPeriods bounds the busy periods kept per engine.
const maxBusyPeriods = 12

// busyPeriod is a time in which an engine computes prompts without a gap.
type busyPeriod struct {
	startedAt, endsAt time.Time
	prefillMS         float64 // at a slowdown of 1
}

// busyPeriods are the last ones of an engine, as a ring. The zero value is empty.
type busyPeriods struct {
	periods [maxBusyPeriods]busyPeriod
	count   int
}

// add records a prompt of the given prefill time that takes durationMS at the engine.
func (b *busyPeriods) add(now time.Time, prefillMS, durationMS float64) {
	duration := time.Duration(durationMS * float64(time.Millisecond))
	if b.count > 0 {
		last := &b.periods[(b.count-1)%maxBusyPeriods]
		if !now.After(last.endsAt) {
			last.prefillMS += prefillMS
			last.endsAt = last.endsAt.Add(duration)
			return
		}
	}
	b.periods[b.count%maxBusyPeriods] = busyPeriod{startedAt: now, endsAt: now.Add(duration), prefillMS: prefillMS}
	b.count++
}

// pausesPerSecond returns the number of busy periods per second, in the last prefillWindow, that
// make a stream pause.
func (b *busyPeriods) pausesPerSecond(now time.Time, slowdown, seenMS float64, m *pauseModel) float64 {
	if m.harmless() {
		return 0
	}
	sum := 0.0
	for n := range min(b.count, maxBusyPeriods) {
		p := &b.periods[n]
		if now.Sub(p.startedAt) < prefillWindow {
			sum += m.chance(p.prefillMS*slowdown, seenMS)
		}
	}
	return sum / prefillWindow.Seconds()
}

// recordBusy records a prompt of the given prefill time in the busy periods of an engine.
func (s *service) recordBusy(now time.Time, e *endpoint, prefillMS float64) {
	if !s.EngineSpeeds || prefillMS <= 0 {
		return
	}
	pieceMS := s.pieceMS(e)
	perMS := 1 + s.stepMS(e, e.running)/max(pieceMS, 1)
	s.steps.demand.add(now, prefillMS)
	e.busy.add(now, prefillMS, prefillMS*e.slowdown*perMS)
}

// demandClasses is the number of classes of promptDemand, and firstDemandMS the longest prefill of
// the first one, in ms. Each next class goes to twice as long.
const (
	demandClasses = 8
	firstDemandMS = 16.0
)

// promptDemand counts the prompts of a service by their prefill at a slowdown of 1, decayed over
// prefillWindow. The zero value has none.
type promptDemand struct {
	counts    [demandClasses]float64
	updatedAt time.Time
}

// add counts a prompt.
func (d *promptDemand) add(now time.Time, prefillMS float64) {
	if now.After(d.updatedAt) {
		decay := math.Exp(-float64(now.Sub(d.updatedAt)) / float64(prefillWindow))
		for n := range d.counts {
			d.counts[n] *= decay
		}
		d.updatedAt = now
	}
	n := int(math.Ceil(math.Log2(max(prefillMS/firstDemandMS, 1))))
	d.counts[min(n, demandClasses-1)]++
}

// pausesPerSecond returns the same as that of busyPeriods for an engine that gets an equal share of
// the prompts of its service, each on its own.
func (d *promptDemand) pausesPerSecond(engines int, slowdown, seenMS float64, m *pauseModel) float64 {
	sum := 0.0
	prefillMS := firstDemandMS * slowdown
	for _, count := range d.counts {
		sum += count * m.chance(prefillMS, seenMS)
		prefillMS *= 2
	}
	return sum / prefillWindow.Seconds() / float64(max(engines, 1))
}
