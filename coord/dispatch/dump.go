package dispatch

import (
	"slices"
	"strings"
	"time"

	"foxcross.dev/coord/message"
)

// Dump is a snapshot of the state of a Core.
type Dump struct {
	Leaving   bool           `json:"leaving"`
	Targets   []TargetDump   `json:"targets"`
	Endpoints []EndpointDump `json:"endpoints"`
	Work      []WorkDump     `json:"work"`
}

// TargetDump is the state of one target and its queue.
type TargetDump struct {
	Target     string             `json:"target"`
	Queued     [message.Tiers]int `json:"queued_by_tier"`
	StepMS     int64              `json:"step_ms"`
	FirstMS    int64              `json:"first_token_ms"`
	BetweenMS  int64              `json:"between_tokens_ms"`
	Classes    map[string]int     `json:"running_by_class"`
	QueueBound int                `json:"queue_bound"`
}

// EndpointDump is the state of one endpoint.
type EndpointDump struct {
	Name     string         `json:"name"`
	Target   string         `json:"target"`
	Health   string         `json:"health"`
	Occupied int            `json:"occupied"`
	Limits   map[string]int `json:"limits_by_target"`
	Running  map[string]int `json:"running_by_target"`
	Until    *time.Time     `json:"ejected_until,omitempty"`
}

// WorkDump is the state of held, running or stopping work.
type WorkDump struct {
	Owner    uint64            `json:"owner"`
	Request  message.RequestID `json:"request"`
	Class    string            `json:"class"`
	Team     string            `json:"team"`
	Tier     int               `json:"tier"`
	Endpoint string            `json:"endpoint"`
	State    string            `json:"state"`
	Tokens   int               `json:"tokens"`
}

var stateNames = [...]string{held: "held", running: "running", stopping: "stopping"}

// Dump returns a snapshot of the state.
func (c *Core) Dump(now time.Time) Dump {
	d := Dump{Leaving: c.leaving}
	for _, n := range c.targets {
		p := c.pools[n]
		l := p.load(now)
		d.Targets = append(d.Targets, TargetDump{
			Target:     n,
			Queued:     l.Queued,
			StepMS:     l.SlotInterval.Milliseconds(),
			FirstMS:    l.FirstToken.Milliseconds(),
			BetweenMS:  l.BetweenTokens.Milliseconds(),
			Classes:    copyCounts(p.classes),
			QueueBound: c.Bound,
		})
		for _, e := range p.endpoints {
			d.Endpoints = append(d.Endpoints, e.dump())
		}
	}
	for _, w := range c.work {
		d.Work = append(d.Work, w.dump())
	}
	slices.SortFunc(d.Work, func(a, b WorkDump) int { return strings.Compare(a.sortKey(), b.sortKey()) })
	return d
}

func copyCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (e *endpoint) dump() EndpointDump {
	d := EndpointDump{
		Name:     e.Name,
		Target:   e.Target,
		Health:   string(e.circuit.State()),
		Occupied: e.occupied(),
		Limits:   map[string]int{},
		Running:  map[string]int{},
	}
	for t, n := range e.targets {
		d.Running[t.String()] = n
		d.Limits[t.String()] = e.learned.Limit(t)
	}
	if u := e.circuit.Until(); !u.IsZero() {
		d.Until = &u
	}
	return d
}

func (w *work) dump() WorkDump {
	t := w.item.Offer.Terms
	return WorkDump{
		Owner:    w.item.Key.Owner,
		Request:  w.item.Key.Request,
		Class:    t.Class,
		Team:     t.Team,
		Tier:     t.Tier,
		Endpoint: w.endpoint.Name,
		State:    stateNames[w.state],
		Tokens:   w.tokens,
	}
}

func (w WorkDump) sortKey() string { return w.Endpoint + "\x00" + w.Class + "\x00" + w.Team }
