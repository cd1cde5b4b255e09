// Estimates the engine time of requests, by which it is shared between teams (package share).
//
// Rule: the prefill of the tokens that the engine neither caches nor fetches, and the decoding of
// the expected output as one slot's part of the engine. A refused request counts with the prefill
// at an engine that caches its prefix, or of the whole prompt if none does.
// Inputs: the table, an attempt or a refused request.
// Unit: milliseconds of an engine with a slowdown of 1.
// Never: own and announced attempts count differently.

package placement

// Work is the engine time that a request asks for.
type Work struct {
	MS   float64
	Late bool // its first event is expected after its target
}

// AttemptWork returns the engine time of an open attempt, 0 for an unknown one.
func (t *Table) AttemptWork(id AttemptID) Work {
	e := t.byAttempt[id]
	if e == nil || !e.Engine {
		return Work{}
	}
	a := e.attempts[id]
	s := t.service(e.Service)
	return Work{
		MS:   s.prefillMS(a.prefillTokens) + s.decodeMS(a.request, e.Slots),
		Late: a.expectedMS > a.request.firstEventTargetMS(),
	}
}

// RefusedWork returns the engine time that a refused request asked for.
func (t *Table) RefusedWork(r Request) Work {
	s := t.service(r.Service)
	tokens := r.Prompt.Tokens
	for _, e := range t.cachingEngines(r.Prompt) {
		tokens = min(tokens, e.cache.Uncached(r.Prompt))
	}
	slots := 0
	if len(s.endpoints) > 0 {
		slots = s.endpoints[0].Slots
	}
	return Work{MS: s.prefillMS(tokens) + s.decodeMS(r, slots), Late: true}
}

func (s *service) prefillMS(tokens int) float64 {
	_, perTokenMS := s.prefill.coefficients()
	return float64(tokens) * perTokenMS
}

// decodeMS returns the part of the engine's time that decoding the expected output takes. An engine
// with an unknown number of slots is not known to be held up by one output.
func (s *service) decodeMS(r Request, slots int) float64 {
	if slots == 0 {
		return 0
	}
	stepMS := defaultDecodeStepMS
	if eventMS, known := s.intervalsWithoutPrefill.mean(); known {
		stepMS = eventMS / float64(max(s.EventTokens, 1))
	}
	return float64(r.Prompt.ExpectedOutput()) * stepMS / float64(slots)
}
