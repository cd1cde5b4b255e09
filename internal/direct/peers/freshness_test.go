package peers

import (
	"net"
	"testing"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/suspension"

	"github.com/fxamacker/cbor/v2"
)

// newListedGroup returns a group that is not started, whose list of endpoints has revision 5.
func newListedGroup(t *testing.T, name string, owner uint64) *Group {
	t.Helper()
	d := directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
	d.ReplaceEndpoints(driver.Endpoints{Revision: 5}, "test")
	g, err := New(Options{Name: name, Address: "127.0.0.1:0", Owner: owner, Listener: &keptEvents{}, Directory: d})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.socket.Close() }) // the test is over
	return g
}

// keptEvents is a listener that keeps what it receives.
type keptEvents struct{ events, late []Event }

func (k *keptEvents) HandleEvents(_ uint64, events []Event) { k.events = append(k.events, events...) }
func (k *keptEvents) HandleLateEvents(_ uint64, events []Event) {
	k.late = append(k.late, events...)
}
func (*keptEvents) MemberGone(uint64) {}

func (g *Group) socketAddress() *net.UDPAddr { return g.socket.LocalAddr().(*net.UDPAddr) }

// confirmed returns when the list of endpoints was last known to be the newest.
func (g *Group) confirmed() time.Time {
	return g.options.Directory.(*directory.Directory).EndpointsConfirmed()
}

// TestListIsNotConfirmedFromWhenHeartbeatWasRead guards against old lists that count as the newest after a standstill.
func TestListIsNotConfirmedFromWhenHeartbeatWasRead(t *testing.T) {
	g := newListedGroup(t, "a", 1)
	sentAt := steady.Now()
	p := packet{Owner: 2, Revision: 5, Heartbeat: &heartbeat{Name: "b", ConfirmedAgeMS: unknownAge, EndpointsAgeMS: 1}}
	t.Cleanup(suspension.Suspend(3 * time.Second))
	g.handlePacket(p, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
	if late := g.confirmed().Sub(sentAt); late > 0 {
		t.Errorf("a list counts as the newest %v after its heartbeat was sent", late)
	}
}

// TestSettingsAreNotConfirmedFromWhenHeartbeatWasRead guards against denials by old settings after a standstill.
func TestSettingsAreNotConfirmedFromWhenHeartbeatWasRead(t *testing.T) {
	g := newListedGroup(t, "a", 1)
	d := g.options.Directory.(*directory.Directory)
	d.ApplySettings(3, settings.NewTree(nil), "test")
	sentAt := steady.Now()
	p := packet{Owner: 2, Version: 3, Heartbeat: &heartbeat{Name: "b", ConfirmedAgeMS: 0}}
	t.Cleanup(suspension.Suspend(3 * time.Second))
	g.handlePacket(p, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
	if late := d.Confirmed().Sub(sentAt); late > 0 {
		t.Errorf("settings count as the newest %v after their heartbeat was sent", late)
	}
}

func TestListIsConfirmedByEcho(t *testing.T) {
	a, b := newListedGroup(t, "a", 1), newListedGroup(t, "b", 2)
	b.plan.isRelay = true
	before := steady.Now()
	b.options.Directory.ConfirmEndpoints(5, before)
	stampedAt := steady.Now()
	b.handlePacket(a.newHeartbeatPacket(stampedAt), a.socketAddress())
	claim := b.newHeartbeatPacket(steady.Now())
	t.Cleanup(suspension.Suspend(3 * time.Second)) // the answer waits
	a.handlePacket(claim, b.socketAddress())
	if at := a.confirmed(); at.After(stampedAt) || before.Sub(at) > time.Second {
		t.Errorf("confirmed %v before the list was the newest", before.Sub(at))
	}
}

// TestEventsThatWaitedDuringPauseAreNotLost guards against streams of unknown origin after a standstill.
func TestEventsThatWaitedDuringPauseAreNotLost(t *testing.T) {
	g := newListedGroup(t, "a", 1)
	k := g.options.Listener.(*keptEvents)
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}
	g.handlePacket(packet{Owner: 2, Heartbeat: &heartbeat{Name: "b", Relayed: true}}, from)
	data, encoded := Event{Kind: AttemptSent, Number: 5, Stream: 7}.encode()
	if !encoded {
		t.Fatal("not encoded")
	}
	p := packet{Owner: 2, Hop: hopLocal, Sections: []section{{Owner: 2, Number: 1, Events: []cbor.RawMessage{data}}}}
	g.handlePause(time.Second, steady.Now())
	g.handlePacket(p, from)
	if len(k.late) != 1 || k.late[0].Stream != 7 || len(k.events) != 0 || g.relayQueue.count() != 0 {
		t.Errorf("late events %v, others %v, %d to forward", k.late, k.events, g.relayQueue.count())
	}
}
