package entry

import (
	"time"

	"foxcross.dev/coord/binding"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/lifecycle"
	"foxcross.dev/foxcross/internal/steady"
)

// recentSize is the number of finished requests kept for the state dump.
const recentSize = 128

// RecentResult is a finished request in the state dump.
type RecentResult struct {
	At      time.Time         `json:"at"`
	Request message.RequestID `json:"request"`
	Class   string            `json:"class"`
	Team    string            `json:"team"`
	Code    string            `json:"code"`
	Run     string            `json:"run"`
	Reason  string            `json:"reason,omitempty"`
}

// recentResult returns a finished request for the state dump.
func recentResult(c *call, f binding.Finish) RecentResult {
	return RecentResult{
		At:      time.Now(),
		Request: f.Request,
		Class:   c.request.Terms.Class,
		Team:    c.request.Terms.Team,
		Code:    f.Code.String(),
		Run:     f.Run.String(),
		Reason:  f.End.Reason,
	}
}

// Dump is a snapshot of an entry's state.
type Dump struct {
	Name     string          `json:"name"`
	State    lifecycle.State `json:"state"`
	Settings uint64          `json:"settings_version"`
	Entries  int             `json:"live_entries"`
	Open     int             `json:"open_requests"`
	Binding  binding.Dump    `json:"binding"`
	Recent   []RecentResult  `json:"recent"`
	// Contents lists the request contents under which endpoints have crashed.
	Contents []quarantine.State `json:"contents"`
}

// Dump returns a snapshot of the entry's state.
func (e *Entry) Dump() Dump {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := steady.Now()
	return Dump{
		Name:     e.options.Name,
		State:    e.lifecycle.State(),
		Settings: e.options.Settings.Version(),
		Entries:  e.liveEntries,
		Open:     len(e.calls),
		Binding:  e.core.Dump(now),
		Recent:   e.recent.Values(),
		Contents: e.contents.States(now),
	}
}
