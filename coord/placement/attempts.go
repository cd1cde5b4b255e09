// Updates a table with the events of attempts. An attempt is sent (Place), has its first event
// (FirstEvent) and possibly further ones (NextEvent, only for streams of this entry), and ends
// (End). Other entries announce the events of their attempts. These announcements may arrive
// late or not at all, so the attempts of another entry are also removed when that entry is gone
// (DropOwner) and some time after their deadline (Expire).

package placement

import (
	"time"

	"foxcross.dev/coord/memory"
)

const (
	// expirySlack is the time after its deadline until an attempt of another entry is removed
	// if its end was not announced. It is above the delay of messages between entries.
	expirySlack = time.Second
	// defaultTimeLeft is the time to the deadline of an attempt without one.
	defaultTimeLeft = 60 * time.Second
)

// Place records a request that this or another entry has sent to an endpoint. It ignores
// unknown endpoints, ids that are already open, and attempts beyond the table's bound.
func (t *Table) Place(now time.Time, id AttemptID, endpointID string, r Request, f memory.Fetch) {
	e := t.endpoints[endpointID]
	if e == nil || e.attempts[id] != nil || len(t.byAttempt) >= maxAttempts {
		return
	}
	if t.byAttempt == nil {
		t.byAttempt = map[AttemptID]*endpoint{}
	}
	t.byAttempt[id] = e
	service := t.service(e.Service)
	baseMS, perTokenMS := service.prefill.coefficients()
	tokens := max(e.cache.Uncached(r.Prompt)-f.Tokens, 0)
	prefillMS := float64(tokens) * perTokenMS
	waitMS := max(e.waitMS(now, r.Priority), t.reserveLinks(now, e, f))
	a := &attempt{
		request:       r,
		fetch:         f,
		own:           id.Owner == t.Self,
		sentAt:        now,
		prefillTokens: tokens,
		expectedMS:    baseMS + waitMS + prefillMS*e.slowdown,
		idleEngine:    e.backlogMS(now) == 0,
	}
	if a.own && e.ownStreams() == 0 {
		e.lastEvent = now
	}
	e.attempts[id] = a
	e.countStream(r.InterEventTarget, 1)
	service.arrivalRate.add(now)
	e.warmup.RecordSend(now, service.Warmup, a.own, t.Group)
	e.limit.RecordSend(now, a.own, t.Group)
	e.openTokens += r.Prompt.Tokens + r.Prompt.ExpectedOutput()
	if e.Engine {
		t.recordPrompt(now, service, e, a, prefillMS)
	}
}

// reserveLinks records a fetch and returns the number of ms until it is expected to be done.
func (t *Table) reserveLinks(now time.Time, e *endpoint, f memory.Fetch) float64 {
	source := t.endpoints[f.Source]
	if !f.Any() || source == nil {
		return 0
	}
	memory.Occupy(now, &source.link, &e.link, f.TransferMS)
	return memory.WaitMS(now, &source.link, &e.link)
}

// recordPrompt records the prompt of an attempt at an engine.
func (t *Table) recordPrompt(now time.Time, s *service, e *endpoint, a *attempt, prefillMS float64) {
	e.backlog.prefillMS[clampPriority(a.request.Priority)] += prefillMS
	e.lastSent = now
	e.recordPrefill(now, prefillMS)
	s.recordBusy(now, e, prefillMS)
	a.addedParts = e.cache.Use(a.request.Prompt, memory.CacheSize(s.MemoryTokens, e.openTokens+e.replicas.tokens))
	t.recordUse(now, a.request.Prompt, e)
	s.pool.add(now, prefillMS, s.isLong(prefillMS))
	s.asked.add(now, prefillMS)
}

// Sent returns the endpoint and the request of an open attempt.
func (t *Table) Sent(id AttemptID) (endpoint string, r Request, ok bool) {
	e := t.byAttempt[id]
	if e == nil {
		return "", Request{}, false
	}
	return e.Incarnation(), e.attempts[id].request, true
}

// FirstEvent records the first event of an attempt, which ends its prefill.
func (t *Table) FirstEvent(now time.Time, id AttemptID) {
	e := t.byAttempt[id]
	if e == nil {
		return
	}
	a := e.attempts[id]
	if !a.waiting() {
		return
	}
	a.firstAt = now
	a.lastAt = now
	a.backlogMS = e.backlogMS(now)
	e.running++
	if a.own {
		e.backoff.RecordResponse(a.sentAt, e.Slots)
	}
	if !e.Engine {
		return
	}
	e.cache.MarkCached(a.addedParts)
	observedMS := milliseconds(now.Sub(a.sentAt))
	t.service(e.Service).overruns.observe(a.request.Priority, a.expectedMS, observedMS)
	if a.own {
		e.lastEvent = now
	}
	if a.fetch.Any() {
		t.observeFetch(e, a, observedMS)
	} else {
		t.observePrefill(e, a, observedMS)
	}
	t.trimBacklog(now, e)
}

