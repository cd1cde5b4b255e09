package eligibility

import "slices"

// Regions restricts the regions in which a request may be served. The zero value allows all.
// Regions is immutable.
type Regions struct {
	limits [][]string // a region has to be in each list
}

// Intersect returns the regions restricted further to a list. An empty list adds no restriction.
func (r Regions) Intersect(allowed []string) Regions {
	if len(allowed) == 0 {
		return r
	}
	return Regions{limits: append(slices.Clip(r.limits), allowed)}
}

// Allows reports whether a request may be served in a region. An unknown region is allowed only
// if there is no restriction.
func (r Regions) Allows(region string) bool {
	for _, limit := range r.limits {
		if !slices.Contains(limit, region) {
			return false
		}
	}
	return true
}
