// Where a prompt prefix goes that no endpoint is known to cache.
//
// Rule: each shared prefix has a home, the endpoint that comes first by rendezvous
// hashing among those for prompts of its length (the pool, or the rest). Sending the
// prompt elsewhere costs homeShare of computing the prefix again (cost.go). So
// entries that have heard nothing of each other, as after a restart of all, still
// send one prefix to one endpoint.
// Inputs: the prompt's shared parts, the endpoints, the pool's size.
// Never: a home is no more than a preference; an endpoint that leaves, or that may not take
// the request, is no home.

package placement

import (
	"math"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/rendezvous"
)

// home returns the home of a prompt's shared parts, nil if it shares nothing.
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
