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
	// listTimeout bounds a read of the member list.
	listTimeout = 2 * time.Second
)

// follow reads the member list again and again and keeps the connections to
// match it.
func (e *Entry) follow(ctx context.Context) {
	e.readList(ctx)
	workers.Every(ctx, e.options.ListEvery, func(time.Time) { e.readList(ctx) })
}

func (e *Entry) readList(ctx context.Context) {
	wait, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	members, err := e.options.Members.Members(wait)
	if err != nil {
		log.Debugf("The member list can't be read, keeping the old one: %v.", err)
		return
	}
	e.apply(ctx, steady.Now(), members)
}

// apply takes a list. It may lag or be empty by mistake: an agent that is not
// on it is only dropped after a while without a connection.
func (e *Entry) apply(ctx context.Context, now time.Time, members []kv.Member) {
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
			e.applyAgent(ctx, m, wanted[m.Name])
		}
	}
	e.entries = max(1, entries)
	e.watches = e.isWatcher(members)
	for _, p := range e.agents {
		e.applyAbsence(now, p, listed[p.name])
	}
}

// maxWatchers is how many entries of a data centre watch the settings' root. The service
// counts each watch.
const maxWatchers = 3

// isWatcher tells whether this entry is among the watchers of its data centre.
// Entries that see different lists may come to different answers; then a few
// more or fewer watch.
func (e *Entry) isWatcher(members []kv.Member) bool {
	key := rendezvous.Hash(e.options.DataCentre)
	own := rendezvous.Rank(key, rendezvous.Hash(e.options.Name))
	before := 0
	for _, m := range members {
		if m.Role != kv.Entry || m.Leaving || m.DataCentre != e.options.DataCentre {
			continue
		}
		if rendezvous.Rank(key, rendezvous.Hash(m.Name)) < own {
			before++
		}
	}
	return before < maxWatchers
}

// wanted returns the agents of the entry's subset.
func (e *Entry) wanted(members []kv.Member) map[string]bool {
	var agents []subset.Agent
	for _, m := range members {
		if m.Role == kv.Agent && !m.Leaving {
			agents = append(agents, subset.Agent{Name: m.Name, DataCentre: m.DataCentre})
		}
	}
	wanted := map[string]bool{}
	for _, a := range subset.Choose(e.options.Name, e.options.DataCentre, agents, e.options.Agents) {
		wanted[a.Name] = true
	}
	return wanted
}
