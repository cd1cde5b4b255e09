package placement

import (
	"cmp"
	"slices"
	"time"
)

// EndpointState is what is believed of one endpoint, for operators.
type EndpointState struct {
	ID         string  `json:"id"`
	Service    string  `json:"service"`
	DataCentre string  `json:"data_centre"`
	Leaving    bool    `json:"leaving,omitempty"`
	Requests   int     `json:"requests"`
	ReadingMS  float64 `json:"reading_ms"` // until no prompt waits
	Factor     float64 `json:"factor"`     // slowness, 1 for as expected
	Errors     float64 `json:"errors"`     // share of recent requests that failed
	Kept       int     `json:"kept_tokens"`
}

// States returns what is believed of all endpoints, by service and id.
func (t *Table) States(now time.Time) []EndpointState {
	all := make([]EndpointState, 0, len(t.endpoints))
	for _, s := range t.endpoints {
		all = append(all, EndpointState{
			ID:         s.ID,
			Service:    s.Service,
			DataCentre: s.DataCentre,
			Leaving:    s.Leaving,
			Requests:   len(s.jobs),
			ReadingMS:  s.reading(now),
			Factor:     s.factor,
			Errors:     s.errors,
			Kept:       s.cache.tokens,
		})
	}
	slices.SortFunc(all, func(a, b EndpointState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return all
}
