package peers

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/direct/directory"
)

// Parts of the time in which a version is in force everywhere after the loss of all readers.
const (
	detectionTime = keepaliveTimeout + 2*announceInterval // the standby's check may be late by one
	readingTime   = 200 * time.Millisecond                // connect, read and compile
	hopTime       = announceInterval + 100*time.Millisecond
	// spreadingHops are those from the standby to its relay, the relay of another data centre and
	// that one's members.
	spreadingHops = 3
	// promisedTime is how soon a version has to be in force at all peers.
	promisedTime = 2 * time.Second
)

// coreModel is a group of peers in one data centre each, without sockets, in virtual time.
type coreModel struct {
	now    time.Time
	peers  []*Group
	phases []time.Duration // of the heartbeats of each peer
	lost   []bool
}

// modelStart is when a model starts. All peers have long started by then.
var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newCoreModel(size int, random *rand.Rand) *coreModel {
	x := &coreModel{now: modelStart, lost: make([]bool, size)}
	for n := range size {
		g := &Group{options: Options{Name: fmt.Sprint("peer-", n)}, members: map[string]*member{}, startedAt: modelStart.Add(-time.Minute)}
		x.peers = append(x.peers, g)
		x.phases = append(x.phases, time.Duration(random.Int64N(int64(heartbeatInterval))).Truncate(announceInterval))
	}
	for _, g := range x.peers {
		for n, other := range x.peers {
			if other != g {
				name := other.options.Name
				address := &net.UDPAddr{IP: net.IPv4(127, 0, 0, byte(n+1)), Port: 1}
				g.members[name] = &member{name: name, owner: uint64(n + 1), remote: true, address: address, rank: rankOf(name, 0), lastSeen: modelStart, storeResponded: true}
			}
		}
	}
	return x
}

// step advances the time. Heartbeats that are due arrive at once, those of relays as reports.
func (x *coreModel) step() {
	x.now = x.now.Add(announceInterval)
	since := x.now.Sub(modelStart)
	for n, sender := range x.peers {
		if x.lost[n] || (since-x.phases[n])%heartbeatInterval != 0 {
			continue
		}
		sender.updateCore(x.now)
		inCore := map[string]bool{}
		for _, m := range sender.core {
			inCore[m.name] = true
		}
		for k, receiver := range x.peers {
			if k == n || x.lost[k] {
				continue
			}
			m := receiver.members[sender.options.Name]
			m.lastSeen = x.now
			if inCore[receiver.options.Name] {
				m.lastKeepalive = x.now
			}
		}
	}
}

// someReads reports whether a peer that is not lost reads the store.
func (x *coreModel) someReads() bool {
	for n, g := range x.peers {
		if !x.lost[n] && g.roleByRank(x.now) != directory.Follower {
			return true
		}
	}
	return false
}

// lose ends the peers of the set, and returns how long none that is left reads the store.
func (x *coreModel) lose(set func(n int) bool) time.Duration {
	for n := range x.peers {
		x.lost[n] = set(n)
	}
	began := x.now
	for x.now.Sub(began) < promisedTime && !x.someReads() {
		x.step()
	}
	return x.now.Sub(began)
}

// TestLostReadersAreReplacedInTime guards against old settings in force too long after the loss of all readers.
func TestLostReadersAreReplacedInTime(t *testing.T) {
	if total := detectionTime + readingTime + spreadingHops*hopTime; total > promisedTime {
		t.Errorf("detection %v, reading %v and %d hops of %v take %v, more than %v", detectionTime, readingTime, spreadingHops, hopTime, total, promisedTime)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for _, size := range []int{3, 5, coreSize} {
		for lost := range 1<<size - 1 {
			x := newCoreModel(size, random)
			for range 4*heartbeatInterval/announceInterval + time.Duration(random.IntN(10)) {
				x.step()
			}
			if took := x.lose(func(n int) bool { return lost>>n&1 == 1 }); took > detectionTime {
				t.Fatalf("of %d peers, those of the set %b are lost: none reads the store for %v, more than %v", size, lost, took, detectionTime)
			}
		}
	}
}

// TestPausedPeerDoesNotReplaceReaders guards against a peer that takes others for silent after its own pause.
func TestPausedPeerDoesNotReplaceReaders(t *testing.T) {
	x := newCoreModel(5, rand.New(rand.NewPCG(1, 1)))
	for range 4 * heartbeatInterval / announceInterval {
		x.step()
	}
	resumed := x.now.Add(time.Second) // no keepalive is read until then
	for _, g := range x.peers {
		before := g.roleByRank(x.now)
		for _, m := range g.members {
			m.lastSeen = resumed
		}
		g.handlePause(time.Second, resumed)
		if after := g.roleByRank(resumed); after != before {
			t.Errorf("%s: the role changed from %v to %v", g.options.Name, before, after)
		}
	}
}

// TestPeersOfOlderVersionsAreNotSilent guards against standbys beside peers that send no keepalives.
func TestPeersOfOlderVersionsAreNotSilent(t *testing.T) {
	now := modelStart
	old := &member{lastSeen: now}
	if old.silent(now.Add(time.Hour), time.Time{}) {
		t.Error("a peer that never sent a keepalive is silent")
	}
	left := &member{lastKeepalive: now}
	for after, want := range map[time.Duration]bool{
		keepaliveTimeout: false, keepaliveTimeout + 1: true, keepaliveMemory: true, keepaliveMemory + 1: false,
	} {
		if got := left.silent(now.Add(after), time.Time{}); got != want {
			t.Errorf("%v after its last keepalive: %t", after, got)
		}
	}
}
