package placement

import (
	"cmp"
	"slices"
	"time"
)

// EndpointState is what is believed of one endpoint, for operators. The JSON names
// are those of the state dump.
type EndpointState struct {
	ID           string  `json:"id"`
	Service      string  `json:"service"`
	DataCentre   string  `json:"data_centre"`
	Leaving      bool    `json:"leaving,omitempty"`
	Evacuated    bool    `json:"evacuated,omitempty"`
	Warming      bool    `json:"warming_up,omitempty"`
	Limit        float64 `json:"limit_per_s,omitempty"` // that its answers name, in requests a second
	LimitNamedMS int64   `json:"limit_named,omitempty"` // since the last one did
	BackoffMS    int64   `json:"backoff_ms,omitempty"`  // that this entry sends it nothing
	DrainingMS   int64   `json:"draining_ms,omitempty"` // since the first sign that it drains
	Requests     int     `json:"requests"`              // open attempts of all entries
	BacklogMS    float64 `json:"reading_ms"`            // until no prompt waits for prefill
	Slowdown     float64 `json:"factor"`                // 1 for as fast as expected
	Failures     float64 `json:"errors"`                // decayed share of recent attempts that failed
	CachedTokens int     `json:"kept_tokens"`           // of prompt prefixes
	MissedMoves  float64 `json:"missed"`                // decayed share of fetches from it that did not bring them
}

// States returns what is believed of all endpoints, by service and id.
func (t *Table) States(now time.Time) []EndpointState {
	all := make([]EndpointState, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		all = append(all, EndpointState{
			ID:           e.ID,
			Service:      e.Service,
			DataCentre:   e.DataCentre,
			Leaving:      e.Leaving,
			Evacuated:    e.location.Evacuated,
			Warming:      e.warmup.Warming(now),
			Limit:        e.limit.PerSecond(),
			LimitNamedMS: e.limitAge(now).Milliseconds(),
			BackoffMS:    e.backoff.Left(now).Milliseconds(),
			DrainingMS:   e.drainAge(now).Milliseconds(),
			Requests:     len(e.attempts),
			BacklogMS:    e.backlogMS(now),
			Slowdown:     e.slowdown,
			Failures:     e.failures,
			CachedTokens: e.cache.Tokens(),
			MissedMoves:  e.trust.Missing(),
		})
	}
	slices.SortFunc(all, func(a, b EndpointState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// limitAge returns since when no answer has named the endpoint's limit, 0 for no limit.
func (e *endpoint) limitAge(now time.Time) time.Duration {
	if !e.limit.Limited() {
		return 0
	}
	return now.Sub(e.limit.AdvertisedAt())
}

// drainAge returns since when the endpoint drains, 0 for not.
func (e *endpoint) drainAge(now time.Time) time.Duration {
	if !e.drain.Draining() {
		return 0
	}
	return max(now.Sub(e.drain.Since()), time.Millisecond)
}
