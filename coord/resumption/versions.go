// Keeps which versions the endpoints of each service run, and ran until lately.
//
// Rule: an incarnation of an endpoint runs one version, that of its record. It is kept for
// versionRetention after it has left the list. If an endpoint is replaced by an incarnation of
// another version under its ID, or its record names another version, then streams that began up to
// recordLag before that was known may have begun at either, and count as unknown.
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
	// recordLag is how old the record of an endpoint may be when a request is sent there.
	recordLag = 5 * time.Second
)

// Versions holds the versions of endpoints. The zero value has observed the endpoints since before
// the first stream. It is not safe for concurrent use.
type Versions struct {
	since     time.Time // of the observation; zero for since before the first stream
	endpoints map[string]*softwareOf
	earlier   map[Software]time.Time // when a peer last knew it listed, of those that no endpoint here has run
}

// softwareOf is the software of an incarnation of an endpoint.
type softwareOf struct {
	Software
	listed       bool
	lastListed   time.Time // of one that is no longer listed
	doubtedSince time.Time // streams that began later may have begun at another version; zero for none
}

// StartAt records that endpoints are observed from a time on.
func (v *Versions) StartAt(now time.Time) { v.since = now }

// Observe applies the list of endpoints.
func (v *Versions) Observe(now time.Time, list []placement.Endpoint) {
	if v.endpoints == nil {
		v.endpoints = map[string]*softwareOf{}
	}
	before := v.listedByID()
	for _, s := range v.endpoints {
		if s.listed {
			s.listed = false
			s.lastListed = now
		}
	}
	for _, e := range list {
		v.observeEndpoint(now, e, before[e.ID])
	}
	v.expire(now)
}

// listedByID returns the incarnations that are listed, by the IDs of their endpoints.
func (v *Versions) listedByID() map[string]string {
	all := make(map[string]string, len(v.endpoints))
	for incarnation, s := range v.endpoints {
		if s.listed {
			all[placement.EndpointID(incarnation)] = incarnation
		}
	}
	return all
}

// observeEndpoint applies the record of an endpoint. before is its incarnation on the list before,
// empty for none.
func (v *Versions) observeEndpoint(now time.Time, e placement.Endpoint, before string) {
	software := Software{Service: e.Service, Version: e.Version}
	incarnation := e.Incarnation()
	if previous := v.endpoints[before]; previous != nil && previous.Software != software {
		previous.doubtedSince = now.Add(-recordLag)
		if before == incarnation { // either of the two records may have been wrong all the time
			previous.doubtedSince = now.Add(-versionRetention)
		}
	}
	s := v.endpoints[incarnation]
	if s == nil {
		s = &softwareOf{}
		v.endpoints[incarnation] = s
	}
	s.Software = software
	s.listed = true
}

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
	if s == nil || !s.doubtedSince.IsZero() && begun.After(s.doubtedSince) {
		return Software{}, false
	}
	return s.Software, true
}

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
	Always     bool              `cbor:"1,keyasint,omitempty"` // observed since before the first stream
	ObservedMS int64             `cbor:"2,keyasint,omitempty"` // for how long, unless Always
	Earlier    []EarlierSnapshot `cbor:"3,keyasint,omitempty"`
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
	s := VersionsSnapshot{Always: v.since.IsZero()}
	if !s.Always {
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

// Restore applies the snapshot of another entry. Versions that it had listed count as listed until
// now, since they may have left in between.
func (v *Versions) Restore(now time.Time, s VersionsSnapshot) {
	if !s.Always && s.ObservedMS <= 0 {
		return // of an entry that sends none
	}
	observed := time.Time{}
	if !s.Always {
		observed = now.Add(-time.Duration(s.ObservedMS) * time.Millisecond)
	}
	if observed.Before(v.since) {
		v.since = observed
	}
	if v.earlier == nil {
		v.earlier = map[Software]time.Time{}
	}
	for _, e := range s.Earlier {
		v.earlier[Software{Service: e.Service, Version: e.Version}] = now.Add(-time.Duration(e.AgeMS) * time.Millisecond)
	}
}
