package agent

import (
	"time"

	"foxcross.dev/coord/dispatch"
	"foxcross.dev/coord/message"
	"foxcross.dev/foxcross/internal/lifecycle"
	"foxcross.dev/foxcross/internal/steady"
)

// recentSize is the number of ended attempts kept for the state dump.
const recentSize = 64

// RecentEnd is an ended attempt in the state dump.
type RecentEnd struct {
	At      time.Time         `json:"at"`
	Owner   uint64            `json:"owner"`
	Request message.RequestID `json:"request"`
	Attempt message.Attempt   `json:"attempt"`
	Code    string            `json:"code"`
	Run     string            `json:"run"`
	Reason  string            `json:"reason,omitempty"`
}

// recentEnd returns an ended attempt for the state dump.
func recentEnd(x dispatch.Finish) RecentEnd {
	return RecentEnd{
		At:      time.Now(),
		Owner:   x.Key.Owner,
		Request: x.Key.Request,
		Attempt: x.End.Attempt,
		Code:    x.End.Code.String(),
		Run:     x.End.Run.String(),
		Reason:  x.End.Reason,
	}
}

// Dump is a snapshot of an agent's state.
type Dump struct {
	Name     string            `json:"name"`
	State    lifecycle.State   `json:"state"`
	Settings uint64            `json:"settings_version"`
	Owners   map[uint64]string `json:"owners"`
	Dispatch dispatch.Dump     `json:"dispatch"`
	Recent   []RecentEnd       `json:"recent"`
}

// Dump returns a snapshot of the agent's state.
func (a *Agent) Dump() Dump {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := Dump{
		Name:     a.options.Name,
		State:    a.lifecycle.State(),
		Settings: a.settingsVersion(),
		Owners:   map[uint64]string{},
		Dispatch: a.core.Dump(steady.Now()),
		Recent:   a.recent.Values(),
	}
	for id, o := range a.owners {
		d.Owners[id] = o.name
	}
	return d
}
