package placement

const (
	// priorBaseMS and priorPerTokenMS are the coefficients of the prior, in ms for an empty
	// prompt and ms per token. They apply until there are enough observations.
	priorBaseMS     = 8.0
	priorPerTokenMS = 0.02
	// priorWeight is the number of observations that each point of the prior counts as.
	priorWeight = 5.0
	// priorTokens is the prompt length of the prior's second point.
	priorTokens = 2000.0
	// observationDecay is the factor applied to an observation's weight with each newer one. It
	// halves the weight after some 140.
	observationDecay = 0.995
	// minPerTokenMS is the shortest plausible prefill time, in ms per token.
	minPerTokenMS = 0.0005
)

// prefillModel estimates the time to the first event at an engine where no prompt waits, as a
// linear function of the prompt tokens to compute. It is a decayed least-squares fit over the
// endpoints of a service, with their times normalized to a slowdown of 1. The zero value holds
// the prior.
type prefillModel struct {
	weight, sumX, sumY, sumXX, sumXY float64
}

func (m *prefillModel) init() {
	if m.weight > 0 {
		return
	}
	for _, tokens := range []float64{0, priorTokens} {
		m.add(priorWeight, tokens, priorBaseMS+priorPerTokenMS*tokens)
	}
}

func (m *prefillModel) add(weight, tokens, ms float64) {
	m.weight += weight
	m.sumX += weight * tokens
	m.sumY += weight * ms
	m.sumXX += weight * tokens * tokens
	m.sumXY += weight * tokens * ms
}

// observe adds one time to a first event.
func (m *prefillModel) observe(tokens int, ms float64) {
	m.init()
	m.weight *= observationDecay
	m.sumX *= observationDecay
	m.sumY *= observationDecay
	m.sumXX *= observationDecay
	m.sumXY *= observationDecay
	m.add(1, float64(tokens), ms)
}

// coefficients returns the ms for an empty prompt and the ms per token.
func (m *prefillModel) coefficients() (baseMS, perTokenMS float64) {
	m.init()
	determinant := m.weight*m.sumXX - m.sumX*m.sumX
	if determinant <= 0 {
		return priorBaseMS, priorPerTokenMS
	}
	perTokenMS = max((m.weight*m.sumXY-m.sumX*m.sumY)/determinant, minPerTokenMS)
	baseMS = max((m.sumY-perTokenMS*m.sumX)/m.weight, 0)
	return baseMS, perTokenMS
}
