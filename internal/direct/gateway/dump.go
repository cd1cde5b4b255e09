package gateway

import (
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/lifecycle"
)

// Dump is the state of a gateway, for operators.
type Dump struct {
	Name      string                    `json:"name"`
	Life      lifecycle.State           `json:"life"`
	Version   uint64                    `json:"settings_version"`
	Revision  uint64                    `json:"endpoints_revision"`
	Following bool                      `json:"following_store"`
	Confirmed int64                     `json:"confirmed_ms_ago"` // since the settings were known to be the newest
	Entries   int                       `json:"live_entries"`
	Open      int                       `json:"open_requests"`
	Endpoints []placement.EndpointState `json:"endpoints"`
}

// Dump returns the present state.
func (g *Gateway) Dump() Dump {
	version, revision := g.directory.Versions()
	d := Dump{
		Name:      g.options.Process.Name,
		Life:      g.life.State(),
		Version:   version,
		Revision:  revision,
		Following: g.directory.Following(),
		Confirmed: time.Since(g.directory.Confirmed()).Milliseconds(),
	}
	d.Open = g.capacity.openRequests()
	d.Entries, d.Endpoints = g.attempts.state()
	return d
}
