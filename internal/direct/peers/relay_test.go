package peers_test

import (
	"fmt"
	"net"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/peers"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Fields of a datagram in the previous version.
const (
	ownerField     = 1
	eventsField    = 4
	heartbeatField = 5
)

// startFleet starts the given number of peers in each of several data centres and waits until
// each has discovered all others.
func startFleet(dataCentres, each int) []*testPeer {
	GinkgoHelper()
	var all []*testPeer
	for c := range dataCentres {
		for n := range each {
			seeds := []string{}
			if len(all) > 0 {
				seeds = append(seeds, all[0].group.Address())
			}
			owner := uint64(len(all) + 1)
			all = append(all, startPeerIn(fmt.Sprint("dc-", c), fmt.Sprintf("entry-%d-%d", c, n), "", owner, seeds...))
		}
	}
	for _, e := range all {
		Eventually(e.group.Live).Should(Equal(len(all)))
	}
	return all
}

// endedAttempts returns the numbers of the attempts whose end was received.
func (e *testPeer) endedAttempts() []uint64 {
	var all []uint64
	for _, x := range e.receivedEvents() {
		if x.Kind == peers.AttemptEnded {
			all = append(all, x.Number)
		}
	}
	return all
}

func endedEvent(number uint64) peers.Event {
	return peers.Event{Kind: peers.AttemptEnded, Number: number, Outcome: placement.Succeeded}
}

// fakePeer is a socket that sends and reads datagrams without running a group.
type fakePeer struct {
	socket *net.UDPConn
	got    chan map[int]cbor.RawMessage
}

// newFakePeer opens a socket that is read until the test ends.
func newFakePeer() *fakePeer {
	GinkgoHelper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	s := &fakePeer{socket: socket, got: make(chan map[int]cbor.RawMessage, 1024)}
	DeferCleanup(socket.Close)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := socket.Read(buffer)
			if err != nil {
				return // closed
			}
			var p map[int]cbor.RawMessage
			if cbor.Unmarshal(buffer[:n], &p) == nil {
				s.got <- p
			}
		}
	}()
	return s
}

// send sends a datagram to a peer.
func (s *fakePeer) send(to *testPeer, datagram any) {
	GinkgoHelper()
	data, err := cbor.Marshal(datagram)
	Expect(err).NotTo(HaveOccurred())
	s.sendBytes(to, data)
}

func (s *fakePeer) sendBytes(to *testPeer, data []byte) {
	GinkgoHelper()
	address, err := net.ResolveUDPAddr("udp4", to.group.Address())
	Expect(err).NotTo(HaveOccurred())
	_, err = s.socket.WriteToUDP(data, address)
	Expect(err).NotTo(HaveOccurred())
}

// sendPeriodically sends a datagram to a peer until the test ends, so that the fake peer stays
// live.
func (s *fakePeer) sendPeriodically(to *testPeer, datagram any) {
	stop := make(chan struct{})
	DeferCleanup(func() { close(stop) })
	data, err := cbor.Marshal(datagram)
	Expect(err).NotTo(HaveOccurred())
	address, err := net.ResolveUDPAddr("udp4", to.group.Address())
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			_, _ = s.socket.WriteToUDP(data, address) // closed when the test ends
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
}

var _ = Describe("peers in several data centres", func() {
	It("receive each event once", func() {
		all := startFleet(3, 3)
		for n, e := range all {
			e.group.Broadcast(endedEvent(uint64(n + 1)))
		}
		for n, e := range all {
			want := []uint64{}
			for other := range all {
				if other != n {
					want = append(want, uint64(other+1))
				}
			}
			Eventually(e.endedAttempts).Should(ConsistOf(want))
			Consistently(e.endedAttempts).WithTimeout(100 * time.Millisecond).Should(ConsistOf(want))
		}
	})

	It("still receive events after relays have stopped", func() {
		all := startFleet(2, 4)
		// Two of four peers in each data centre are relays. If they stop, two others replace them.
		for _, n := range []int{0, 1, 4, 5} {
			all[n].end()
		}
		left := []*testPeer{all[2], all[3], all[6], all[7]}
		number := uint64(100)
		delivered := func() bool {
			number++
			left[0].group.Broadcast(endedEvent(number))
			time.Sleep(30 * time.Millisecond) // between two attempts
			for _, e := range left[1:] {
				if ended := e.endedAttempts(); len(ended) == 0 || ended[len(ended)-1] < number {
					return false
				}
			}
			return true
		}
		Eventually(delivered).WithPolling(time.Millisecond).Should(BeTrue())
		Eventually(left[0].group.Live).Should(Equal(4))
	})

	It("send events to a new data centre and remove one that has no more peers", func() {
		all := startFleet(2, 2)
		late := startPeerIn("dc-9", "late", "", 90, all[3].group.Address())
		for _, e := range append(all, late) {
			Eventually(e.group.Live).Should(Equal(5))
		}
		all[0].group.Broadcast(endedEvent(1))
		Eventually(late.endedAttempts).Should(Equal([]uint64{1}))
		late.group.Broadcast(endedEvent(2))
		for _, e := range all {
			Eventually(e.endedAttempts).Should(ContainElement(uint64(2)))
		}
		all[2].end()
		all[3].end()
		for _, e := range []*testPeer{all[0], all[1], late} {
			Eventually(e.group.Live).Should(Equal(3))
		}
		all[1].group.Broadcast(endedEvent(3))
		Eventually(late.endedAttempts).Should(ContainElement(uint64(3)))
	})

	It("detect that a peer in another data centre is gone and that it restarted", func() {
		all := startFleet(2, 3)
		address := all[5].group.Address()
		all[5].end()
		Eventually(all[0].goneOwners).Should(ContainElement(uint64(6)))
		startPeerIn("dc-1", "entry-1-2", address, 66, all[0].group.Address())
		Eventually(all[0].group.Live).Should(Equal(6))
		Eventually(all[4].group.Live).Should(Equal(6))
	})
})

