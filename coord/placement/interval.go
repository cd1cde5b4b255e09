package placement

import "math"

const (
	// intervalDecay is the weight of the newest value. Chosen, not measured.
	intervalDecay = 0.02
	// minIntervals is how many values are needed before they say anything. Chosen, not
	// measured.
	minIntervals = 10
	// highDeviations is how many standard deviations above the mean a high value is.
	// Chosen, not measured.
	highDeviations = 1.5
)

// intervals is a decayed mean and variance of the ms between events of streams, at
// a slowdown of 1. The zero value is empty.
type intervals struct {
	count    int
	mean     float64
	variance float64
}

func (i *intervals) observe(ms float64) {
	i.count++
	weight := max(intervalDecay, 1/float64(i.count))
	off := ms - i.mean
	i.mean += weight * off
	i.variance += weight * (off*off - i.variance)
}

// average returns the mean; false while too few values are known.
func (i *intervals) average() (float64, bool) { return i.mean, i.count >= minIntervals }

// high returns a value that most stay below; false while too few are known.
func (i *intervals) high() (float64, bool) {
	if i.count < minIntervals {
		return 0, false
	}
	return i.mean + highDeviations*math.Sqrt(i.variance), true
}
