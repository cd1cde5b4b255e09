package peers

import (
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

// TestLiveRelaysAreProbedLessOften covers relays whose packets arrive, first with and then
// without probe replies. If each relay were probed ten times a second by each member of its data
// centre, that would be 640 probes a second at 64 members, and as many replies: the busiest peer
// would wake up 1,307 times a second.
func TestLiveRelaysAreProbedLessOften(t *testing.T) {
	now := steady.Now()
	g, scope := newFleetGroup(t, now, 8)
	probes := func() int64 {
		return scope.Snapshot().Counters()["peer_datagrams+kind=question"].Value()
	}
	run := func(d time.Duration, sends, replies bool) {
		for end := now.Add(d); now.Before(end); now = now.Add(probeInterval) {
			g.mu.Lock()
			for _, m := range g.members {
				m.lastSeen = now
				if sends {
					m.lastDirect = now.Add(-probeInterval / 2)
				}
				if replies {
					m.unansweredSince = time.Time{}
				}
			}
			g.mu.Unlock()
			g.probeRelays(now)
		}
	}
	run(time.Second, true, true)
	g.mu.Lock()
	relays := int64(len(g.currentPlan(now).probed))
	g.mu.Unlock()
	before := probes()
	run(10*time.Second, true, true)
	if n := probes() - before; n > 11*relays {
		t.Errorf("%d probes in 10 s to %d relays whose packets and replies arrive", n, relays)
	}
	run(liveProbeInterval+probeTimeout+2*probeInterval, true, false)
	g.mu.Lock()
	unresponsive := 0
	for _, key := range g.currentPlan(now).probed {
		if g.members[key].unresponsive(now) {
			unresponsive++
		}
	}
	g.mu.Unlock()
	if unresponsive == 0 {
		t.Error("no relay whose packets arrive without replies counts as unresponsive")
	}
	before = probes()
	run(time.Second, false, true)
	if n := probes() - before; n < 8 {
		t.Errorf("%d probes in a second to relays whose packets do not arrive", n)
	}
}
