package placement

import "math"

const (
	spreadWeight = 0.02 // of the newest value
	fewValues    = 10   // below which a spread says nothing
	wide         = 1.5  // deviations above the mean that are counted with
)

// spread is a decayed mean and deviation. The zero value is empty.
type spread struct {
	count    int
	mean     float64
	variance float64
}

func (s *spread) observe(v float64) {
	s.count++
	weight := max(spreadWeight, 1/float64(s.count))
	off := v - s.mean
	s.mean += weight * off
	s.variance += weight * (off*off - s.variance)
}

// high returns a value that most stay below; false while too few are known.
func (s *spread) high() (float64, bool) {
	if s.count < fewValues {
		return 0, false
	}
	return s.mean + wide*math.Sqrt(s.variance), true
}
