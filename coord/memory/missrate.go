package memory

const (
	// newestWeight is the weight of the newest fetch in the moving average of a source's misses.
	newestWeight = 0.2
	// minComputeMS is the least time to compute the fetched tokens, in ms, for which a late first
	// event indicates a miss. It is longer than the variation of the round trip to an engine.
	minComputeMS = 30.0
	// missFraction is the fraction of that time by which a first event must be late to indicate
	// a miss. It lies half way between a fetch and computing.
	missFraction = 0.5
)

// MissRate is the miss rate of fetches from an engine: how often the engine had evicted the tokens
// that it was estimated to cache. The zero value has no misses.
type MissRate struct {
	missRate float64 // exponentially weighted moving average
}

// Probability returns the probability that the next fetch misses.
func (m *MissRate) Probability() float64 { return m.missRate }

// Observe adds the result of a fetch and reports whether the fetch missed. lateMS is the delay of
// the first event over the expected time, computeMS the time to compute the fetched tokens.
func (m *MissRate) Observe(lateMS, computeMS float64) bool {
	if computeMS < minComputeMS {
		return false
	}
	missed := lateMS > missFraction*computeMS
	newest := 0.0
	if missed {
		newest = 1
	}
	m.missRate += newestWeight * (newest - m.missRate)
	return missed
}

// Restore raises the miss rate to that of another table if that one is higher.
func (m *MissRate) Restore(missRate float64) { m.missRate = max(m.missRate, min(missRate, 1)) }
