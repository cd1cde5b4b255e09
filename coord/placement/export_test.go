package placement

// Listed reports whether an endpoint is listed.
func (t *Table) Listed(id string) bool { return t.endpoints[id] != nil }

// Shared returns the number of shared parts whose use is recorded.
func (t *Table) Shared() int { return len(t.sharedParts) }
