package entry

import (
	"context"
	"time"

	"foxcross.dev/coord/rendezvous"
	"foxcross.dev/coord/subset"
	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"
)

const (
	// membersTimeout bounds one read of the member list.
	membersTimeout = 2 * time.Second
)

// followMembers reads the member list at an interval and adjusts the connections to it.
func (e *Entry) followMembers(ctx context.Context) {
	e.readMembers(ctx)
	workers.Every(ctx, e.options.MemberListInterval, func(time.Time) { e.readMembers(ctx) })
}

func (e *Entry) readMembers(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	members, err := e.options.Members.Members(listCtx)
	if err != nil {
		log.Debugf("Can't read the member list, keeping the previous one: %v.", err)
		return
	}
	e.applyMembers(ctx, steady.Now(), members)
}

// applyMembers applies a member list. The list may lag or be empty by mistake, so an agent
// that is missing from it is dropped only once it is not connected and has been missing
// for absentTimeout.
func (e *Entry) applyMembers(ctx context.Context, now time.Time, members []kv.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := map[string]bool{}
	wanted := e.wanted(members)
	entries := 0
	for _, m := range members {
		switch m.Role {
		case kv.Entry:
			if !m.Leaving {
				entries++
			}
		case kv.Agent:
			listed[m.Name] = true
			e.applyListed(ctx, m, wanted[m.Name])
		}
	}
	e.liveEntries = max(1, entries)
	e.watcher = e.isWatcher(members)
	for _, c := range e.agents {
		e.applyUnlisted(now, c, listed[c.name])
	}
}

// maxWatchers is how many entries of a data centre watch the settings root. The
// key-value service counts every watch.
const maxWatchers = 3

// isWatcher reports whether this entry is among the watchers of its data centre.
// Entries that see different lists may disagree; then slightly more or fewer than
// maxWatchers watch.
func (e *Entry) isWatcher(members []kv.Member) bool {
	key := rendezvous.Hash(e.options.DataCentre)
	own := rendezvous.Rank(key, rendezvous.Hash(e.options.Name))
	lowerRanks := 0
	for _, m := range members {
		if m.Role != kv.Entry || m.Leaving || m.DataCentre != e.options.DataCentre {
			continue
		}
		if rendezvous.Rank(key, rendezvous.Hash(m.Name)) < own {
			lowerRanks++
		}
	}
	return lowerRanks < maxWatchers
}

// wanted returns the agents in this entry's subset, by name.
func (e *Entry) wanted(members []kv.Member) map[string]bool {
	var agents []subset.Agent
	for _, m := range members {
		if m.Role == kv.Agent && !m.Leaving {
			agents = append(agents, subset.Agent{Name: m.Name, DataCentre: m.DataCentre})
		}
	}
	wanted := map[string]bool{}
	for _, a := range subset.Choose(e.options.Name, e.options.DataCentre, agents, e.options.MaxAgents) {
		wanted[a.Name] = true
	}
	return wanted
}
