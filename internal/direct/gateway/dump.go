package gateway

import (
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/share"
	"foxcross.dev/foxcross/internal/lifecycle"
	"foxcross.dev/foxcross/internal/steady"
)

// Dump is the state of a gateway, for operators.
type Dump struct {
	Name            string                    `json:"name"`
	State           lifecycle.State           `json:"life"`
	Version         uint64                    `json:"settings_version"`
	Revision        uint64                    `json:"endpoints_revision"`
	StoreResponds   bool                      `json:"following_store"`
	ConfirmedMS     int64                     `json:"confirmed_ms_ago"` // time since the settings were last confirmed as the newest
	SettingsLag     SettingsLag               `json:"settings_behind"`
	LiveEntries     int                       `json:"live_entries"`
	OpenRequests    int                       `json:"open_requests"`
	BodyBytes       int64                     `json:"body_bytes"`     // reserved for bodies of requests and responses
	ResponseBytes   int64                     `json:"response_bytes"` // reserved for headers and events of responses
	Endpoints       []placement.EndpointState `json:"endpoints"`
	SuspectContents int                       `json:"suspect_contents"` // number of contents with counted crashes
	HeldContents    int                       `json:"held_contents"`    // number of suspect contents that are held in quarantine
	Contents        []quarantine.State        `json:"contents"`         // the most suspect ones

	RecordedStreams   int `json:"recorded_streams"`   // that callers may resume, of all entries
	UnrecordedStreams int `json:"unrecorded_streams"` // since the start, dropped at the bound on RecordedStreams

	Queues map[string]QueueState `json:"queues,omitempty"` // by service, of those with queued admission

	Evacuated           []string `json:"evacuated"`            // data centres
	EvacuationsRevision uint64   `json:"evacuations_revision"` // store revision up to which Evacuated is known

	Shares []share.State `json:"shares,omitempty"` // of the services that share engine time between teams
}

// SettingsLag is how far the settings are behind those of other entries. It is zero if no other
// entry has newer ones.
type SettingsLag struct {
	NewestVersion    uint64 `json:"newest_version"` // newest version that is active at any entry
	DurationMS       int64  `json:"for_ms"`         // time since a newer version was first announced
	OutstandingBytes int64  `json:"outstanding_bytes"`
}

// Dump returns the current state.
func (g *Gateway) Dump() Dump {
	version, revision := g.directory.Versions()
	d := Dump{
		Name:          g.options.Process.Name,
		State:         g.lifecycle.State(),
		Version:       version,
		Revision:      revision,
		StoreResponds: g.directory.StoreResponds(),
		ConfirmedMS:   steady.Since(g.directory.Confirmed()).Milliseconds(),
	}
	evacuations := g.directory.Evacuations()
	d.Evacuated, d.EvacuationsRevision = append([]string{}, evacuations.DataCentres...), evacuations.Revision
	behind := g.directory.SettingsLag()
	d.SettingsLag = SettingsLag{NewestVersion: behind.Newest, DurationMS: behind.Duration.Milliseconds(), OutstandingBytes: behind.OutstandingBytes}
	d.OpenRequests = g.capacity.openRequests()
	d.BodyBytes = g.bodyMemory.reserved()
	d.ResponseBytes = g.pool.Buffers.Reserved()
	d.LiveEntries, d.Endpoints = g.dispatcher.endpointStates()
	d.RecordedStreams, d.UnrecordedStreams = g.dispatcher.streamCounts()
	d.Shares = g.dispatcher.shareStates()
	d.Queues = g.dispatcher.queueStates()
	d.SuspectContents, d.HeldContents = g.suspects.counts(steady.Now())
	d.Contents = g.suspects.states(steady.Now())
	return d
}
