// Selects the endpoints considered for a request.
//
// Rule: all endpoints of a service with at most maxScanned of them. Of a larger service, the
// engines known to cache the prompt's last shared part, its home, and random samples of three
// groups: the side of the pool that fits the prompt, the endpoints of that side in the own data
// centre, and the other side. If all of these are unreachable, draining or unavailable, all
// endpoints are considered. For a request that resumes a stream, a sample of the endpoints that run
// the version that began it.
// Inputs: the table, the request, a source of randomness.
// Units: endpoints.
// Never: the number of candidates grows with the service. This bounds the time of a choice. It
// also prevents entries, which receive each other's attempts some 10 ms late, from all choosing
// the same endpoint (TestEntriesWithDelayedEventsSpreadRequests).

package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"foxcross.dev/coord/memory"
)

const (
	// maxScanned is the size of the largest service of which all endpoints are considered. A
	// larger service is reduced to about as many candidates.
	maxScanned = 48
	// preferredSample, localSample and otherSample are the numbers of endpoints drawn from the
	// side of the pool that fits the prompt, from that side in the own data centre, and from
	// the other side.
	preferredSample = 6
	localSample     = 3
	otherSample     = 3
	// resumingSample is the number of endpoints drawn for a request that resumes a stream, from
	// those of its version. They may be few, or all.
	resumingSample = 24
	// maxCachingEngines bounds the engines recorded per shared part. Parts in use are cached by
	// few engines.
	maxCachingEngines = 6
)

// candidate is an endpoint considered for a request.
type candidate struct {
	*endpoint
	inPool bool
}

// candidates returns the endpoints to consider.
func (q *query) candidates(random *rand.Rand) []candidate {
	s := q.service
	if len(s.endpoints) <= maxScanned {
		return q.allCandidates()
	}
	if q.request.Resumes {
		return q.resumingCandidates(random)
	}
	var found []candidate
	add := func(e *endpoint) {
		if !slices.ContainsFunc(found, func(c candidate) bool { return c.endpoint == e }) {
			found = append(found, candidate{e, e.rank < q.poolSize})
		}
	}
	for _, e := range q.cachingEngines {
		add(e)
	}
	if q.home != nil {
		add(q.home)
	}
	inPool, outside := s.endpoints[:q.poolSize], s.endpoints[q.poolSize:]
	preferred, other := outside, inPool
	if q.long {
		preferred, other = inPool, outside
	}
	sample(random, preferred, preferredSample, add)
	sample(random, other, otherSample, add)
	local := s.local[q.localPoolSize():]
	if q.long {
		local = s.local[:q.localPoolSize()]
	}
	sample(random, local, localSample, add)
	return found
}

// resumingCandidates returns a sample of the endpoints at which the request's stream may be resumed.
func (q *query) resumingCandidates(random *rand.Rand) []candidate {
	var found []candidate
	for _, e := range q.service.endpoints {
		if q.request.accepts(e.Version) {
			found = append(found, candidate{e, e.rank < q.poolSize})
		}
	}
	random.Shuffle(len(found), func(a, b int) { found[a], found[b] = found[b], found[a] })
	return found[:min(len(found), resumingSample)]
}

// allCandidates returns all endpoints of the service.
func (q *query) allCandidates() []candidate {
	found := make([]candidate, 0, len(q.service.endpoints))
	for n, e := range q.service.endpoints {
		found = append(found, candidate{e, n < q.poolSize})
	}
	return found
}

// localPoolSize returns the number of pool endpoints in the own data centre.
func (q *query) localPoolSize() int {
	n, _ := slices.BinarySearchFunc(q.service.local, q.poolSize, func(e *endpoint, size int) int { return e.rank - size })
	return n
}

// sample adds count endpoints at random. The same endpoint may be drawn twice.
func sample(random *rand.Rand, endpoints []*endpoint, count int, add func(*endpoint)) {
	if len(endpoints) <= count {
		for _, e := range endpoints {
			add(e)
		}
		return
	}
	for range count {
		add(endpoints[random.IntN(len(endpoints))])
	}
}

// partUse holds the time of a shared part's last use and the engines that used it, the most
// recent one first.
type partUse struct {
	lastUsed time.Time
	engines  [maxCachingEngines]*endpoint
}

// addEngine records that an engine caches the part.
func (u *partUse) addEngine(e *endpoint) {
	n := slices.Index(u.engines[:], e)
	if n < 0 {
		n = maxCachingEngines - 1
	}
	copy(u.engines[1:n+1], u.engines[:n])
	u.engines[0] = e
}

// cachingEngines returns the engines known to cache the prompt's last shared part that any
// engine caches.
func (t *Table) cachingEngines(p memory.Prompt) []*endpoint {
	shared := p.Shared()
	for n := len(shared) - 1; n >= 0; n-- {
		u := t.sharedParts[shared[n].ID]
		if u == nil {
			continue
		}
		var found []*endpoint
		for _, e := range u.engines {
			if e != nil && t.endpoints[e.Incarnation()] == e && e.cache.Has(shared[n].ID) {
				found = append(found, e)
			}
		}
		if len(found) > 0 {
			return found
		}
	}
	return nil
}
