// Applies the quarantine to the parts of prompts that different contents share.
//
// Rule: coord/quarantine decides. A run counts against its parts at a crash of its endpoint if it had
// no event, or its first one just before. The first event of any run, here or at another entry, clears
// its parts. A request with a part on probation waits until the run that tries the part has an outcome,
// for maxProbeWait at most.
// Inputs: results of attempts, events of other entries.
// Never: a request waits or is hashed for its parts while nothing is suspect.

package gateway

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"
)

const (
	// maxProbeWait bounds the wait for a run that tries a part on probation. Most first events take
	// less.
	maxProbeWait = 500 * time.Millisecond
	// probePollInterval is the time between two looks at it.
	probePollInterval = 5 * time.Millisecond
	// probationRetryAfter is the Retry-After of a request that has waited for maxProbeWait.
	probationRetryAfter = 500 * time.Millisecond
	// partRunsPerEvent is the number of runs in one event, so that the event fits into a datagram: each
	// takes some 35 bytes of 1,200.
	partRunsPerEvent = 24
	// silentWithin is how long before a crash a run may have had its first event to count against its
	// parts: a run that ends its endpoint may send one.
	silentWithin = 100 * time.Millisecond
)

// partKeys returns the keys of the parts of a prompt that others may share.
func partKeys(service string, p memory.Prompt) []quarantine.Key {
	var keys []quarantine.Key
	for _, part := range p.Shared() {
		keys = append(keys, quarantine.PartKey(service, part.ID))
	}
	return keys
}

// partKeys returns the keys of the request's shared parts. They are computed on the first call.
func (q *request) partKeys() []quarantine.Key {
	if q.cachedPartKeys == nil {
		q.cachedPartKeys = partKeys(q.spec.Service, q.spec.Prompt)
	}
	return q.cachedPartKeys
}

// partName returns the ID of a part by its key, in the form in which callers send it.
func (q *request) partName(k quarantine.Key) string {
	n := slices.Index(q.partKeys(), k)
	return strconv.FormatUint(q.spec.Prompt.Parts[n].ID, 16)
}

// suspectRuns returns an attempt in the form that coord/quarantine expects: its content, and its parts
// if it had no event long before at.
func (a *attempt) suspectRuns(q *request, at time.Time) []quarantine.Run {
	content := quarantine.Run{Content: q.contentKey(), Started: a.sentAt, KnownCrashes: a.crashes[q.contentKey()]}
	runs := []quarantine.Run{content}
	if a.gotFirstEvent && at.Sub(a.firstEventAt) > silentWithin {
		return runs
	}
	for _, k := range q.partKeys() {
		runs = append(runs, quarantine.Run{Content: k, Started: a.sentAt, KnownCrashes: a.crashes[k], Source: q.contentKey().Source()})
	}
	return runs
}

// probe identifies the attempt as a run of a part on probation.
func (a *attempt) probe() quarantine.Probe {
	return quarantine.Probe{Owner: a.id.Owner, Number: a.id.Number}
}

// awaitProbes waits until no other run tries a part of the request's prompt that is on probation, and
// reserves the next run. A request that was sent before waits until none of its parts is on probation:
// it would show nothing that its first attempt has not. It returns the refusal of a request that has
// waited for too long.
func (f *forwarding) awaitProbes() *result.Error {
	end := steady.Now().Add(maxProbeWait)
	for {
		k, reserved := f.gateway.suspects.reserveProbes(steady.Now(), f.request.partKeys(), f.sent == 0)
		if reserved {
			return nil
		}
		if !workers.Sleep(f.ctx, probePollInterval) {
			return f.waitEnd()
		}
		if f.gateway.suspects.verdict(steady.Now(), k).Held {
			return f.heldRefusal(k)
		}
		if steady.Now().After(end) {
			f.gateway.options.Metrics.Counter("probation_refused").Inc(1)
			refusal := newFailure(result.Quarantined, "another request tries part "+f.request.partName(k)+" of its prompt, under which endpoints have crashed", f.mayHaveRun)
			if refusal.Run == result.NotRun {
				refusal.RetryAfter = probationRetryAfter
			}
			return refusal
		}
	}
}