var _ = Describe("a peer with faulty relays", func() {
	// The fake peer ranks first among the relays, since its read cost is the lowest.
	relayHeartbeat := func(dataCentre string) map[int]any {
		return map[int]any{ownerField: 9, heartbeatField: map[int]any{1: "stranger", 4: -1, 5: -1, 9: true, 10: dataCentre, 8: -1}}
	}

	It("does not use a relay that sends heartbeats but leaves probes unanswered", func() {
		a := startPeerIn("x", "a", "", 1)
		b := startPeerIn("x", "b", "", 2, a.group.Address())
		c := startPeerIn("x", "c", "", 3, a.group.Address())
		frozen, second := newFakePeer(), newFakePeer()
		for _, e := range []*testPeer{a, b, c} {
			Eventually(e.group.Live).Should(Equal(3))
			frozen.sendPeriodically(e, relayHeartbeat("x"))
			other := relayHeartbeat("x")
			other[ownerField] = 10
			second.sendPeriodically(e, other)
			Eventually(e.group.Live).Should(Equal(5))
		}
		number := uint64(0)
		Eventually(func() []uint64 {
			number++
			a.group.Broadcast(endedEvent(number))
			return c.endedAttempts()
		}).WithPolling(20 * time.Millisecond).Should(ContainElement(BeNumerically(">", 0)))
	})

	It("exchanges events directly with peers of the previous version", func() {
		a := startPeerIn("x", "a", "", 1)
		b := startPeerIn("y", "b", "", 2, a.group.Address())
		legacy := newFakePeer()
		heartbeat := map[int]any{ownerField: 7, heartbeatField: map[int]any{1: "former", 4: -1, 5: -1}}
		for _, e := range []*testPeer{a, b} {
			legacy.sendPeriodically(e, heartbeat)
			Eventually(e.group.Live).Should(Equal(3))
		}
		a.group.Broadcast(endedEvent(5))
		Eventually(legacy.got).Should(Receive(HaveKey(eventsField)), "events in the form of the previous version")
		Eventually(legacy.got).Should(Receive(HaveKey(heartbeatField)))
		Eventually(b.endedAttempts).Should(Equal([]uint64{5}))
		for _, e := range []*testPeer{a, b} {
			legacy.send(e, map[int]any{ownerField: 7, eventsField: []peers.Event{endedEvent(6)}})
		}
		Eventually(a.endedAttempts).Should(Equal([]uint64{6}))
		Eventually(b.endedAttempts).Should(Equal([]uint64{5, 6}))
	})

	It("drops datagrams that are forged, too large, unknown or repeated", func() {
		a := startPeerIn("x", "a", "", 1)
		s := newFakePeer()
		s.sendPeriodically(a, relayHeartbeat("x"))
		Eventually(a.group.Live).Should(Equal(2))
		one, err := cbor.Marshal(endedEvent(1))
		Expect(err).NotTo(HaveOccurred())
		section := func(owner, number uint64) []any {
			return []any{owner, number, 0, []cbor.RawMessage{one}}
		}
		packet := func(hop int, sections ...[]any) map[int]any {
			return map[int]any{ownerField: 9, 6: hop, 7: sections}
		}
		s.sendBytes(a, []byte("not a datagram of a peer"))
		s.sendBytes(a, make([]byte, 60_000))
		s.send(a, map[int]any{ownerField: 9, 99: "a field of a later version", 9: 77})
		s.send(a, packet(9, section(9, 1)))                     // an unknown hop
		s.send(a, packet(2, section(9, 1)))                     // from another data centre, but the sender is in the same one
		s.send(a, packet(1, section(8, 1)))                     // with another peer as owner
		s.send(a, packet(3, section(1, 1)))                     // with the receiver as owner
		s.send(a, packet(3, section(0, 1)))                     // without an owner
		s.send(a, packet(3, []any{9, 1, 0, []any{"no event"}})) // an event that can't be decoded
		Consistently(a.receivedEvents).WithTimeout(200 * time.Millisecond).Should(BeEmpty())
		s.send(a, packet(3, section(9, 2)))
		s.send(a, packet(3, section(9, 2)))
		s.send(a, packet(1, section(9, 2)))
		Eventually(a.endedAttempts).Should(Equal([]uint64{1}))
		Consistently(a.endedAttempts).WithTimeout(100 * time.Millisecond).Should(Equal([]uint64{1}))
	})
})
