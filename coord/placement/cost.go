// Estimates the cost of sending a request to an endpoint.
//
// Rule: the cost is the sum of seven terms, each an expected loss:
//
//	Late           lateness of the request's own first event against its target
//	Interference   missed inter-event targets: those of the running streams that the
//	               prefill delays, and its own because of long prompts that arrive later;
//	               where the engines are uneven, as foreseen in pause.go
//	Recompute      prompt tokens to compute, above all those of prefixes that another
//	               endpoint caches, and tokens to fetch from one
//	Saturation     exhaustion of slots and memory
//	Pool           a long prompt outside the pool of long prompts, or a short one inside
//	Unreliability  recent failures, recent unreachability, stalls, draining
//	Distance       another data centre
//
// Unit: one request served within its targets is worth 1.
// Inputs: the table's state of the endpoint; of a class, only its targets.
// Never: the name of a class, service or data centre has a weight of its own.

package placement

import "math"

const (
	// latenessStart is the share of the first-event target from which lateness has a cost.
	latenessStart = 0.5
	// latenessFull is the share of the target from which latenessWeight applies in full.
	latenessFull = 1.2
	// latenessWeight is the cost of a late response. It is below 1 since a late response
	// retains some value.
	latenessWeight = 0.8
	// extraLatenessWeight is the cost per multiple of the first-event target.
	extraLatenessWeight = 0.1
	// interferenceWeight is the cost of a running stream that misses its inter-event target.
	interferenceWeight = 0.3
	// certainMissWeight is the same for a stream that misses its target in any case.
	certainMissWeight = 0.1
	// recomputeWeight is the cost of recomputing a token of a prefix.
	recomputeWeight = 4e-4
	// nonHomeShare is the share of recomputeWeight that applies to uncached prefix tokens at an
	// endpoint other than their home.
	nonHomeShare = 0.1
	// fetchWeight is the cost of a token fetched from another engine.
	fetchWeight = 2e-5
	// prefillWeight is the cost of computing a token, whether or not another engine caches it.
	prefillWeight = 1e-5
	// poolWeight is the cost of placing a prompt on the wrong side of the pool.
	poolWeight = 0.5
	// slotWeight is the cost of an engine whose slots are all in use.
	slotWeight = 0.1
	// overloadWeight is the cost of load beyond the slots, per multiple of them.
	overloadWeight = 1.5
	// memoryWeight is the cost of tokens beyond the engine's memory, per multiple of it, since
	// the engine then preempts requests.
	memoryWeight = 1.0
	// distanceWeight is the cost of another data centre.
	distanceWeight = 0.01
	// failureWeight is the cost of an endpoint of which every attempt fails.
	failureWeight = 2.0
	// unreachableCost is the cost of a recently unreachable endpoint. It exceeds the usual sum
	// of the other terms, so that such an endpoint is tried last.
	unreachableCost = 20.0
	// drainingCost is the cost of an endpoint that reports that it is draining. It exceeds
	// unreachableCost, so that the endpoint is the last resort.
	drainingCost = 40.0
	// overdueWeight is the cost of an endpoint that is overdue by one first-event target.
	overdueWeight = 1.0
	// nonEngineLoadWeight is the cost of a full endpoint that is no engine.
	nonEngineLoadWeight = 1.0
	// harmlessIntervalShare is the share of an inter-event target below which the intervals
	// observed during prefill must stay for prefill to count as harmless.
	harmlessIntervalShare = 0.5
	// usableIntervalShare is the share of an inter-event target that decoding and prefill may
	// take up together.
	usableIntervalShare = 0.8
	// defaultDecodeStepMS is the time per token without prefill, in ms, until intervals have
	// been observed.
	defaultDecodeStepMS = 4.0
)

// Terms are the components of a cost. The JSON names are those in the request's log line.
type Terms struct {
	Late          float64 `json:"late"`
	Interference  float64 `json:"harm"`
	Recompute     float64 `json:"again"`
	Saturation    float64 `json:"crowding"`
	Pool          float64 `json:"pool"`
	Unreliability float64 `json:"trouble"`
	Distance      float64 `json:"distance"`
}

func (t Terms) sum() float64 {
	return t.Late + t.Interference + t.Recompute + t.Saturation + t.Pool + t.Unreliability + t.Distance
}

// estimate returns the expected cost of the request at an endpoint.
func (q *query) estimate(e *endpoint, inPool bool) Choice {
	c := Choice{
		Endpoint: e.Endpoint,
		Slowdown: e.slowdown,
		Terms:    Terms{Distance: q.distanceCost(e), Unreliability: e.failureCost(q.now)},
	}
	if e.drain.Draining() {
		c.Terms.Unreliability += drainingCost
	}
	if e.Engine {
		q.estimateEngine(e, inPool, &c)
	} else {
		q.estimateNonEngine(e, &c)
	}
	c.Cost = c.Terms.sum()
	return c
}

// estimateEngine adds the estimates that apply only to engines.
func (q *query) estimateEngine(e *endpoint, inPool bool, c *Choice) {
	prompt := q.request.Prompt
	baseMS, perTokenMS := q.service.prefill.coefficients()
	missing := e.cache.Uncached(prompt)
	c.Fetch = q.estimateFetch(e, prompt.Tokens-missing, perTokenMS)
	c.PrefillTokens = max(missing-c.Fetch.Tokens, 0)
	c.RecomputedTokens = max(q.recomputedTokens(e)-c.Fetch.Tokens, 0)
	c.Long = q.service.isLong(float64(c.PrefillTokens) * perTokenMS)
	// The tokens that the fetch is expected to miss are computed at this engine.
	prefillMS := (float64(c.PrefillTokens) + c.Fetch.ExpectedMiss()) * perTokenMS * e.slowdown
	c.WaitMS = max(e.waitMS(q.now, q.request.Priority), c.Fetch.MS())
	c.FirstMS = baseMS*e.slowdown + c.WaitMS + prefillMS
	target := q.request.firstEventTargetMS()
	c.Terms.Late = latenessCost(c.FirstMS / target)
	c.Terms.Unreliability += overdueWeight * e.overdueMS(q.now) / target
	q.estimateInterference(e, prefillMS, c)
	c.Terms.Recompute = q.recomputeCost(e, *c)
	c.Terms.Saturation = q.saturationCost(e)
	if inPool != c.Long {
		c.Terms.Pool = poolWeight
	}
}

