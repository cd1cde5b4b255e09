package placement

import (
	"cmp"
	"slices"
	"time"
)

// EndpointState is the table's state of one endpoint, for operators. The JSON names are those
// of the state dump.
type EndpointState struct {
	ID             string  `json:"id"`
	Service        string  `json:"service"`
	DataCentre     string  `json:"data_centre"`
	Version        string  `json:"version,omitempty"` // of its software
	Leaving        bool    `json:"leaving,omitempty"`
	Evacuated      bool    `json:"evacuated,omitempty"`
	Warming        bool    `json:"warming_up,omitempty"`
	Limit          float64 `json:"limit_per_s,omitempty"` // advertised in its responses, in requests per second; 0 for none
	LimitAgeMS     int64   `json:"limit_named,omitempty"` // ms since the last response with the limit
	BackoffMS      int64   `json:"backoff_ms,omitempty"`  // ms for which this entry sends it no requests
	DrainingMS     int64   `json:"draining_ms,omitempty"` // ms since the first drain signal
	Requests       int     `json:"requests"`              // open attempts of all entries
	Replicas       int     `json:"replicas,omitempty"`    // copies that it holds for runs of other engines
	BacklogMS      float64 `json:"reading_ms"`            // ms until no prompt waits for prefill
	Slowdown       float64 `json:"factor"`                // 1 for as fast as expected
	Failures       float64 `json:"errors"`                // decayed share of recent attempts that failed
	CachedTokens   int     `json:"kept_tokens"`           // of prompt prefixes
	FetchMissShare float64 `json:"missed"`                // decayed share of fetches from it that did not deliver the cached tokens
}

// States returns the state of all endpoints, sorted by service and id.
func (t *Table) States(now time.Time) []EndpointState {
	all := make([]EndpointState, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		all = append(all, EndpointState{
			ID:             e.ID,
			Service:        e.Service,
			DataCentre:     e.DataCentre,
			Version:        e.Version,
			Leaving:        e.Leaving,
			Evacuated:      e.location.Evacuated,
			Warming:        e.warmup.Warming(now),
			Limit:          e.limit.PerSecond(),
			LimitAgeMS:     e.limitAge(now).Milliseconds(),
			BackoffMS:      e.backoff.Remaining(now).Milliseconds(),
			DrainingMS:     e.drainAge(now).Milliseconds(),
			Requests:       len(e.attempts),
			Replicas:       e.replicas.count,
			BacklogMS:      e.backlogMS(now),
			Slowdown:       e.slowdown,
			Failures:       e.failures,
			CachedTokens:   e.cache.Tokens(),
			FetchMissShare: e.missRate.Probability(),
		})
	}
	slices.SortFunc(all, func(a, b EndpointState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// limitAge returns the time since the last response with the endpoint's limit, or 0 if it has
// none.
func (e *endpoint) limitAge(now time.Time) time.Duration {
	if !e.limit.Limited() {
		return 0
	}
	return now.Sub(e.limit.AdvertisedAt())
}

// drainAge returns how long the endpoint has been draining, or 0 if it is not.
func (e *endpoint) drainAge(now time.Time) time.Duration {
	if !e.drain.Draining() {
		return 0
	}
	return max(now.Sub(e.drain.Since()), time.Millisecond)
}
