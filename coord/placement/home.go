// Selects the home of a prompt prefix that no endpoint is known to cache.
//
// Rule: the home of a shared prefix is the endpoint that ranks first by rendezvous hashing
// among the endpoints for prompts of its length (the pool, or the rest). At another endpoint,
// computing the prefix costs an additional nonHomeShare of recomputeWeight (cost.go). Entries
// that have exchanged no events, as after a restart of all, therefore still send a prefix to
// the same endpoint.
// Inputs: the prompt's shared parts, the endpoints, the pool's size.
// Never: the home is more than a preference; an endpoint that is leaving, or that may not take
// the request, is a home.

package placement

import (
	"math"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/rendezvous"
)

// home returns the home of a prompt's shared parts, or nil if it has none.
func (t *Table) home(s *service, r Request, long bool, poolSize int) *endpoint {
	shared := r.Prompt.Shared()
	if len(shared) == 0 {
		return nil
	}
	prefix := shared[len(shared)-1].ID
	var home *endpoint
	lowest := uint64(math.MaxUint64)
	for n, e := range s.endpoints {
		inPool := n < poolSize
		if e.draining() || eligibility.Check(r.Regions, e.location) != eligibility.Eligible || poolSize > 0 && inPool != long {
			continue
		}
		if rank := rendezvous.Rank(prefix, e.hash); rank < lowest {
			home, lowest = e, rank
		}
	}
	return home
}
