// When an entry fetches settings and endpoints from another.
//
// Rule: from a live entry that has been ahead, by version or revision, for
// fetchDelay; for fetchDelayReading while this entry reads the store itself and is
// answered, which then tells it sooner. One fetch at a time.
// Inputs: the versions that packets name, the time.
// Never: nothing older than what is known is taken over (package directory).

package peers

import (
	"context"
	"time"

	"foxcross.dev/foxcross/internal/workers"
)

const (
	// fetchDelay is how long another entry is ahead before it is asked. Chosen, not
	// measured: what is already on its way arrives first.
	fetchDelay = 40 * time.Millisecond
	// fetchDelayReading is the same while the store answers this entry. Chosen, not
	// measured: above the wait of a watch.
	fetchDelayReading = 900 * time.Millisecond
	// fetchTimeout bounds one fetch. Chosen, not measured.
	fetchTimeout = 600 * time.Millisecond
)

// noteAhead notes whether an entry knows something newer. The group is locked.
func (g *Group) noteAhead(m *member, ahead bool, now time.Time) {
	switch {
	case !ahead:
		m.aheadSince = time.Time{}
	case m.aheadSince.IsZero():
		m.aheadSince = now
		workers.Signal(g.memberAhead)
	}
}

// catchUp asks an entry that has been ahead for long enough.
func (g *Group) catchUp(ctx context.Context, now time.Time) {
	delay := fetchDelay
	if g.options.Directory.ReadsStore() && g.options.Directory.Following() {
		delay = fetchDelayReading
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fetching {
		return
	}
	for address, m := range g.members {
		if m.aheadSince.IsZero() || now.Sub(m.aheadSince) < delay || !m.alive(now) {
			continue
		}
		m.aheadSince = time.Time{}
		g.fetching = true
		go g.fetchFrom(ctx, address)
		return
	}
}

// fetchFrom reads the state of an entry.
func (g *Group) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	g.options.Fetch(ctx, address)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fetching = false
}