// observePrefill records a first event that no fetch preceded. The prefill model is updated
// only from prompts sent to an idle engine before any further prompt arrived, since other
// prompts increase the observed time per token.
func (t *Table) observePrefill(e *endpoint, a *attempt, observedMS float64) {
	if a.idleEngine && a.own && e.lastSent.Equal(a.sentAt) {
		s := t.service(e.Service)
		s.prefill.observe(a.prefillTokens, observedMS*s.meanSlowdown()/e.slowdown)
	}
	e.updateSlowdown(a.expectedMS, observedMS)
}

// observeFetch records from a first event after a fetch whether the source still cached the
// expected parts. Nothing else can be derived from such an event, since the number of computed
// tokens is unknown.
func (t *Table) observeFetch(e *endpoint, a *attempt, observedMS float64) {
	source := t.endpoints[a.fetch.Source]
	if source == nil {
		return
	}
	_, perTokenMS := t.service(e.Service).prefill.coefficients()
	source.missRate.Observe(observedMS-a.expectedMS, float64(a.fetch.Tokens)*perTokenMS*e.slowdown)
}

// NextEvent records a later event of a stream of this entry. The interval since the previous
// event counts as without prefill if no prompt waited during it, as with prefill if prompts
// waited for all of it, and otherwise not at all.
func (t *Table) NextEvent(now time.Time, id AttemptID) {
	e := t.byAttempt[id]
	if e == nil {
		return
	}
	a := e.attempts[id]
	if a.waiting() {
		return
	}
	e.lastEvent = now
	intervalMS := milliseconds(now.Sub(a.lastAt))
	backlogMS := e.backlogMS(now)
	service := t.service(e.Service)
	switch {
	case a.backlogMS >= intervalMS:
		service.intervalsWithPrefill.observe(intervalMS / e.slowdown)
		if backlogMS >= intervalMS {
			service.observeBusyInterval(e, intervalMS)
		}
	case a.backlogMS == 0 && backlogMS == 0 && e.lastSent.Before(a.lastAt):
		service.intervalsWithoutPrefill.observe(intervalMS / e.slowdown)
		service.observePlainInterval(now, e, intervalMS)
	}
	a.missed = a.missed || a.request.InterEventTarget > 0 && now.Sub(a.lastAt) > a.request.InterEventTarget
	a.lastAt = now
	a.backlogMS = backlogMS
}

// End records the end of an attempt.
func (t *Table) End(now time.Time, id AttemptID, o Outcome) {
	if e := t.remove(now, id, o); e != nil {
		t.trimBacklog(now, e)
	}
}

// remove deletes an ended attempt from its endpoint. It returns the endpoint if it is an engine
// that has not finished the attempt's prefill, else nil.
func (t *Table) remove(now time.Time, id AttemptID, o Outcome) *endpoint {
	e := t.byAttempt[id]
	if e == nil {
		t.recordEnded(id)
		return nil
	}
	a := e.attempts[id]
	delete(t.byAttempt, id)
	delete(e.attempts, id)
	t.dropReplica(a)
	e.openTokens -= a.request.Prompt.Tokens + a.request.Prompt.ExpectedOutput()
	e.countStream(a.request.InterEventTarget, -1)
	if !a.waiting() {
		e.running--
	}
	e.record(now, o)
	if !e.Engine || !a.waiting() {
		return nil
	}
	e.cache.Discard(a.addedParts)
	return e
}

// trimBacklog reduces the backlog of an engine to the prompts that wait there.
func (t *Table) trimBacklog(now time.Time, e *endpoint) {
	_, perTokenMS := t.service(e.Service).prefill.coefficients()
	e.trimBacklog(now, perTokenMS)
}

// DropOwner removes the attempts of an entry that is gone.
func (t *Table) DropOwner(now time.Time, owner uint64) {
	t.abandon(now, func(id AttemptID, _ *attempt) bool { return id.Owner == owner })
}

// Expire removes the attempts of other entries whose deadline has passed, since the messages
// with their ends were lost.
func (t *Table) Expire(now time.Time) {
	t.abandon(now, func(_ AttemptID, a *attempt) bool {
		left := a.request.TimeLeft
		if left <= 0 {
			left = defaultTimeLeft
		}
		return !a.own && now.Sub(a.sentAt) > left+expirySlack
	})
}

// abandon removes the matching attempts.
func (t *Table) abandon(now time.Time, match func(AttemptID, *attempt) bool) {
	changed := map[*endpoint]bool{}
	for id, e := range t.byAttempt {
		if !match(id, e.attempts[id]) {
			continue
		}
		if engine := t.remove(now, id, Abandoned); engine != nil {
			changed[engine] = true
		}
	}
	for e := range changed {
		t.trimBacklog(now, e)
	}
}
