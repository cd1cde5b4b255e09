// Keeps which versions the endpoints of each service run, and ran until lately.
//
// Rule: an incarnation of an endpoint runs one version, that of its record. It is kept for
// versionRetention after it has left the list. Where endpoints keep their IDs when they restart, as those
// with a start time do, a request may reach the next process before its record is known: a stream
// counts as unknown if it began less than registrationTime before the list was last known to be the
// newest, or was so before the endpoint left it. Other endpoints have a new ID for each start, and
// requests name the ID that they are for.
// Inputs: the list of endpoints, the time.
// Units: times.
// Never: a version counts as gone because an endpoint is cut off or leaving.

package resumption

import (
	"time"

	"foxcross.dev/coord/placement"
)

const (
	// versionRetention is how long the version of an endpoint is kept after it has left the list.
	// It is longer than streams are recorded.
	versionRetention = 3 * time.Minute
	// maxObservationGap is the longest time between two lists in which no endpoint comes and leaves.
	// The record of one that crashes stays for three heartbeats.
	maxObservationGap = 3 * time.Second
	// registrationTime is the time within which a process that has started is on the list.
	registrationTime = time.Second
)

// Versions holds the versions of endpoints. The zero value has observed the endpoints since before
// the first stream. It is not safe for concurrent use.
type Versions struct {
	since     time.Time // of the observation; zero for since before the first stream
	until     time.Time // of the observation, here or at a peer; zero before its first list
	confirmed time.Time // when the list was last known to be the newest, zero for never
	endpoints map[string]*softwareOf
	lists     uint64                 // observed lists
	earlier   map[Software]time.Time // when a peer last knew it listed, of those that no endpoint here has run
}

// softwareOf is the software of an incarnation of an endpoint.
type softwareOf struct {
	Software
	list         uint64 // number of the last list that it was on
	listed       bool   // or retained
	retained     bool
	lastListed   time.Time // of one that is no longer listed
	doubted      bool
	doubtedSince time.Time // of one that is doubted: streams that began later may have begun at another process
	process      process   // of an endpoint that keeps its ID
}

// StartAt records that endpoints are observed from a time on.
func (v *Versions) StartAt(now time.Time) { v.since, v.until = now, now }

// Confirm records that the list was the newest at a time. A gap of more than maxObservationGap restarts
// the observation, since an endpoint may have come and left in it.
func (v *Versions) Confirm(at time.Time) {
	if !at.After(v.confirmed) {
		return
	}
	if !v.until.IsZero() && at.Sub(v.until) > maxObservationGap {
		v.since = at
	}
	v.confirmed = at
	v.extend(at)
}

// extend records that the observation had no gap until a time.
func (v *Versions) extend(until time.Time) {
	if until.After(v.until) {
		v.until = until
	}
}

// Observe applies the list of endpoints.
func (v *Versions) Observe(now time.Time, list []placement.Endpoint) {
	if v.endpoints == nil {
		v.endpoints = map[string]*softwareOf{}
	}
	v.lists++
	for _, e := range list {
		v.observeEndpoint(e)
	}
	for incarnation, s := range v.endpoints {
		if s.listed && s.list != v.lists {
			v.removeEndpoint(now, incarnation, s)
		}
	}
	v.expire(now)
}

// observeEndpoint applies the record of an endpoint. If it names another version than before, either
// record may have been wrong all the time.
func (v *Versions) observeEndpoint(e placement.Endpoint) {
	software := Software{Service: e.Service, Version: e.Version}
	incarnation := e.Incarnation()
	s := v.endpoints[incarnation]
	if s == nil {
		s = &softwareOf{Software: software}
		v.endpoints[incarnation] = s
	}
	if s.Software != software {
		s.Software = software
		s.doubted, s.doubtedSince = true, time.Time{}
	}
	s.listed, s.list, s.retained = true, v.lists, e.Retained
}

// removeEndpoint records that an incarnation has left the list.
func (v *Versions) removeEndpoint(now time.Time, incarnation string, s *softwareOf) {
	s.listed = false
	s.lastListed = now
	if placement.KeepsID(incarnation) && !s.doubted {
		s.doubted, s.doubtedSince = true, v.confirmed.Add(-registrationTime)
	}
}

// expire removes what was last listed longer than versionRetention ago.
func (v *Versions) expire(now time.Time) {
	for incarnation, s := range v.endpoints {
		if !s.listed && now.Sub(s.lastListed) > versionRetention {
			delete(v.endpoints, incarnation)
		}
	}
	for software, at := range v.earlier {
		if now.Sub(at) > versionRetention {
			delete(v.earlier, software)
		}
	}
}

