// What a table learns from the events of attempts. An attempt is sent (Place), has
// its first event (FirstEvent), perhaps further ones (NextEvent, known only of this
// entry's streams), and ends (End). Other entries tell theirs; what they tell may
// come late or not at all, so attempts of others are also forgotten with their
// owner (DropOwner) and some time after their deadline (Expire).

package placement

import (
	"time"

	"foxcross.dev/coord/memory"
)

const (
	// expirySlack is how long after its deadline an attempt of another entry is forgotten if
	// its end was not heard. Above the delay of the messages between entries.
	expirySlack = time.Second
	// unknownTimeLeft stands for the deadline of an attempt that names none.
	unknownTimeLeft = 60 * time.Second
)

// Place records that a request was sent to an endpoint, by this entry or another.
// An unknown endpoint, an id that is open, and what is beyond the table's bound are
// passed over.
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
	baseMS, perTokenMS := service.prefill.line()
	tokens := max(e.cache.Uncached(r.Prompt)-f.Tokens, 0)
	prefillMS := float64(tokens) * perTokenMS
	a := &attempt{
		request:       r,
		fetch:         f,
		own:           id.Owner == t.Self,
		sentAt:        now,
		prefillTokens: tokens,
		expectedMS:    baseMS + max(e.waitMS(now, r.Priority), t.occupyLinks(now, e, f)) + prefillMS*e.slowdown,
		alone:         e.backlogMS(now) == 0,
	}
	if a.own && e.ownStreams() == 0 {
		e.lastEvent = now
	}
	e.attempts[id] = a
	service.arrivals.add(now)
	e.warmup.Sent(now, service.Warmup, a.own, t.Group)
	e.limit.Sent(now, a.own, t.Group)
	e.tokens += r.Prompt.Tokens + r.Prompt.Out()
	if e.Engine {
		t.placePrompt(now, service, e, a, prefillMS)
	}
}

// occupyLinks records a fetch and returns after how many ms it is expected to be done.
func (t *Table) occupyLinks(now time.Time, e *endpoint, f memory.Fetch) float64 {
	source := t.endpoints[f.Source]
	if !f.Any() || source == nil {
		return 0
	}
	memory.Occupy(now, &source.link, &e.link, f.MoveMS)
	return memory.WaitMS(now, &source.link, &e.link)
}

// placePrompt records the prompt of an attempt at an engine.
func (t *Table) placePrompt(now time.Time, s *service, e *endpoint, a *attempt, prefillMS float64) {
	e.backlog.ms[level(a.request.Priority)] += prefillMS
	e.lastSent = now
	e.addPrefill(now, prefillMS)
	a.brought = e.cache.Use(a.request.Prompt, memory.Room(s.MemoryTokens, e.tokens))
	t.remember(now, a.request.Prompt, e)
	s.pool.add(now, prefillMS, s.isLong(prefillMS))
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
	if a.own {
		e.backoff.Responded(a.sentAt, e.Slots)
	}
	if !e.Engine {
		return
	}
	e.cache.Settle(a.brought)
	observedMS := milliseconds(now.Sub(a.sentAt))
	t.service(e.Service).overruns.observe(a.request.Priority, a.expectedMS, observedMS)
	if a.own {
		e.lastEvent = now
	}
	if a.fetch.Any() {
		t.learnFetch(e, a, observedMS)
	} else {
		t.learnPrefill(e, a, observedMS)
	}
	t.boundBacklog(now, e)
}

// learnPrefill records a first event before which nothing was fetched. What a token takes is
// learned of prompts that nothing waited before and that nothing joined, since others make it
// seem longer.
func (t *Table) learnPrefill(e *endpoint, a *attempt, observedMS float64) {
	if a.alone && a.own && e.lastSent.Equal(a.sentAt) {
		s := t.service(e.Service)
		s.prefill.observe(a.prefillTokens, observedMS*s.meanSlowdown()/e.slowdown)
	}
	e.updateSlowdown(a.expectedMS, observedMS)
}

// learnFetch takes in a first event after a fetch: whether the source still kept what
// it was believed to. Such an event says nothing else, since it is not known what was
// computed.
func (t *Table) learnFetch(e *endpoint, a *attempt, observedMS float64) {
	source := t.endpoints[a.fetch.Source]
	if source == nil {
		return
	}
	_, perTokenMS := t.service(e.Service).prefill.line()
	source.trust.Learn(observedMS-a.expectedMS, float64(a.fetch.Tokens)*perTokenMS*e.slowdown)
}

// NextEvent records a later event of a stream of this entry. The interval since the
// event before counts as undisturbed if no prompt waited meanwhile, as beside
// prefill if prompts waited all the time, and else not at all.
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
		service.besidePrefill.observe(intervalMS / e.slowdown)
	case a.backlogMS == 0 && backlogMS == 0 && e.lastSent.Before(a.lastAt):
		service.undisturbed.observe(intervalMS / e.slowdown)
	}
	a.lastAt = now
	a.backlogMS = backlogMS
}

// End records that an attempt has ended.
func (t *Table) End(now time.Time, id AttemptID, o Outcome) {
	if e := t.remove(now, id, o); e != nil {
		t.boundBacklog(now, e)
	}
}

// remove takes an ended attempt off its endpoint. It returns the endpoint if it is
// an engine that has not finished the attempt's prefill, else nil.
func (t *Table) remove(now time.Time, id AttemptID, o Outcome) *endpoint {
	e := t.byAttempt[id]
	if e == nil {
		t.noteEnded(id)
		return nil
	}
	a := e.attempts[id]
	delete(t.byAttempt, id)
	delete(e.attempts, id)
	e.tokens -= a.request.Prompt.Tokens + a.request.Prompt.Out()
	e.record(now, o)
	if !e.Engine || !a.waiting() {
		return nil
	}
	e.cache.Forget(a.brought)
	return e
}

// boundBacklog lowers the backlog of an engine to the prompts that wait there.
func (t *Table) boundBacklog(now time.Time, e *endpoint) {
	_, perTokenMS := t.service(e.Service).prefill.line()
	e.boundBacklog(now, perTokenMS)
}

// DropOwner forgets the attempts of an entry that is gone.
func (t *Table) DropOwner(now time.Time, owner uint64) {
	t.abandon(now, func(id AttemptID, _ *attempt) bool { return id.Owner == owner })
}

// Expire forgets the attempts of other entries whose deadline has passed: the
// messages of their ends were lost.
func (t *Table) Expire(now time.Time) {
	t.abandon(now, func(_ AttemptID, a *attempt) bool {
		left := a.request.TimeLeft
		if left <= 0 {
			left = unknownTimeLeft
		}
		return !a.own && now.Sub(a.sentAt) > left+expirySlack
	})
}

// abandon forgets the attempts that are picked.
func (t *Table) abandon(now time.Time, picked func(AttemptID, *attempt) bool) {
	changed := map[*endpoint]bool{}
	for id, e := range t.byAttempt {
		if !picked(id, e.attempts[id]) {
			continue
		}
		if waited := t.remove(now, id, Abandoned); waited != nil {
			changed[waited] = true
		}
	}
	for e := range changed {
		t.boundBacklog(now, e)
	}
}
