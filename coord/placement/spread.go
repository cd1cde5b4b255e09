// Tracks how far the intervals between events vary around the expected ones, and how far the foreseen
// pauses are from those seen.
//
// Rule: the spread is the decayed distribution of the ratio of observed to expected intervals. The
// calibration is the ratio of the pauses seen to those foreseen, decayed over ended streams.
// Inputs: intervals between events, ended streams with the chance foreseen for them.
// Units: ratios; shares of time.
// Never: a single interval or stream decides.

package placement

import "math"

const (
	// spreadDecay is the factor applied to the weight of an observation with each newer one. It
	// halves the weight after some 1,400, which span many spells.
	spreadDecay = 0.9995
	// spreadBuckets is the number of classes of the spread, and spreadFirst the ratio at the
	// centre of the first one. Each next centre is spreadStep times as high.
	spreadBuckets = 8
	spreadFirst   = 0.77
	spreadStep    = 1.3
	// spreadPriorWeight is the weight of the prior, which expects the exact time.
	spreadPriorWeight = 20.0
	// calibrationDecay halves the weight of a stream after some 350.
	calibrationDecay = 0.998
	// calibrationPrior is the number of streams by which the calibration starts at 1.
	calibrationPrior = 2.0
	// minCalibration and maxCalibration bound the factor that the calibration applies.
	minCalibration = 0.1
	maxCalibration = 3.0
)

// spreadRatios are the ratios at the centres of the classes of a spread.
var spreadRatios = func() (all [spreadBuckets]float64) {
	for n := range all {
		all[n] = spreadFirst * math.Pow(spreadStep, float64(n))
	}
	return all
}()

// spread is the decayed distribution of observed over expected intervals, weighted by time. The
// zero value is the prior.
type spread struct {
	weights [spreadBuckets]float64
	total   float64
}

// observe adds a ratio.
func (s *spread) observe(ratio float64) {
	for n := range s.weights {
		s.weights[n] *= spreadDecay
	}
	n := int(math.Round(math.Log(max(ratio, spreadFirst)/spreadFirst) / math.Log(spreadStep)))
	n = min(n, spreadBuckets-1)
	weight := min(ratio, spreadRatios[spreadBuckets-1])
	s.total = s.total*spreadDecay + weight
	s.weights[n] += weight
}

// shares returns the share of time spent at each of spreadRatios.
func (s *spread) shares() (all [spreadBuckets]float64) {
	for n, w := range s.weights {
		all[n] = w / (s.total + spreadPriorWeight)
	}
	all[1] += spreadPriorWeight / (s.total + spreadPriorWeight) // the class of the exact time
	return all
}

// calibration compares the chances foreseen with the pauses seen. The zero value has a factor
// of 1.
type calibration struct{ foreseen, missed float64 }

// observe adds an ended stream with the chance to which the factor was applied.
func (c *calibration) observe(chance float64, missed bool) {
	c.foreseen = c.foreseen*calibrationDecay + chance/c.factor()
	c.missed *= calibrationDecay
	if missed {
		c.missed++
	}
}

// factor returns the factor to apply to a chance.
func (c *calibration) factor() float64 {
	ratio := (c.missed + calibrationPrior) / (c.foreseen + calibrationPrior)
	return min(max(ratio, minCalibration), maxCalibration)
}
