package placement

import "math"

const (
	// intervalDecay is the weight of the newest value.
	intervalDecay = 0.02
	// minIntervals is the number of values below which the statistics are not used.
	minIntervals = 10
	// upperDeviations is the number of standard deviations between the mean and upperEstimate.
	upperDeviations = 1.5
)

// intervalStats is the decayed mean and variance of the ms between events of streams, at a
// slowdown of 1. The zero value is empty.
type intervalStats struct {
	_        struct{} `cbor:",toarray"`
	Count    int
	Mean     float64
	Variance float64
}

func (i *intervalStats) observe(ms float64) {
	i.Count++
	weight := max(intervalDecay, 1/float64(i.Count))
	deviation := ms - i.Mean
	i.Mean += weight * deviation
	i.Variance += weight * (deviation*deviation - i.Variance)
}

// mean returns the mean. It returns false while there are too few values.
func (i *intervalStats) mean() (float64, bool) { return i.Mean, i.Count >= minIntervals }

// upperEstimate returns a value that most intervals stay below. It returns false while there
// are too few values.
func (i *intervalStats) upperEstimate() (float64, bool) {
	if i.Count < minIntervals {
		return 0, false
	}
	return i.Mean + upperDeviations*math.Sqrt(i.Variance), true
}

// prefillInterferes reports whether streams with the service's strictest inter-event target are
// known to come close to the target, or to miss it, during prefill.
func (s *service) prefillInterferes() bool {
	upper, known := s.intervalsWithPrefill.upperEstimate()
	return known && s.InterEventTarget > 0 && upper >= harmlessIntervalShare*milliseconds(s.InterEventTarget)
}
