package driver

import (
	"encoding/json"
	"maps"
	"slices"
)

// Changes returns the fields in which the newer settings of a process differ, with their old
// and new values, for the log. Only bounds take effect while the process runs. The other
// fields take effect at its next start.
func (p Process) Changes(newer Process) []Difference {
	before, after := p.fields(), newer.fields()
	var differences []Difference
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if before[name] != after[name] {
			_, bound := newer.Bounds.fields()[name]
			differences = append(differences, Difference{Field: name, Before: before[name], After: after[name], Active: bound})
		}
	}
	return differences
}

// Difference is one changed field.
type Difference struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
	Active bool   `json:"in_force"` // already in effect, without a restart
}

// fields returns the JSON values of all settings by field name.
func (p Process) fields() map[string]string {
	all := jsonFields(p)
	delete(all, "Bounds")
	maps.Copy(all, p.Bounds.fields())
	return all
}

func (b Bounds) fields() map[string]string { return jsonFields(b) }

// jsonFields returns the JSON values of the fields of a struct by name.
func jsonFields(v any) map[string]string {
	data, err := json.Marshal(v)
	if err != nil {
		return nil // unreachable: every field can be encoded
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil
	}
	values := make(map[string]string, len(raw))
	for name, value := range raw {
		values[name] = string(value)
	}
	return values
}
