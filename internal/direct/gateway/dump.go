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
	g.mu.Lock()
	defer g.mu.Unlock()
	d.Entries = g.entries()
	d.Open = g.open
	d.Endpoints = g.table.States(time.Now())
	return d
}
