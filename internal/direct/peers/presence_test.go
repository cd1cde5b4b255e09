package peers

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/steady"

	"github.com/uber-go/tally/v4"
)

// newFleetGroup returns a relay of a data centre with the given number of members, among six
// data centres of that size. It sends nothing. The members have no processes.
func newFleetGroup(t *testing.T, now time.Time, each int) (*Group, tally.TestScope) {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	d := directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
	g, err := New(Options{
		Name: "relay", Address: "127.0.0.1:0", Owner: 1, DataCentre: "dc-0", ReadCost: 1, Directory: d, Metrics: scope,
		Listener: noopListener{}, Fetch: func(context.Context, string, Part) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.socket.Close() })
	for n := 1; n < 6*each; n++ {
		address := &net.UDPAddr{IP: net.IPv4(127, 0, byte(1+n/200), byte(1+n%200)), Port: 9}
		g.mu.Lock()
		m, _ := g.findOrAddMember(packet{Owner: uint64(n+1) * 0x9e3779b97f4a7c15}, address, now)
		g.applyHeartbeat(m, &heartbeat{
			Name: fmt.Sprintf("edge-data-centre-%d-%d", n%6, n/6), DataCentre: fmt.Sprint("dc-", n%6), Relayed: true, Presence: true,
			ReadCost: 100 + n, Informed: true, ConfirmedAgeMS: 120, StoreResponseAgeMS: 90, ClockMS: 1_760_000_000_000, EvacuationsRevision: 12_345,
		}, now)
		m.initialRecordsSent = true
		g.mu.Unlock()
	}
	return g, scope
}

type noopListener struct{}

// HandleEvents implements Listener.
func (noopListener) HandleEvents(uint64, []Event) {}

// HandleLateEvents implements Listener.
func (noopListener) HandleLateEvents(uint64, []Event) {}

// MemberGone implements Listener.
func (noopListener) MemberGone(uint64) {}

// heartbeatBytes returns the bytes of heartbeats and reports that a group has sent.
func heartbeatBytes(scope tally.TestScope) int64 {
	return scope.Snapshot().Counters()["peer_bytes+kind=heartbeat"].Value()
}

// TestReportTrafficAtScale reports the members of a data centre for half a minute without
// changes. If every record were sent to every peer four times a second, reports would use up the
// links: with 64 members in each of six data centres relays would send up to 8.9 MB a second,
// and bursts would make peers lose 140,000 live members in a day.
//
// At 1,000 peers a relay forwards half of the reports on the 833 peers of other data centres, to
// 167 members. For this to take at most a tenth of a link of 200 Mbit/s, one relay may send 18
// bytes a second for each member.
func TestReportTrafficAtScale(t *testing.T) {
	const (
		seconds   = 30
		perMember = 18.0 // bytes a second
	)
	for _, each := range []int{64, 167} {
		now := steady.Now()
		g, scope := newFleetGroup(t, now, each)
		sent := int64(0)
		const warmupReports = 2 * changeSends // reports, after which all records have been sent
		for step := range warmupReports + seconds*int(time.Second/reportInterval) {
			now = now.Add(reportInterval)
			g.mu.Lock()
			for _, m := range g.members {
				m.lastSeen = now
			}
			remote := int64(len(g.currentPlan(now).remote))
			g.mu.Unlock()
			before := heartbeatBytes(scope)
			g.sendReports(now)
			if step >= warmupReports {
				sent += (heartbeatBytes(scope) - before) / remote
			}
		}
		rate := float64(sent) / seconds / float64(each-1)
		t.Logf("%d members in each data centre: %.1f bytes a second of each", each, rate)
		if rate > perMember {
			t.Errorf("%d members in each data centre: %.1f bytes a second of each, want at most %v", each, rate, perMember)
		}
	}
}

// TestRecordsAreResentToNewRelays disconnects and reconnects a data centre: the records sent in
// the meantime have not reached it.
func TestRecordsAreResentToNewRelays(t *testing.T) {
	const each = 8
	now := steady.Now()
	g, scope := newFleetGroup(t, now, each)
	run := func(d time.Duration, cut string) (bytes int64) {
		before := heartbeatBytes(scope)
		for end := now.Add(d); now.Before(end); {
			now = now.Add(reportInterval)
			g.mu.Lock()
			for _, m := range g.members {
				if m.heartbeat.DataCentre != cut {
					m.lastSeen = now
				}
			}
			g.mu.Unlock()
			g.sendReports(now)
		}
		return heartbeatBytes(scope) - before
	}
	run(4*time.Second, "")
	baseline := run(2*time.Second, "")
	run(4*time.Second, "dc-3")
	if back := run(2*time.Second, ""); back < baseline+(each-1)*50 {
		t.Errorf("%d bytes after the reconnection, %d without changes", back, baseline)
	}
}

// TestRecordsAreDue covers a member that changes, one that is only seen again, and one that does
// not change.
func TestRecordsAreDue(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := &member{owner: 7, name: "entry-1"}
	var x recordSends
	count := func(d time.Duration) int {
		n := 0
		for end := now.Add(d); now.Before(end); now = now.Add(reportInterval) {
			if x.due(now, m) {
				n++
			}
		}
		return n
	}
	if n := count(4 * time.Second); n != changeSends {
		t.Errorf("a new member's record was sent %d times in 4 s", n)
	}
	m.version, m.revision, m.heartbeat.ClockMS, m.heartbeat.ConfirmedAgeMS = 9, 12, 1_700_000_000_000, 17
	if n := count(2 * time.Second); n != 0 {
		t.Errorf("constantly changing values were sent %d times", n)
	}
	m.storeLost = true
	if n := count(2 * time.Second); n != changeSends {
		t.Errorf("a change was sent %d times in 2 s", n)
	}
	if n := count(time.Minute); n < 2 || n > 4 {
		t.Errorf("an unchanged record was sent %d times in a minute", n)
	}
	m.owner = 8
	if n := count(time.Second); n != changeSends {
		t.Errorf("a new incarnation was sent %d times", n)
	}
}

// TestPresence applies the presence of some members and checks that no other member becomes
// live.
func TestPresence(t *testing.T) {
	now := steady.Now()
	g, _ := newFleetGroup(t, now, 4)
	g.mu.Lock()
	defer g.mu.Unlock()
	var relay, living, unlisted *member
	for _, m := range g.members {
		if m.heartbeat.DataCentre != "dc-3" {
			continue
		}
		switch {
		case relay == nil:
			relay = m
		case living == nil:
			living = m
		default:
			unlisted = m
		}
	}
	later := now.Add(20 * time.Second)
	for _, m := range []*member{living, unlisted} {
		m.lastOwner, m.owner = m.owner, 0
	}
	p := presence{DataCentre: "dc-3"}
	p.add(living.lastOwner, 300*time.Millisecond)
	p.add(0x1234, 0) // a member without a record
	p.Members = append(p.Members, 1, 2)
	g.applyPresence(packet{Hop: hopLocal, Presence: &p}, relay, later)
	if living.alive(later) {
		t.Error("a presence that a remote relay sent as local was applied")
	}
	g.applyPresence(packet{Hop: hopRemote, Presence: &p}, relay, later)
	if !living.alive(later) || living.owner == 0 || later.Sub(living.lastSeen) != 300*time.Millisecond {
		t.Errorf("the listed member: %+v", living)
	}
	if unlisted.alive(later) || unlisted.owner != 0 {
		t.Error("a member that was not listed is live")
	}
}
