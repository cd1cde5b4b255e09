// Measures what a service has been asked to compute against what its engines can.
//
// Rule: the capacity is the sum of the prefill speeds of the engines that take requests now. An
// engine that is leaving, draining, evacuated, rate-limited, in backoff or unreachable has none.
// The demand is the prefill of the prompts sent by all entries and of those refused by all
// entries, decayed. A refused prompt counts with the prefill that it needs at an engine that
// caches its prefix.
// Inputs: the table, announced refusals, the time.
// Units: ms of prefill at a slowdown of 1; for the demand and the capacity, per ms.
// Never: decoding, or the number of requests, counts.

package placement

import (
	"math"
	"time"
)

// askedDecay is the time constant of the demand of a Load. It is above the time between the
// prompts of a small service, and well below callers' deadlines.
const askedDecay = 1500 * time.Millisecond

// Load is the demand, the capacity and the backlog of a service's engines.
type Load struct {
	Capacity  float64 // ms of prefill per ms
	Asked     float64 // ms of prefill per ms, of the last seconds
	WaitingMS float64 // prefill that waits at engines with capacity
}

// Load returns the load of a service.
func (t *Table) Load(now time.Time, service string) Load {
	s := t.service(service)
	l := Load{Asked: s.asked.perMS(now)}
	for _, e := range s.endpoints {
		if !e.makesRoom(now) {
			continue
		}
		e.backlog.advance(now, e.slowdown)
		l.Capacity += 1 / e.slowdown
		l.WaitingMS += e.backlog.totalUpTo(numPriorities - 1)
	}
	return l
}

// makesRoom reports whether an engine takes any request that is not bound to a region.
func (e *endpoint) makesRoom(now time.Time) bool {
	available := !e.draining() && !e.location.Evacuated && !now.Before(e.unreachableUntil)
	return e.Engine && available && !e.limit.Limited() && !e.backoff.Active(now)
}

// RecordRefused adds a prompt that this or another entry refused to the demand.
func (t *Table) RecordRefused(now time.Time, r Request) {
	t.service(r.Service).asked.add(now, t.LeastPrefillMS(r))
}

// LeastPrefillMS returns the prefill of a prompt at an engine that caches its prefix.
func (t *Table) LeastPrefillMS(r Request) float64 {
	_, perTokenMS := t.service(r.Service).prefill.coefficients()
	tokens := r.Prompt.Tokens
	if engines := t.cachingEngines(r.Prompt); len(engines) > 0 {
		tokens = engines[0].cache.Uncached(r.Prompt)
	}
	return float64(tokens) * perTokenMS
}

// streamMS returns the ms that a stream takes beside prefill, from its first event to its last, at
// a slowdown of 1.
func (s *service) streamMS(tokens int) float64 {
	eventTokens := max(s.EventTokens, 1)
	intervalMS := defaultDecodeStepMS * float64(eventTokens)
	for _, i := range []*intervalStats{&s.intervalsWithoutPrefill, &s.intervalsWithPrefill} {
		if mean, known := i.mean(); known {
			intervalMS = max(intervalMS, mean)
		}
	}
	return intervalMS * float64(tokens) / float64(eventTokens)
}

// askedPrefill is prefill time that was asked for, decayed. The zero value is none.
type askedPrefill struct {
	decayedMS float64
	updatedAt time.Time
}

// add adds the prefill of a prompt. Times announced by other entries may lie slightly in the past.
func (a *askedPrefill) add(now time.Time, prefillMS float64) {
	if now.After(a.updatedAt) {
		a.decayedMS = a.perMS(now) * milliseconds(askedDecay)
		a.updatedAt = now
	}
	a.decayedMS += prefillMS
}

// perMS returns the prefill asked for per ms.
func (a *askedPrefill) perMS(now time.Time) float64 {
	passed := max(now.Sub(a.updatedAt), 0)
	return a.decayedMS * math.Exp(-float64(passed)/float64(askedDecay)) / milliseconds(askedDecay)
}
