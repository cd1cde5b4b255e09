// Selects the engines from which a prompt's parts can be fetched.
//
// Rule: of each version of the software, the maxSources engines of the service that are estimated
// to cache the most of the prompt; in a large service, among those that used its last shared part
// recently. An engine that is draining, failing, unreachable, overdue or slow is no source, nor is one that is
// evacuated or outside the request's regions.
// Inputs: the cached parts of each engine and its health.
// Never: an engine of another service is a source, nor one whose service transfers no memory.

package placement

import (
	"cmp"
	"slices"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
)

const (
	// maxSources bounds the sources of one version that are considered for a request. Each one adds
	// time to the estimate of every endpoint.
	maxSources = 4
	// maxSourceFailures is the largest decayed share of failures of a source. One failure among
	// successes counts 0.2.
	maxSourceFailures = 0.3
	// maxSourceSlowdown is the largest slowdown of a source.
	maxSourceSlowdown = 2.5
)

// findSources returns the sources of the request's prompt, those that cache most first.
func (q *query) findSources() []memory.Source {
	prompt := q.request.Prompt
	if !q.service.TransferRate.Offered() || len(prompt.Parts) == 0 {
		return nil
	}
	var found []memory.Source
	engines := q.service.endpoints
	if len(engines) > maxScanned {
		engines = q.cachingEngines
	}
	for _, e := range engines {
		cachedTokens := e.cache.Fetchable(prompt)
		if cachedTokens == 0 || !q.canBeSource(e) {
			continue
		}
		found = append(found, memory.Source{
			ID: e.Incarnation(), Address: e.Address, Version: e.Version, DataCentre: e.DataCentre, CachedTokens: cachedTokens, Link: &e.link, MissRate: &e.missRate,
		})
	}
	slices.SortStableFunc(found, func(a, b memory.Source) int { return cmp.Compare(b.CachedTokens, a.CachedTokens) })
	return firstOfEachVersion(found)
}

// firstOfEachVersion returns the first maxSources sources of each version.
func firstOfEachVersion(all []memory.Source) []memory.Source {
	counts := map[string]int{}
	return slices.DeleteFunc(all, func(s memory.Source) bool {
		counts[s.Version]++
		return counts[s.Version] > maxSources
	})
}

// canBeSource reports whether parts may be fetched from an engine.
func (q *query) canBeSource(e *endpoint) bool {
	return e.Engine && !e.draining() && eligibility.Check(q.request.Regions, e.location) == eligibility.Eligible && e.holdsMemory(q.now) &&
		e.slowdown <= maxSourceSlowdown && e.overdueMS(q.now) == 0
}

// estimateFetch returns the expected fetch of an engine that caches the first cachedTokens
// tokens of the prompt.
func (q *query) estimateFetch(e *endpoint, cachedTokens int, perTokenMS float64) memory.Fetch {
	if len(q.sources) == 0 || !e.Engine {
		return memory.Fetch{}
	}
	to := memory.Target{ID: e.Incarnation(), Version: e.Version, DataCentre: e.DataCentre, CachedTokens: cachedTokens, Link: &e.link, ComputeMS: perTokenMS * e.slowdown}
	return memory.Best(q.now, q.service.TransferRate, q.sources, to)
}
