// Which engines are sources of a prompt's parts.
//
// Rule: the maxSources engines of the service that are believed to keep the most of the
// prompt, of a large service among those that used its last shared part lately. One that
// is leaving, failing, backed off from, overdue or slow is none, nor one that is evacuated or
// outside the request's regions.
// Inputs: what each engine keeps and its health.
// Never: an engine of another service, nor one whose service moves no memory.

package placement

import (
	"cmp"
	"slices"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
)

const (
	// maxSources bounds the sources that a request looks at. More cost time at each endpoint.
	maxSources = 4
	// maxSourceFailures is the decayed share of failures up to which an engine is a source.
	// One failure among successes counts 0.2.
	maxSourceFailures = 0.3
	// maxSourceSlowdown is the slowdown up to which an engine is a source.
	maxSourceSlowdown = 2.5
)

// findSources returns the sources of the request's prompt, those that keep most first.
func (q *query) findSources() []memory.Source {
	prompt := q.request.Prompt
	if !q.service.MoveRate.Offered() || len(prompt.Parts) == 0 {
		return nil
	}
	var found []memory.Source
	engines := q.service.endpoints
	if len(engines) > maxScanned {
		engines = q.keepers
	}
	for _, e := range engines {
		kept := e.cache.Fetchable(prompt)
		if kept == 0 || !q.maySend(e) {
			continue
		}
		found = append(found, memory.Source{
			ID: e.Incarnation(), Address: e.Address, DataCentre: e.DataCentre, Kept: kept, Link: &e.link, Trust: &e.trust,
		})
	}
	slices.SortStableFunc(found, func(a, b memory.Source) int { return cmp.Compare(b.Kept, a.Kept) })
	return found[:min(len(found), maxSources)]
}

// maySend tells whether an engine is fit to be fetched from.
func (q *query) maySend(e *endpoint) bool {
	return e.Engine && !e.draining() && eligibility.Check(q.request.Regions, e.location) == eligibility.Eligible && e.failures <= maxSourceFailures && !q.now.Before(e.redialAt) &&
		e.slowdown <= maxSourceSlowdown && e.overdueMS(q.now) == 0
}

// fetch returns what an engine would fetch that keeps the first tokens of the prompt.
func (q *query) fetch(e *endpoint, kept int, perTokenMS float64) memory.Fetch {
	if len(q.sources) == 0 || !e.Engine {
		return memory.Fetch{}
	}
	to := memory.Target{ID: e.Incarnation(), DataCentre: e.DataCentre, Kept: kept, Link: &e.link, ComputeMS: perTokenMS * e.slowdown}
	return memory.Best(q.now, q.service.MoveRate, q.sources, to)
}
