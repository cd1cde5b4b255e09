package placement

import (
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
)

const (
	// maxPrefills bounds the recent prefills kept per endpoint.
	maxPrefills = 64
	// prefillWindow is the window over which longPrefillRate counts prefills.
	prefillWindow = 4 * time.Second
)

// endpoint is the table's state of one endpoint.
type endpoint struct {
	Endpoint
	health
	hash        uint64 // for rendezvous ranks, the same at all entries
	rank        int    // among the endpoints of its service, from 0
	attempts    map[AttemptID]*attempt
	cache       memory.Cache
	prefills    []prefill // the most recent ones sent here, oldest first
	slowdown    float64   // observed over expected time to a first event, 1 for as expected; set by setSlowdown
	logSlowdown float64   // natural logarithm of slowdown
	lastEvent   time.Time // of any attempt of this entry
	openTokens  int       // of the open attempts, prompts and outputs
	backlog     backlog
	lastSent    time.Time // when the last prompt was sent here
	link        memory.Link
	missRate    memory.MissRate // as a source of fetches
	location    eligibility.Location
	warmup      eligibility.Warmup
	replicas    replicas // of runs of other engines
	signals
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	request       Request
	own           bool // sent by this entry
	sentAt        time.Time
	fetch         memory.Fetch
	replica       string    // incarnation of the engine that holds its copy, empty for none
	addedParts    []uint64  // parts of the prompt that the endpoint did not cache
	prefillTokens int       // prompt tokens that were neither cached nor fetched
	expectedMS    float64   // until the first event, as estimated when it was sent
	idleEngine    bool      // no prompt waited at the endpoint when it was sent
	firstAt       time.Time // of the first event, zero before it
	lastAt        time.Time // of the last event
	backlogMS     float64   // of the endpoint at the last event
}

// waiting reports whether the attempt has had no event.
func (a *attempt) waiting() bool { return a.firstAt.IsZero() }

// prefill is the expected prefill of a prompt sent to an endpoint.
type prefill struct {
	sentAt     time.Time
	durationMS float64
}

// longPrefillRate returns the number of prompts per second whose prefill takes longer than ms.
func (e *endpoint) longPrefillRate(now time.Time, ms float64) float64 {
	n := 0
	for _, p := range e.prefills {
		if now.Sub(p.sentAt) < prefillWindow && p.durationMS > ms {
			n++
		}
	}
	return float64(n) / prefillWindow.Seconds()
}

func (e *endpoint) recordPrefill(now time.Time, ms float64) {
	if len(e.prefills) == maxPrefills {
		e.prefills = append(e.prefills[:0], e.prefills[1:]...)
	}
	e.prefills = append(e.prefills, prefill{sentAt: now, durationMS: ms})
}

// ownStreams returns the number of attempts of this entry that have had an event.
func (e *endpoint) ownStreams() int {
	n := 0
	for _, a := range e.attempts {
		if a.own && !a.waiting() {
			n++
		}
	}
	return n
}

// draining reports whether the endpoint has signalled that it is draining, in its record or in
// a response.
func (e *endpoint) draining() bool { return e.Leaving || e.drain.Draining() }

// openAfterBackoff returns the number of open attempts of this entry sent since the endpoint's
// backoff ended.
func (e *endpoint) openAfterBackoff() int {
	n := 0
	for _, a := range e.attempts {
		if a.own && e.backoff.SentAfterEnd(a.sentAt) {
			n++
		}
	}
	return n
}

// backoffAllows reports whether the backoff allows one more request of this entry.
func (e *endpoint) backoffAllows(now time.Time) bool {
	open := 0
	if e.backoff.InSlowStart(now) {
		open = e.openAfterBackoff()
	}
	return e.backoff.Allows(now, open)
}
