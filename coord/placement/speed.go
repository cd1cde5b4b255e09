package placement

// Priors of the time to a first event, used until enough has been observed.
const (
	priorBaseMS   = 8.0
	priorPerToken = 0.02 // ms
	priorWeight   = 5.0  // observations that the prior counts as
	speedDecay    = 0.995
	minPerToken   = 0.0005
	priorTokens   = 2000.0 // spread of the prior's points
)

// speed is a decayed least-squares line of the time to the first event over
// the tokens read, for endpoints of a service on which nothing waited. The zero
// value holds the prior.
type speed struct {
	weight, x, y, xx, xy float64
}

func (s *speed) prime() {
	if s.weight > 0 {
		return
	}
	for _, tokens := range []float64{0, priorTokens} {
		s.add(priorWeight, tokens, priorBaseMS+priorPerToken*tokens)
	}
}

func (s *speed) add(weight, tokens, ms float64) {
	s.weight += weight
	s.x += weight * tokens
	s.y += weight * ms
	s.xx += weight * tokens * tokens
	s.xy += weight * tokens * ms
}

// observe takes in one first event.
func (s *speed) observe(tokens int, ms float64) {
	s.prime()
	s.weight *= speedDecay
	s.x *= speedDecay
	s.y *= speedDecay
	s.xx *= speedDecay
	s.xy *= speedDecay
	s.add(1, float64(tokens), ms)
}

// line returns the ms of an empty prompt and the ms per token.
func (s *speed) line() (base, perToken float64) {
	s.prime()
	spread := s.weight*s.xx - s.x*s.x
	if spread <= 0 {
		return priorBaseMS, priorPerToken
	}
	perToken = max((s.weight*s.xy-s.x*s.y)/spread, minPerToken)
	base = max((s.y-perToken*s.x)/s.weight, 0)
	return base, perToken
}
