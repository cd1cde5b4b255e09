// What it would cost to send a request to an endpoint.
//
// Rule: the cost is the sum of seven terms, each an expected loss:
//
//	late      the request's own first event, against its target
//	harm      targets between events: those of the streams that its prefill would
//	          delay, and its own by long prompts to come
//	reread    prompt tokens that have to be computed, above all those of prefixes
//	          that another endpoint caches, and those that are fetched from one
//	crowding  slots and memory that run out
//	pool      a long prompt outside the pool of long prompts, or a short one inside
//	trouble   recent failures, unreachable lately, silence, draining
//	distance  another data centre
//
// Unit: one request answered within its targets is worth 1.
// Inputs: what the table knows of the endpoint; nothing of a class but its targets.
// Never: the name of a class, service or data centre has no weight of its own.

package placement

import "math"

const (
	// lateFrom is the share of the first-event target from which lateness costs.
	lateFrom = 0.5
	// lateTo is the share of the target at which lateness costs in full.
	lateTo = 1.2
	// lateWeight is the cost of a late answer. A late answer still earns something.
	lateWeight = 0.8
	// laterWeight is the cost of each further target of lateness.
	laterWeight = 0.1
	// harmWeight is the cost of a running stream that misses its target between events.
	harmWeight = 0.3
	// doomedWeight is the same for a stream that misses it anyway.
	doomedWeight = 0.1
	// rereadWeight is the cost of a prefix token computed again.
	rereadWeight = 4e-4
	// homeShare is the share of rereadWeight for prefix tokens that are not cached at an
	// endpoint other than their home.
	homeShare = 0.1
	// fetchWeight is the cost of a token that is fetched from another engine.
	fetchWeight = 2e-5
	// prefillWeight is the cost of any token computed.
	prefillWeight = 1e-5
	// poolWeight is the cost of leaving the pool that a prompt belongs to.
	poolWeight = 0.5
	// slotWeight is the cost of a full engine.
	slotWeight = 0.1
	// overloadWeight is the cost of a load beyond the slots, for each multiple of them.
	overloadWeight = 1.5
	// memoryWeight is the cost of tokens beyond the engine's memory, for each multiple of it:
	// the engine preempts requests then.
	memoryWeight = 1.0
	// distanceWeight is the cost of another data centre.
	distanceWeight = 0.01
	// failureWeight is the cost of an endpoint that always fails.
	failureWeight = 2.0
	// unreachableCost is the cost of an endpoint that could not be reached lately. Above what the
	// other terms usually add up to, so that such an endpoint goes last.
	unreachableCost = 20.0
	// drainingCost is the cost of an endpoint that says that it drains. Above unreachableCost, so that
	// it is the last resort.
	drainingCost = 40.0
	// overdueWeight is the cost of an endpoint that is late by one first-event target.
	overdueWeight = 1.0
	// plainWeight is the cost of a full endpoint without a model.
	plainWeight = 1.0
	// safeShare is the share of a target between events below which the interval seen beside
	// prefills has to stay for them to count as harmless.
	safeShare = 0.5
	// usableShare is the share of a target between events that prefill may use up.
	usableShare = 0.8
	// stepMS is the time of one token beside no prefill, in ms, until intervals have been
	// observed.
	stepMS = 4.0
)

// Terms are the parts of a cost. The JSON names are those of the request's log line.
type Terms struct {
	Late     float64 `json:"late"`
	Harm     float64 `json:"harm"`
	Reread   float64 `json:"again"` // logged under its former name
	Crowding float64 `json:"crowding"`
	Pool     float64 `json:"pool"`
	Trouble  float64 `json:"trouble"`
	Distance float64 `json:"distance"`
}

func (t Terms) sum() float64 {
	return t.Late + t.Harm + t.Reread + t.Crowding + t.Pool + t.Trouble + t.Distance
}

// estimate returns what the request would cost at an endpoint.
func (q *query) estimate(e *endpoint, inPool bool) Choice {
	c := Choice{
		Endpoint: e.Endpoint,
		Slowdown: e.slowdown,
		Terms:    Terms{Distance: q.distance(e), Trouble: e.failureCost(q.now)},
	}
	if e.drain.Draining() {
		c.Terms.Trouble += drainingCost
	}
	if e.Engine {
		q.estimateEngine(e, inPool, &c)
	} else {
		q.estimatePlain(e, &c)
	}
	c.Cost = c.Terms.sum()
	return c
}

