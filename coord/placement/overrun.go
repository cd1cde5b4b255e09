// Tracks by how much first events exceed their expected times, by the priority of the prompts.
//
// Rule: the ratio of observed to expected time to a first event, decayed over the attempts of
// all entries, by priority. It covers effects that the estimate of a wait lacks: more urgent
// prompts that arrive during the wait, prompts of other entries that have not been announced
// yet, and prompts that engines compute a second time.
// Inputs: first events and their expected times.
// Unit: a ratio, 1 for as expected.
// Never: short expected times count, since they consist mostly of the network round trip. In
// bursts, admitted long prompts of the lowest priority take 1.2 to 3.6 times as long as
// expected at the median.

package placement

import "math"

const (
	// overrunDecay is the weight of the newest first event. At 100 first events per second, it
	// halves the weight of an observation in 0.35 s.
	overrunDecay = 0.02
	// maxOverrun bounds the ratio of one first event, in both directions.
	maxOverrun = 8.0
)

// overruns is the natural logarithm of the ratio by priority. The zero value is a ratio of 1.
type overruns [numPriorities]float64

// observe adds a first event.
func (o *overruns) observe(priority int, expectedMS, observedMS float64) {
	if expectedMS < fullWeightExpectedMS {
		return
	}
	ratio := min(max(observedMS/expectedMS, 1/maxOverrun), maxOverrun)
	logRatio := &o[clampPriority(priority)]
	*logRatio += overrunDecay * (math.Log(ratio) - *logRatio)
}

// factor returns the factor to apply to an expected time, at least 1.
func (o *overruns) factor(priority int) float64 { return math.Exp(max(o[clampPriority(priority)], 0)) }
