// Which endpoint takes a request.
//
// Rule: of the endpoints of the request's service that are looked at (candidates.go) and
// may be tried, the one with the lowest cost; among equal costs one at random. An endpoint
// may not be tried
// while it is leaving, when the caller of Choose excludes it (it was tried before),
// when it has as many open requests as the service allows it, or when it is not
// eligible for the request (eligible.go). An endpoint that could not be reached lately, or that
// says in its responses that it drains, may be tried: its cost is so high that all others go
// first.
// Inputs: the table, the request, the time, a source of randomness.
// Never: it does not change the table but for the pool's size; it does not refuse
// (see admit.go).

package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
)

// Choice is the endpoint chosen for a request, with the estimates behind it.
type Choice struct {
	Endpoint      Endpoint
	Cost          float64 // sum of Terms
	Terms         Terms
	WaitMS        float64 // expected until the prefill of the prompt starts
	FirstMS       float64 // expected until the first event
	Fetch         memory.Fetch
	PrefillTokens int     // prompt tokens that the endpoint neither caches nor fetches
	RereadTokens  int     // of those, tokens of prefixes that other endpoints have computed lately
	Long          bool    // the prefill takes long, see isLong
	PoolSize      int     // endpoints that long prompts are kept to
	HarmsStreams  bool    // streams of the service miss their targets beside prefill
	Overrun       float64 // lately of observed over expected times to a first event, at least 1
	BusyShare     float64 // of the service's slots, 0 to 1
	Slowdown      float64 // of the endpoint, 1 for as fast as expected
}

// query is a request that looks for an endpoint, with what the candidates share.
type query struct {
	table    *Table
	service  *service
	request  Request
	now      time.Time
	poolSize int
	long     bool            // the whole prompt takes long to prefill
	keepers  []*endpoint     // of the prompt's last shared part that is kept anywhere
	home     *endpoint       // nil if the prompt shares nothing
	sources  []memory.Source // of the prompt's parts
}

func (t *Table) newQuery(now time.Time, r Request) query {
	service := t.service(r.Service)
	size := service.pool.resize(len(service.endpoints))
	_, perTokenMS := service.prefill.line()
	long := service.isLong(float64(r.Prompt.Tokens) * perTokenMS)
	q := query{
		table:    t,
		service:  service,
		request:  r,
		now:      now,
		poolSize: size,
		long:     long,
		keepers:  t.keepersOf(r.Prompt),
		home:     t.home(service, r, long, size),
	}
	if !r.NoFetch {
		q.sources = q.findSources()
	}
	return q
}

// Choose returns the endpoint of lowest cost that may be tried; false if there is
// none.
func (t *Table) Choose(now time.Time, r Request, exclude func(id string) bool, random *rand.Rand) (Choice, bool) {
	q := t.newQuery(now, r)
	best, found := q.cheapest(q.candidates(random), exclude, random)
	if !found || best.Cost >= unreachableCost {
		best, found = q.cheapest(q.all(), exclude, random)
	}
	best.PoolSize = q.poolSize
	best.HarmsStreams = q.service.prefillHarms()
	best.Overrun = q.service.overruns.factor(r.Priority)
	best.BusyShare = q.service.busyShare(now)
	return best, found
}

// cheapest returns the candidate of lowest cost that may be tried; false if there is none.
func (q *query) cheapest(all []candidate, exclude func(id string) bool, random *rand.Rand) (Choice, bool) {
	best := Choice{Cost: math.Inf(1)}
	found := false
	ties := 0
	for _, e := range all {
		if !q.mayTry(e.endpoint) || exclude(e.ID) || !q.shown(e.endpoint, random) {
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

// mayTry tells whether an endpoint takes the request.
func (q *query) mayTry(e *endpoint) bool {
	most := q.service.MaxRequests
	full := most > 0 && len(e.attempts) >= most
	return !e.Leaving && !full && q.eligibility(e) == eligibility.Eligible
}

// busyShare returns the share of the service's slots that are in use, 0 if the
// number of slots is unknown.
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
