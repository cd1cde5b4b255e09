package binding

import (
	"maps"
	"slices"
	"time"

	"foxcross.dev/coord/message"
)

// Dump is a snapshot of the state of a Core.
type Dump struct {
	Draining bool               `json:"draining"`
	Agents   []AgentDump        `json:"peers"`
	Requests []RequestDump      `json:"requests"`
	Budgets  map[string]float64 `json:"retry_budgets"`
}

// AgentDump is the state of one agent.
type AgentDump struct {
	Name     string      `json:"name"`
	Leaving  bool        `json:"leaving"`
	Health   string      `json:"health"`
	Started  int         `json:"started"`
	ReportMS int64       `json:"report_age_ms"`
	Loads    []RouteDump `json:"loads"`
}

// RouteDump is one target at an agent, as last reported.
type RouteDump struct {
	Target string               `json:"target"`
	Slots  int                  `json:"slots"`
	Free   int                  `json:"free"`
	Sent   int                  `json:"offers_since_report"`
	Queued [message.Tiers]int   `json:"queued_by_tier"`
	WaitMS [message.Tiers]int64 `json:"wait_ms_by_tier"`
}

// RequestDump is the state of one open request.
type RequestDump struct {
	Request    message.RequestID `json:"request"`
	Class      string            `json:"class"`
	Team       string            `json:"team"`
	State      string            `json:"state"`
	Attempt    message.Attempt   `json:"attempt"`
	Offers     int               `json:"offers_waiting"`
	Tried      int               `json:"agents_asked"`
	StartAgent string            `json:"started_at,omitempty"`
	AgeMS      int64             `json:"age_ms"`
	Rounds     int               `json:"rounds"`
}

// maxDumpRequests is the most open requests in a dump.
const maxDumpRequests = 1000

// Dump returns a snapshot of the state.
func (c *Core) Dump(now time.Time) Dump {
	d := Dump{Draining: c.draining, Budgets: maps.Clone(c.budgets)}
	for _, n := range slices.Sorted(maps.Keys(c.agents)) {
		d.Agents = append(d.Agents, c.agents[n].dump(now))
	}
	for _, r := range c.sorted() {
		if len(d.Requests) == maxDumpRequests {
			break
		}
		d.Requests = append(d.Requests, r.dump(now))
	}
	return d
}

func (a *agent) dump(now time.Time) AgentDump {
	d := AgentDump{Name: a.name, Leaving: a.leaving, Health: string(a.circuit.State()), Started: a.started}
	for _, t := range slices.Sorted(maps.Keys(a.routes)) {
		r := a.routes[t]
		l := RouteDump{Target: t, Slots: r.load.Slots, Free: r.load.Free, Sent: r.sent, Queued: r.load.Queued}
		for tier, w := range r.load.Wait {
			l.WaitMS[tier] = w.Milliseconds()
		}
		d.Loads = append(d.Loads, l)
		d.ReportMS = time.Duration(now.UnixNano() - r.reportedAt).Milliseconds()
	}
	return d
}

func (r *request) dump(now time.Time) RequestDump {
	return RequestDump{
		Request:    r.id,
		Class:      r.Terms.Class,
		Team:       r.Terms.Team,
		State:      string(r.state),
		Attempt:    r.attempt,
		Offers:     r.waiting(),
		Tried:      len(r.offers),
		StartAgent: r.startAgent,
		AgeMS:      now.Sub(r.accepted).Milliseconds(),
		Rounds:     r.rounds,
	}
}
