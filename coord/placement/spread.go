package placement

const (
	spreadWeight = 0.02 // of the newest value
	fewValues    = 10   // below which a spread says nothing
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
