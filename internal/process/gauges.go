package process

import (
	"context"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/share"
	"foxcross.dev/foxcross/internal/direct/gateway"
	"foxcross.dev/foxcross/internal/workers"

	"github.com/uber-go/tally/v4"
)

// gaugeInterval is how often the gauges are updated.
const gaugeInterval = time.Second

// updateGauges updates the gauges of the state until ctx is done.
func updateGauges(ctx context.Context, g *gateway.Gateway, scope tally.Scope) {
	workers.Every(ctx, gaugeInterval, func(time.Time) {
		d := g.Dump()
		followingStore := 0.0
		if d.StoreResponds {
			followingStore = 1
		}
		scope.Gauge("open_requests").Update(float64(d.OpenRequests))
		scope.Gauge("suspect_contents").Update(float64(d.SuspectContents))
		backoffs, draining := countSignalling(d.Endpoints)
		scope.Gauge("endpoints_in_backoff").Update(float64(backoffs))
		scope.Gauge("endpoints_draining").Update(float64(draining))
		scope.Gauge("recorded_streams").Update(float64(d.RecordedStreams))
		scope.Gauge("unrecorded_streams").Update(float64(d.UnrecordedStreams))
		updateShareGauges(d.Shares, scope)
		scope.Gauge("held_contents").Update(float64(d.HeldContents))
		scope.Gauge("live_entries").Update(float64(d.LiveEntries))
		scope.Gauge("settings_version").Update(float64(d.Version))
		scope.Gauge("following_store").Update(followingStore)
		scope.Gauge("settings_behind_seconds").Update(float64(d.SettingsLag.DurationMS) / 1000)
		scope.Gauge("settings_outstanding_bytes").Update(float64(d.SettingsLag.OutstandingBytes))
	})
}

// updateShareGauges updates the gauges of the services that share engine time between teams.
func updateShareGauges(states []share.State, scope tally.Scope) {
	for _, s := range states {
		tagged := scope.Tagged(map[string]string{"service": s.Service})
		tagged.Gauge("contended").Update(gaugeOf(s.Contended))
		tagged.Gauge("shortage_general").Update(gaugeOf(s.General))
		tagged.Gauge("late_share").Update(s.LateShare)
		tagged.Gauge("teams_above_share").Update(float64(s.Above))
	}
}

// gaugeOf returns 1 for true.
func gaugeOf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// countSignalling returns the number of endpoints from which this entry backs off, and the number
// of those that are draining.
func countSignalling(endpoints []placement.EndpointState) (backoffs, draining int) {
	for _, e := range endpoints {
		if e.BackoffMS > 0 {
			backoffs++
		}
		if e.Leaving || e.DrainingMS > 0 {
			draining++
		}
	}
	return backoffs, draining
}
