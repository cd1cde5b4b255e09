// Detection of request contents that crash an endpoint.
//
// Rule: a call that was sent to the endpoint and failed without having been stopped counts as a crash
// if the endpoint is no longer running. Calls that fail within sameCrashWindow belong to one crash. The
// agent reports a crash to all its entries, and to an entry that connects later. It forwards the
// reports of an entry to the others if they are new, so that entries without a common agent receive
// each other's reports.
// Units: one message to each entry for each call that a crash ended, each trial and each success.
// Never: the agent does not refuse calls because of crashes; its entries do (internal/relay/entry).

package agent

import (
	"context"
	"fmt"
	"time"

	"foxcross.dev/coord/dispatch"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/relay/endpoint"
	"foxcross.dev/foxcross/internal/steady"
)

// sameCrashWindow is the time within which all calls ended by one crash have failed. An engine
// takes seconds to restart.
const sameCrashWindow = time.Second

// crash is one crash of an endpoint.
type crash struct {
	name string // identifies the endpoint and the crash in the whole deployment
	at   time.Time
}

// detectCrash checks whether an endpoint crashed while running a call that has ended, and reports a
// crash to all entries. It returns the report, nil if there was no crash.
func (a *Agent) detectCrash(ctx context.Context, x dispatch.Run, began time.Time, end message.End) *quarantine.CrashReport {
	if end.Code != result.EndpointFailed || end.Run == result.NotRun || ctx.Err() != nil {
		return nil
	}
	d, ok := a.drivers[x.Endpoint].(endpoint.CrashDetector)
	if !ok || !d.HasCrashed(ctx) {
		return nil
	}
	run := quarantine.Run{Content: x.Start.Content(x.Target, x.Terms), Started: began, KnownCrashes: x.Start.KnownCrashes}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	c, known := a.crashes[x.Endpoint]
	switch {
	case !known || now.Sub(c.at) >= sameCrashWindow:
		c = crash{name: fmt.Sprintf("%s/%s@%d", a.options.Name, x.Endpoint, steady.Wall().UnixMilli()), at: now}
		a.crashes[x.Endpoint] = c
	case began.After(c.at):
		return nil // the call began after the crash, when the endpoint was not running
	}
	a.contents.RecordCrash(c.name, c.at, 0, run)
	log.With("endpoint", x.Endpoint).With("content", run.Content.String()).Info("The endpoint crashed while running a call.")
	r := quarantine.CrashReport{
		Endpoint: c.name, AgeMS: now.Sub(c.at).Milliseconds(), Runs: []quarantine.RunReport{quarantine.ReportOf(run, c.at)},
	}
	a.broadcastContents(0, quarantine.Snapshot{Crashes: []quarantine.CrashReport{r}})
	return &r
}

// applyContents applies the reports of an entry, and forwards those that are new to the other
// entries. Agent.mu must be held.
func (a *Agent) applyContents(now time.Time, o *owner, m message.Contents) {
	_, updates := a.contents.Merge(now, m.Known)
	a.broadcastContents(o.id, updates)
}

// broadcastContents sends crash reports to all entries except one. Agent.mu must be held.
func (a *Agent) broadcastContents(except uint64, s quarantine.Snapshot) {
	for _, o := range a.owners {
		if o.id != except {
			o.sendContents(s)
		}
	}
}

// sendContents sends crash reports to an entry that supports them.
func (o *owner) sendContents(s quarantine.Snapshot) {
	if o.contents && !s.Empty() {
		o.send(message.Contents{Known: s})
	}
}