// reserveProbes reserves the next run of all parts that are on probation. It returns a part that is
// being tried or held, or that is on probation if the run may not try one.
func (s *suspects) reserveProbes(now time.Time, parts []quarantine.Key, mayTry bool) (busy quarantine.Key, reserved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range parts {
		if v := s.table.Verdict(now, k); v.ProbeOpen || v.Held || v.Probation && !mayTry {
			return k, false
		}
	}
	for _, k := range parts {
		s.table.ReserveProbe(now, k)
	}
	return quarantine.Key{}, true
}

// recordProbes records that an attempt tries the parts of its prompt that are on probation.
func (g *Gateway) recordProbes(q *request, a *attempt) {
	if !g.suspects.any.Load() {
		return
	}
	now := steady.Now()
	g.suspects.update(func(t *quarantine.Table) {
		for _, k := range q.partKeys() {
			t.RecordProbe(now, k, a.probe())
		}
	})
}

// endProbes records that an attempt showed nothing about the parts that it tried.
func (g *Gateway) endProbes(q *request, a *attempt) {
	if !g.suspects.any.Load() {
		return
	}
	g.suspects.update(func(t *quarantine.Table) {
		for _, k := range q.partKeys() {
			t.EndProbe(k, a.probe())
		}
	})
}

// recordFirstEvent records the first event of an attempt, which clears the parts of its prompt.
func (f *forwarding) recordFirstEvent(a *attempt) {
	if a.gotFirstEvent {
		return
	}
	a.firstEventAt = steady.Now()
	f.gateway.dispatcher.recordFirstEvent(f.request, a)
	if f.gateway.suspects.any.Load() {
		f.gateway.partsBegan(a.firstEventAt, a.endpoint().Incarnation(), f.request.partKeys())
	}
}

// partsBegan clears the parts of a run that began to write.
func (g *Gateway) partsBegan(now time.Time, endpoint string, parts []quarantine.Key) {
	var released []quarantine.Key
	g.suspects.update(func(t *quarantine.Table) {
		for _, k := range parts {
			if t.RecordBegin(now, endpoint, k) {
				released = append(released, k)
			}
		}
	})
	for _, k := range released {
		log.With("content", k.String()).With("endpoint", endpoint).Info("A prompt part is no longer held: a run with it began to write.")
		go g.deleteHold(k)
	}
}

// applyPartEvents applies the events of another entry's attempts to the quarantine of parts, before
// the dispatcher applies them.
func (g *Gateway) applyPartEvents(owner uint64, events []peers.Event) {
	if !g.suspects.any.Load() {
		return
	}
	sent := map[uint64]peers.Event{} // in these events, by number
	for _, e := range events {
		probe := quarantine.Probe{Owner: owner, Number: e.Number}
		at := steady.Now().Add(-time.Duration(e.AgeMS) * time.Millisecond)
		switch e.Kind {
		case peers.AttemptSent:
			if e.Request == nil {
				continue
			}
			sent[e.Number] = e
			g.suspects.update(func(t *quarantine.Table) {
				for _, k := range partKeys(e.Request.Service, e.Request.Prompt) {
					t.RecordProbe(at, k, probe)
				}
			})
		case peers.FirstEvent:
			if endpoint, request, ok := g.sentAttempt(owner, e.Number, sent); ok {
				g.partsBegan(at, endpoint, partKeys(request.Service, request.Prompt))
			}
		case peers.AttemptEnded:
			if _, request, ok := g.sentAttempt(owner, e.Number, sent); ok {
				g.suspects.update(func(t *quarantine.Table) {
					for _, k := range partKeys(request.Service, request.Prompt) {
						t.EndProbe(k, probe)
					}
				})
			}
		}
	}
}

// sentAttempt returns the endpoint and the request of another entry's open attempt, which is one of
// these sent or recorded before.
func (g *Gateway) sentAttempt(owner, number uint64, sent map[uint64]peers.Event) (endpoint string, r placement.Request, ok bool) {
	if e, found := sent[number]; found {
		return e.Endpoint, *e.Request, true
	}
	d := &g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Sent(placement.AttemptID{Owner: owner, Number: number})
}

// heldText returns why a request is refused.
func (f *forwarding) heldText(k quarantine.Key, crashes int) string {
	if k.IsPart() {
		return fmt.Sprintf("%d endpoints have crashed when a request with part %s of prompts began, content %s", crashes, f.request.partName(k), k)
	}
	return fmt.Sprintf("%d endpoints have crashed under content %s", crashes, k)
}
