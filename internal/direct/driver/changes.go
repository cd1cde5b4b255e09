package driver

import (
	"encoding/json"
	"maps"
	"slices"
)

// Changes are the fields in which the newer settings of a process differ, with
// what they were and are, for the log. Only bounds come into force while the
// process runs; the rest does at its next start.
func (p Process) Changes(newer Process) []Difference {
	before, after := p.fields(), newer.fields()
	var all []Difference
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if before[name] != after[name] {
			_, bound := newer.Bounds.fields()[name]
			all = append(all, Difference{Field: name, Before: before[name], After: after[name], InForce: bound})
		}
	}
	return all
}

// Difference is one changed field.
type Difference struct {
	Field   string `json:"field"`
	Before  string `json:"before"`
	After   string `json:"after"`
	InForce bool   `json:"in_force"` // already, without a restart
}

// fields returns all settings in text form by name.
func (p Process) fields() map[string]string {
	all := textsOf(p)
	delete(all, "Bounds")
	maps.Copy(all, p.Bounds.fields())
	return all
}

func (b Bounds) fields() map[string]string { return textsOf(b) }

// textsOf returns the fields of a struct of plain values in text form.
func textsOf(v any) map[string]string {
	data, err := json.Marshal(v)
	if err != nil {
		return nil // there is nothing in it that can't be written
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil
	}
	texts := make(map[string]string, len(raw))
	for name, value := range raw {
		texts[name] = string(value)
	}
	return texts
}