// SoftwareOf returns what an incarnation of an endpoint ran when it began a stream. It returns false
// if that is not known for certain.
func (v *Versions) SoftwareOf(incarnation string, begun time.Time) (Software, bool) {
	s := v.endpoints[incarnation]
	switch {
	case s == nil || s.Version == "":
		return Software{}, false
	case s.doubted && begun.After(s.doubtedSince):
		return Software{}, false
	case placement.KeepsID(incarnation) && v.confirmed.Before(begun.Add(registrationTime)):
		return Software{}, false
	default:
		return s.Software, true
	}
}

// Listed reports whether an incarnation of an endpoint is on the list, or has been lately.
func (v *Versions) Listed(incarnation string) bool { return v.endpoints[incarnation] != nil }

// Observed reports whether the endpoints have been observed for a time.
func (v *Versions) Observed(now time.Time, within time.Duration) bool {
	return v.since.IsZero() || now.Sub(v.since) >= within
}

// Only returns the only version that a service has run within a time, as far as it was observed. It
// returns false if there were several or none.
func (v *Versions) Only(now time.Time, service string, within time.Duration) (version string, found bool) {
	for _, s := range v.endpoints {
		if s.Service != service || !s.listed && now.Sub(s.lastListed) > within {
			continue
		}
		if found && s.Version != version {
			return "", false
		}
		version, found = s.Version, true
	}
	for software, at := range v.earlier {
		if software.Service == service && now.Sub(at) <= within && software.Version != version {
			return "", false
		}
	}
	return version, found
}

// VersionsSnapshot is what an entry that has just started needs of another's Versions. Its encoding
// is part of the protocol between entries.
type VersionsSnapshot struct {
	Always     bool              `cbor:"1,keyasint,omitempty"` // observed without a gap since before the first stream
	ObservedMS int64             `cbor:"2,keyasint,omitempty"` // for how long without a gap until now, unless Always
	Earlier    []EarlierSnapshot `cbor:"3,keyasint,omitempty"`
	ListAgeMS  int64             `cbor:"4,keyasint,omitempty"` // since the list was known to be the newest
	Processes  []ProcessSnapshot `cbor:"5,keyasint,omitempty"` // that are certain
}

// EarlierSnapshot is a version that was listed lately.
type EarlierSnapshot struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string
	AgeMS   int64 // since it was last listed
}

// Snapshot returns the versions that were listed lately.
func (v *Versions) Snapshot(now time.Time) VersionsSnapshot {
	s := VersionsSnapshot{ListAgeMS: now.Sub(v.confirmed).Milliseconds(), Processes: v.processSnapshots()}
	switch {
	case now.Sub(v.confirmed) > maxObservationGap:
		s.ListAgeMS = 0
	case v.since.IsZero():
		s.Always = true
	default:
		s.ObservedMS = now.Sub(v.since).Milliseconds()
	}
	last := map[Software]time.Time{}
	for software, at := range v.earlier {
		last[software] = at
	}
	for _, e := range v.endpoints {
		at := e.lastListed
		if e.listed {
			at = now
		}
		if at.After(last[e.Software]) {
			last[e.Software] = at
		}
	}
	for software, at := range last {
		s.Earlier = append(s.Earlier, EarlierSnapshot{Service: software.Service, Version: software.Version, AgeMS: now.Sub(at).Milliseconds()})
	}
	return s
}

// Restore applies the snapshot of another entry that was asked for at a time. Versions that it had
// listed count as listed until now, since they may have left in between.
func (v *Versions) Restore(now, askedAt time.Time, s VersionsSnapshot) {
	observed := now.Add(-time.Duration(s.ObservedMS) * time.Millisecond)
	switch {
	case s.Always:
		v.since = time.Time{}
	case s.ObservedMS > 0 && observed.Before(v.since):
		v.since = observed
	}
	if s.Always || s.ObservedMS > 0 {
		v.extend(askedAt.Add(-time.Duration(s.ListAgeMS) * time.Millisecond))
	}
	v.restoreProcesses(s.Processes)
	if v.earlier == nil {
		v.earlier = map[Software]time.Time{}
	}
	for _, e := range s.Earlier {
		v.earlier[Software{Service: e.Service, Version: e.Version}] = now.Add(-time.Duration(e.AgeMS) * time.Millisecond)
	}
}
