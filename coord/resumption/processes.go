// Keeps which process runs behind each endpoint that keeps its ID when it restarts.
//
// Rule: engines name their process in answers. The process that answered is that of the listed
// incarnation once the list was the newest registrationTime later and still had the incarnation. A stream
// is resumed at such an endpoint only over a connection to that process.
// Inputs: answers of engines, here and at other entries, the list of endpoints.
// Units: times; a process is named by the text that the engine gives.
// Never: a process that answered counts as that of a record which the list had before it started.

package resumption

import (
	"time"

	"foxcross.dev/coord/placement"
)

// process is what is known of the process behind an incarnation.
type process struct {
	name       string
	answeredAt time.Time
	certain    bool // it is that of the record
}

// RecordProcess records that a process answered at the address of a listed incarnation, at a time.
func (v *Versions) RecordProcess(incarnation, name string, answeredAt time.Time) {
	s := v.endpoints[incarnation]
	if s == nil || !s.listed || s.retained || name == "" {
		return
	}
	v.confirmProcess(s)
	switch {
	case s.process.certain:
	case s.process.name == name && s.process.answeredAt.Before(answeredAt):
	default:
		s.process = process{name: name, answeredAt: answeredAt}
	}
	v.confirmProcess(s)
}

// confirmProcess records whether the process is certain by now.
func (v *Versions) confirmProcess(s *softwareOf) {
	if s.listed && !s.retained && s.process.name != "" && !v.confirmed.Before(s.process.answeredAt.Add(registrationTime)) {
		s.process.certain = true
	}
}

// Process returns the process behind a listed incarnation. It returns false if that is not known for
// certain.
func (v *Versions) Process(incarnation string) (name string, certain bool) {
	s := v.endpoints[incarnation]
	if s == nil {
		return "", false
	}
	v.confirmProcess(s)
	return s.process.name, s.process.certain
}

// WithoutProcess returns those endpoints that keep their IDs and of whose process nothing is known.
func (v *Versions) WithoutProcess(list []placement.Endpoint) []placement.Endpoint {
	var unknown []placement.Endpoint
	for _, e := range list {
		s := v.endpoints[e.Incarnation()]
		if e.Engine && !e.Leaving && placement.KeepsID(e.Incarnation()) && s != nil && s.process.name == "" {
			unknown = append(unknown, e)
		}
	}
	return unknown
}

// ProcessSnapshot is a process that is certain.
type ProcessSnapshot struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	Process     string
}

// processSnapshots returns the processes that are certain.
func (v *Versions) processSnapshots() []ProcessSnapshot {
	var all []ProcessSnapshot
	for incarnation := range v.endpoints {
		if name, certain := v.Process(incarnation); certain {
			all = append(all, ProcessSnapshot{Incarnation: incarnation, Process: name})
		}
	}
	return all
}

// restoreProcesses applies the processes that another entry is certain of.
func (v *Versions) restoreProcesses(all []ProcessSnapshot) {
	for _, p := range all {
		if s := v.endpoints[p.Incarnation]; s != nil && p.Process != "" && !s.process.certain {
			s.process = process{name: p.Process, certain: true}
		}
	}
}
