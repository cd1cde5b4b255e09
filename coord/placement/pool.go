// Sizes the pool of endpoints for the long prompts of a service.
//
// Rule: long prompts get the endpoints that the prefill of short prompts doesn't need. If there
// are enough endpoints for both, long prompts get a share of all endpoints in proportion to
// their demand. The pool has at least one endpoint and never all of them. It consists of the
// first endpoints in an order common to all entries. The pool is a preference: placing a prompt
// on the wrong side costs poolWeight (cost.go).
// Inputs: the prefill time demanded by the requests of all entries, decayed. Each entry
// receives the events of all attempts, so their pools have about the same size.
// Unit: milliseconds of prefill per millisecond, endpoints.
// Never: the name of a class counts; a prompt is long by its prefill time.

package placement

import (
	"math"
	"time"
)

const (
	// demandDecay is the time constant of the demand.
	demandDecay = 6 * time.Second
	// poolHysteresis is the difference between the wanted and the current size, in endpoints,
	// beyond which the pool changes. It is below one, so that the size follows the demand.
	poolHysteresis = 0.8
	// maxShortLoad is the share of its time that an endpoint may spend on the prefill of short
	// prompts beside its streams.
	maxShortLoad = 0.4
	// maxLongLoad is the share of its time that an endpoint of the pool may spend on prefill.
	maxLongLoad = 0.8
	// longPrefillShare is the share of the service's strictest inter-event target from which a
	// prefill counts as long.
	longPrefillShare = 0.5
)

// pool is the number of endpoints for long prompts and the demand behind it. The zero value has
// no demand.
type pool struct {
	longMS    float64 // prefill time of long prompts, decayed
	shortMS   float64 // prefill time of all other prompts, decayed
	updatedAt time.Time
	size      int
}

// add adds the prefill time of a prompt to the demand.
func (p *pool) add(now time.Time, prefillMS float64, long bool) {
	if !p.updatedAt.IsZero() {
		decay := math.Exp(-float64(now.Sub(p.updatedAt)) / float64(demandDecay))
		p.longMS *= decay
		p.shortMS *= decay
	}
	p.updatedAt = now
	if long {
		p.longMS += prefillMS
	} else {
		p.shortMS += prefillMS
	}
}

// resize returns the number of endpoints in the pool.
func (p *pool) resize(endpoints int) int {
	if p.longMS <= 0 || endpoints < 2 {
		p.size = 0
		return 0
	}
	decay := milliseconds(demandDecay)
	short := p.shortMS / decay / maxShortLoad
	long := p.longMS / decay / maxLongLoad
	wanted := float64(endpoints) - short
	if total := short + long; total < float64(endpoints) {
		wanted = float64(endpoints) * long / total
	}
	if math.Abs(wanted-float64(p.size)) > poolHysteresis || p.size == 0 {
		p.size = int(math.Round(wanted))
	}
	p.size = min(max(p.size, 1), endpoints-1)
	return p.size
}

// isLong reports whether a prefill takes so long that a stream beside it would miss the
// service's strictest inter-event target.
func (s *service) isLong(prefillMS float64) bool {
	return s.InterEventTarget > 0 && prefillMS > longPrefillShare*milliseconds(s.InterEventTarget)
}
