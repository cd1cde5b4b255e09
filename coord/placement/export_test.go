package placement

// Listed tells whether an endpoint is on the list.
func (t *Table) Listed(id string) bool { return t.endpoints[id] != nil }

// Shared returns the number of shared parts that are remembered.
func (t *Table) Shared() int { return len(t.sharedParts) }