// recomputeCost returns the cost of the tokens computed or fetched.
func (q *query) recomputeCost(e *endpoint, c Choice) float64 {
	cost := recomputeWeight*(float64(c.RecomputedTokens)+c.Fetch.ExpectedMiss()) +
		prefillWeight*float64(c.PrefillTokens) + fetchWeight*float64(c.Fetch.Tokens)
	if q.home != nil && q.home != e {
		away := max(e.cache.UncachedShared(q.request.Prompt)-c.Fetch.Tokens, 0)
		cost += nonHomeShare * recomputeWeight * float64(away)
	}
	return cost
}

// estimateNonEngine adds the load of an endpoint that runs no model, and by how much its oldest
// attempt exceeds the request's target.
func (q *query) estimateNonEngine(e *endpoint, c *Choice) {
	load := float64(len(e.attempts))
	if e.Slots > 0 {
		load /= float64(e.Slots)
	}
	oldestMS := 0.0
	for _, a := range e.attempts {
		oldestMS = max(oldestMS, milliseconds(q.now.Sub(a.sentAt)))
	}
	overdueTargets := max(oldestMS/q.request.firstEventTargetMS()-1, 0)
	c.Terms.Saturation = nonEngineLoadWeight*load + overloadWeight*max(load-1, 0) + overdueWeight*overdueTargets
}

// latenessCost returns the cost of a first event after the given multiple of its target.
func latenessCost(targets float64) float64 {
	ramp := min(max((targets-latenessStart)/(latenessFull-latenessStart), 0), 1)
	return latenessWeight*ramp + extraLatenessWeight*targets
}

// estimateInterference adds the expected cost of missed inter-event targets.
func (q *query) estimateInterference(e *endpoint, prefillMS float64, c *Choice) {
	if !q.service.foreseesPauses() {
		c.Terms.Interference = q.interferenceCost(e, prefillMS)
		return
	}
	own, others := q.pauses(e, prefillMS)
	c.PauseChance = own
	c.Terms.Interference = pauseWeight * (own + others)
}

// interferenceCost returns the expected cost of missed inter-event targets: of the streams that
// run at the engine, because of a prefill of the given length, and of the request's own stream,
// because of long prompts that arrive later.
func (q *query) interferenceCost(e *endpoint, prefillMS float64) float64 {
	cost := 0.0
	waitingMS := e.backlogMS(q.now)
	for _, a := range e.attempts {
		allowedMS, bounded := q.service.allowedPrefillMS(e, a.request)
		switch {
		case !bounded || waitingMS+prefillMS <= allowedMS:
		case waitingMS > allowedMS:
			cost += certainMissWeight
		default:
			cost += interferenceWeight
		}
	}
	if allowedMS, bounded := q.service.allowedPrefillMS(e, q.request); bounded {
		streamSeconds := defaultDecodeStepMS * e.slowdown * float64(q.request.Prompt.ExpectedOutput()) / 1000
		cost += interferenceWeight * (1 - math.Exp(-e.longPrefillRate(q.now, allowedMS)*streamSeconds))
	}
	return cost
}

// allowedPrefillMS returns how many ms of prefill fit between two events of a stream without a
// missed target. It returns false if any prefill fits.
func (s *service) allowedPrefillMS(e *endpoint, r Request) (float64, bool) {
	if r.InterEventTarget <= 0 {
		return 0, false
	}
	target := milliseconds(r.InterEventTarget)
	if upper, known := s.intervalsWithPrefill.upperEstimate(); known && upper*e.slowdown < harmlessIntervalShare*target {
		return 0, false
	}
	eventMS := defaultDecodeStepMS * float64(max(s.EventTokens, 1))
	if mean, known := s.intervalsWithoutPrefill.mean(); known {
		eventMS = mean
	}
	return max(usableIntervalShare*target-eventMS*e.slowdown, 1), true
}

// recomputedTokens returns the tokens of shared parts that another endpoint computed recently
// and this one would recompute.
func (q *query) recomputedTokens(e *endpoint) int {
	tokens := 0
	cached := true
	for _, part := range q.request.Prompt.Shared() {
		cached = cached && e.cache.Has(part.ID)
		if !cached && q.table.computedRecently(q.now, part.ID) {
			tokens += part.Tokens
		}
	}
	return tokens
}

// saturationCost returns the cost of exhausting an engine's slots and memory.
func (q *query) saturationCost(e *endpoint) float64 {
	cost := 0.0
	if e.Slots > 0 {
		load := float64(len(e.attempts)+1) / float64(e.Slots)
		cost += slotWeight*load + overloadWeight*max(load-1, 0)
	}
	if q.service.MemoryTokens > 0 {
		prompt := q.request.Prompt
		load := float64(e.openTokens+prompt.Tokens+prompt.ExpectedOutput()) / float64(q.service.MemoryTokens)
		cost += memoryWeight * max(load-1, 0)
	}
	return cost
}

func (q *query) distanceCost(e *endpoint) float64 {
	if e.DataCentre == q.table.DataCentre {
		return 0
	}
	return distanceWeight
}
