// Selects the endpoint for a request.
//
// Rule: among the candidates of the request's service (candidates.go) that are available, the
// one with the lowest cost; ties are broken at random. An endpoint is unavailable while it is
// leaving, when the caller of Choose excludes it because it was already tried, when it has as
// many open requests as the service allows, when it runs another version of its software than the
// one that began the stream that the request resumes, or when it is not eligible for the request
// (eligible.go). If no endpoint may resume a stream, one that has been leaving for less than
// leavingGraceShare of the grace period may, since no other has its version. An endpoint that was
// unreachable recently, or whose responses say that it is draining, remains available at a cost so high
// that all others are preferred.
// Inputs: the table, the request, the time, a source of randomness.
// Never: it changes nothing in the table except the size of the pool; it rejects no request
// (see package admission).

package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
)

// leavingGraceShare is the share of the grace period for draining in which a stream may be resumed at
// an endpoint that is leaving according to its record. The record is older than this entry's copy.
const leavingGraceShare = 1.0 / 3

// Choice is the endpoint chosen for a request, with the estimates behind it.
type Choice struct {
	Endpoint          Endpoint
	Cost              float64 // sum of Terms
	Terms             Terms
	WaitMS            float64 // expected time until the prefill of the prompt starts
	FirstMS           float64 // expected time until the first event
	StreamMS          float64 // expected time from the first event to the last, of a stream beside prefill
	Fetch             memory.Fetch
	PrefillTokens     int     // prompt tokens that the endpoint neither caches nor fetches
	RecomputedTokens  int     // those of PrefillTokens in prefixes that other endpoints computed recently
	Long              bool    // the prefill is long, see isLong
	PoolSize          int     // endpoints in the pool for long prompts
	PrefillInterferes bool    // streams of the service miss their inter-event targets during prefill
	Overrun           float64 // recent ratio of observed to expected times to a first event, at least 1
	BusyShare         float64 // share of the service's slots in use, 0 to 1
	Slowdown          float64 // of the endpoint, 1 for as fast as expected
	PauseChance       float64 // that the stream pauses for longer than its inter-event target; 0 where engine speeds are not learned
}

// query is a request to be placed, with the values shared by all candidates.
type query struct {
	table          *Table
	service        *service
	request        Request
	now            time.Time
	poolSize       int
	long           bool            // the prefill of the whole prompt is long
	cachingEngines []*endpoint     // cache the prompt's last shared part that any engine caches
	home           *endpoint       // nil if the prompt has no shared part
	sources        []memory.Source // of the prompt's parts
	leavingToo     bool            // endpoints whose record says that they leave may take it
	spread         [spreadBuckets]float64
	calibration    float64
}

func (t *Table) newQuery(now time.Time, r Request) query {
	service := t.service(r.Service)
	size := service.pool.resize(len(service.endpoints))
	_, perTokenMS := service.prefill.coefficients()
	long := service.isLong(float64(r.Prompt.Tokens) * perTokenMS)
	q := query{
		table:          t,
		service:        service,
		request:        r,
		now:            now,
		poolSize:       size,
		long:           long,
		cachingEngines: t.cachingEngines(r.Prompt),
		home:           t.home(service, r, long, size),
	}
	if service.EngineSpeeds {
		q.spread = service.steps.spread.shares()
		q.calibration = service.steps.calibration.factor()
	}
	if !r.NoFetch {
		q.sources = q.findSources()
	}
	return q
}

// Choose returns the available endpoint with the lowest cost. It returns false if there is
// none.
func (t *Table) Choose(now time.Time, r Request, exclude func(id string) bool, random *rand.Rand) (Choice, bool) {
	q := t.newQuery(now, r)
	best, found := q.lowestCost(q.candidates(random), exclude, random)
	if !found || best.Cost >= unreachableCost {
		best, found = q.lowestCost(q.allCandidates(), exclude, random)
	}
	if !found && r.Resumes {
		q.leavingToo = true
		best, found = q.lowestCost(q.allCandidates(), exclude, random)
	}
	best.PoolSize = q.poolSize
	best.PrefillInterferes = q.service.prefillInterferes()
	best.Overrun = q.service.overruns.factor(r.Priority)
	best.BusyShare = q.service.busyShare(now)
	best.StreamMS = q.service.streamMS(r.Prompt.ExpectedOutput()) * best.Slowdown
	return best, found
}

// lowestCost returns the available candidate with the lowest cost. It returns false if there is
// none.
func (q *query) lowestCost(all []candidate, exclude func(id string) bool, random *rand.Rand) (Choice, bool) {
	best := Choice{Cost: math.Inf(1)}
	found := false
	ties := 0
	for _, e := range all {
		if !q.available(e.endpoint) || exclude(e.ID) || !q.passesRateSampling(e.endpoint, random) {
			continue
		}
		c := q.estimate(e.endpoint, e.inPool)
		switch {
		case c.Cost > best.Cost:
			continue
		case c.Cost < best.Cost:
			ties = 0
		default:
			ties++
			if random.IntN(ties+1) > 0 {
				continue
			}
		}
		best = c
		found = true
	}
	return best, found
}

// available reports whether the request may be sent to an endpoint.
func (q *query) available(e *endpoint) bool {
	most := q.service.MaxRequests
	full := most > 0 && len(e.attempts) >= most
	leaves := e.Leaving && !q.mayResumeAtLeaving(e)
	return !leaves && !full && q.request.accepts(e.Version) && q.eligibility(e) == eligibility.Eligible
}

// mayResumeAtLeaving reports whether a stream may be resumed at an endpoint that is leaving according
// to its record.
func (q *query) mayResumeAtLeaving(e *endpoint) bool {
	grace := time.Duration(leavingGraceShare * float64(q.table.DrainGrace))
	return q.leavingToo && e.drain.Allows(q.now, grace)
}

// busyShare returns the share of the service's slots that are in use, or 0 if the number of
// slots is unknown. Endpoints that are draining, evacuated, rate-limited or in backoff don't
// count.
func (s *service) busyShare(now time.Time) float64 {
	busy, slots := 0, 0
	for _, e := range s.endpoints {
		if e.draining() || e.location.Evacuated || e.limit.Limited() || e.backoff.Active(now) {
			continue
		}
		busy += min(len(e.attempts), e.Slots)
		slots += e.Slots
	}
	if slots == 0 {
		return 0
	}
	return float64(busy) / float64(slots)
}