// estimateEngine adds what concerns engines only.
func (q *query) estimateEngine(e *endpoint, inPool bool, c *Choice) {
	prompt := q.request.Prompt
	baseMS, perTokenMS := q.service.prefill.line()
	missing := e.cache.Uncached(prompt)
	c.Fetch = q.fetch(e, prompt.Tokens-missing, perTokenMS)
	c.PrefillTokens = max(missing-c.Fetch.Tokens, 0)
	c.RereadTokens = max(q.rereadTokens(e)-c.Fetch.Tokens, 0)
	c.Long = q.service.isLong(float64(c.PrefillTokens) * perTokenMS)
	// What a fetch is expected to miss is computed after all.
	prefillMS := (float64(c.PrefillTokens) + c.Fetch.ExpectedMiss()) * perTokenMS * e.slowdown
	c.WaitMS = max(e.waitMS(q.now, q.request.Priority), c.Fetch.MS())
	c.FirstMS = baseMS*e.slowdown + c.WaitMS + prefillMS
	target := q.request.firstTokenMS()
	c.Terms.Late = lateness(c.FirstMS / target)
	c.Terms.Trouble += overdueWeight * e.overdueMS(q.now) / target
	c.Terms.Harm = q.harm(e, prefillMS)
	c.Terms.Reread = q.reread(e, *c)
	c.Terms.Crowding = q.crowding(e)
	if inPool != c.Long {
		c.Terms.Pool = poolWeight
	}
}

// reread returns the cost of the tokens that are computed or fetched.
func (q *query) reread(e *endpoint, c Choice) float64 {
	cost := rereadWeight*(float64(c.RereadTokens)+c.Fetch.ExpectedMiss()) +
		prefillWeight*float64(c.PrefillTokens) + fetchWeight*float64(c.Fetch.Tokens)
	if q.home != nil && q.home != e {
		away := max(e.cache.UncachedShared(q.request.Prompt)-c.Fetch.Tokens, 0)
		cost += homeShare * rereadWeight * float64(away)
	}
	return cost
}

// estimatePlain adds the load of an endpoint that runs no model, and how far its
// oldest attempt is beyond the request's target.
func (q *query) estimatePlain(e *endpoint, c *Choice) {
	load := float64(len(e.attempts))
	if e.Slots > 0 {
		load /= float64(e.Slots)
	}
	oldestMS := 0.0
	for _, a := range e.attempts {
		oldestMS = max(oldestMS, milliseconds(q.now.Sub(a.sentAt)))
	}
	overdue := max(oldestMS/q.request.firstTokenMS()-1, 0)
	c.Terms.Crowding = plainWeight*load + overloadWeight*max(load-1, 0) + overdueWeight*overdue
}

// lateness returns the cost of a first event after a multiple of its target.
func lateness(targets float64) float64 {
	ramp := min(max((targets-lateFrom)/(lateTo-lateFrom), 0), 1)
	return lateWeight*ramp + laterWeight*targets
}

// harm returns the expected cost of missed targets between events: of the streams
// that run at the engine, by a prefill of the length, and of the request's own
// stream, by long prompts to come.
func (q *query) harm(e *endpoint, prefillMS float64) float64 {
	cost := 0.0
	waitingMS := e.backlogMS(q.now)
	for _, a := range e.attempts {
		allowedMS, bounded := q.service.allowedPrefillMS(e, a.request)
		switch {
		case !bounded || waitingMS+prefillMS <= allowedMS:
		case waitingMS > allowedMS:
			cost += doomedWeight
		default:
			cost += harmWeight
		}
	}
	if allowedMS, bounded := q.service.allowedPrefillMS(e, q.request); bounded {
		streamSeconds := stepMS * e.slowdown * float64(q.request.Prompt.Out()) / 1000
		cost += harmWeight * (1 - math.Exp(-e.longPrefillRate(q.now, allowedMS)*streamSeconds))
	}
	return cost
}

// allowedPrefillMS returns how many ms of prefill fit between two events of a
// stream without a miss of its target; false if any prefill does.
func (s *service) allowedPrefillMS(e *endpoint, r Request) (float64, bool) {
	if r.BetweenTokens <= 0 {
		return 0, false
	}
	target := milliseconds(r.BetweenTokens)
	if high, known := s.besidePrefill.high(); known && high*e.slowdown < safeShare*target {
		return 0, false
	}
	eventMS := stepMS * float64(max(s.EventTokens, 1))
	if mean, known := s.undisturbed.average(); known {
		eventMS = mean
	}
	return max(usableShare*target-eventMS*e.slowdown, 1), true
}

// rereadTokens returns the tokens of shared parts that another endpoint has
// computed lately and this one would compute again.
func (q *query) rereadTokens(e *endpoint) int {
	tokens := 0
	cached := true
	for _, part := range q.request.Prompt.Shared() {
		cached = cached && e.cache.Has(part.ID)
		if !cached && q.table.computedLately(q.now, part.ID) {
			tokens += part.Tokens
		}
	}
	return tokens
}

// crowding returns the cost of slots and memory that run out at an engine.
func (q *query) crowding(e *endpoint) float64 {
	cost := 0.0
	if e.Slots > 0 {
		load := float64(len(e.attempts)+1) / float64(e.Slots)
		cost += slotWeight*load + overloadWeight*max(load-1, 0)
	}
	if q.service.MemoryTokens > 0 {
		prompt := q.request.Prompt
		load := float64(e.tokens+prompt.Tokens+prompt.Out()) / float64(q.service.MemoryTokens)
		cost += memoryWeight * max(load-1, 0)
	}
	return cost
}

func (q *query) distance(e *endpoint) float64 {
	if e.DataCentre == q.table.DataCentre {
		return 0
	}
	return distanceWeight
}
