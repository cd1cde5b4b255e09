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

// Fields of a datagram, as entries of the former version know them.
const (
	ownerField     = 1
	eventsField    = 4
	heartbeatField = 5
)

// fleet starts so many entries in each of some data centres and waits until all know
// all.
func fleet(centres, each int) []*entry {
	GinkgoHelper()
	var all []*entry
	for c := range centres {
		for n := range each {
			seeds := []string{}
			if len(all) > 0 {
				seeds = append(seeds, all[0].group.Address())
			}
			owner := uint64(len(all) + 1)
			all = append(all, joinIn(fmt.Sprint("dc-", c), fmt.Sprintf("entry-%d-%d", c, n), "", owner, seeds...))
		}
	}
	for _, e := range all {
		Eventually(e.group.Live).Should(Equal(len(all)))
	}
	return all
}

// numbers returns the numbers of the attempts whose ends an entry was told of.
func (e *entry) numbers() []uint64 {
	var all []uint64
	for _, x := range e.heard() {
		if x.Kind == peers.AttemptEnded {
			all = append(all, x.Number)
		}
	}
	return all
}

func end(number uint64) peers.Event {
	return peers.Event{Kind: peers.AttemptEnded, Number: number, Outcome: placement.Succeeded}
}

// stranger is a socket that speaks the form of the datagrams, but is no entry.
type stranger struct {
	socket *net.UDPConn
	got    chan map[int]cbor.RawMessage
}

// newStranger opens a socket that reads until the test ends.
func newStranger() *stranger {
	GinkgoHelper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	s := &stranger{socket: socket, got: make(chan map[int]cbor.RawMessage, 1024)}
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

// send sends a datagram to an entry.
func (s *stranger) send(to *entry, datagram any) {
	GinkgoHelper()
	data, err := cbor.Marshal(datagram)
	Expect(err).NotTo(HaveOccurred())
	s.sendBytes(to, data)
}

func (s *stranger) sendBytes(to *entry, data []byte) {
	GinkgoHelper()
	address, err := net.ResolveUDPAddr("udp4", to.group.Address())
	Expect(err).NotTo(HaveOccurred())
	_, err = s.socket.WriteToUDP(data, address)
	Expect(err).NotTo(HaveOccurred())
}

// beat keeps an entry believing that the stranger is one, until the test ends.
func (s *stranger) beat(to *entry, datagram any) {
	stop := make(chan struct{})
	DeferCleanup(func() { close(stop) })
	data, err := cbor.Marshal(datagram)
	Expect(err).NotTo(HaveOccurred())
	address, err := net.ResolveUDPAddr("udp4", to.group.Address())
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			_, _ = s.socket.WriteToUDP(data, address) // closed at the end
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
}

var _ = Describe("entries in several data centres", func() {
	It("tell each other each event once", func() {
		all := fleet(3, 3)
		for n, e := range all {
			e.group.Broadcast(end(uint64(n + 1)))
		}
		for n, e := range all {
			want := []uint64{}
			for other := range all {
				if other != n {
					want = append(want, uint64(other+1))
				}
			}
			Eventually(e.numbers).Should(ConsistOf(want))
			Consistently(e.numbers).WithTimeout(100 * time.Millisecond).Should(ConsistOf(want))
		}
	})

	It("go on telling when relays end without a word", func() {
		all := fleet(2, 4)
		// Two of four in each data centre are relays; whichever two end, two others follow.
		for _, n := range []int{0, 1, 4, 5} {
			all[n].end()
		}
		left := []*entry{all[2], all[3], all[6], all[7]}
		number := uint64(100)
		told := func() bool {
			number++
			left[0].group.Broadcast(end(number))
			time.Sleep(30 * time.Millisecond) // between two tries
			for _, e := range left[1:] {
				if heard := e.numbers(); len(heard) == 0 || heard[len(heard)-1] < number {
					return false
				}
			}
			return true
		}
		Eventually(told).WithPolling(time.Millisecond).Should(BeTrue())
		Eventually(left[0].group.Live).Should(Equal(4))
	})

	It("tell a data centre that appears, and forget one that empties", func() {
		all := fleet(2, 2)
		late := joinIn("dc-9", "late", "", 90, all[3].group.Address())
		for _, e := range append(all, late) {
			Eventually(e.group.Live).Should(Equal(5))
		}
		all[0].group.Broadcast(end(1))
		Eventually(late.numbers).Should(Equal([]uint64{1}))
		late.group.Broadcast(end(2))
		for _, e := range all {
			Eventually(e.numbers).Should(ContainElement(uint64(2)))
		}
		all[2].end()
		all[3].end()
		for _, e := range []*entry{all[0], all[1], late} {
			Eventually(e.group.Live).Should(Equal(3))
		}
		all[1].group.Broadcast(end(3))
		Eventually(late.numbers).Should(ContainElement(uint64(3)))
	})

	It("notice an entry of another data centre that is gone, and one that started anew", func() {
		all := fleet(2, 3)
		address := all[5].group.Address()
		all[5].end()
		Eventually(all[0].gone).Should(ContainElement(uint64(6)))
		joinIn("dc-1", "entry-1-2", address, 66, all[0].group.Address())
		Eventually(all[0].group.Live).Should(Equal(6))
		Eventually(all[4].group.Live).Should(Equal(6))
	})
})

var _ = Describe("an entry beside relays that do not do their part", func() {
	// The stranger is taken for the best relay, since reading costs it the least.
	relayHeartbeat := func(dataCentre string) map[int]any {
		return map[int]any{ownerField: 9, heartbeatField: map[int]any{1: "stranger", 4: -1, 5: -1, 9: true, 10: dataCentre, 8: -1}}
	}

	It("passes over one that is heard but does not answer", func() {
		a := joinIn("x", "a", "", 1)
		b := joinIn("x", "b", "", 2, a.group.Address())
		c := joinIn("x", "c", "", 3, a.group.Address())
		frozen, second := newStranger(), newStranger()
		for _, e := range []*entry{a, b, c} {
			Eventually(e.group.Live).Should(Equal(3))
			frozen.beat(e, relayHeartbeat("x"))
			other := relayHeartbeat("x")
			other[ownerField] = 10
			second.beat(e, other)
			Eventually(e.group.Live).Should(Equal(5))
		}
		number := uint64(0)
		Eventually(func() []uint64 {
			number++
			a.group.Broadcast(end(number))
			return c.numbers()
		}).WithPolling(20 * time.Millisecond).Should(ContainElement(BeNumerically(">", 0)))
	})

	It("tells entries of the former version by itself, and is told by them", func() {
		a := joinIn("x", "a", "", 1)
		b := joinIn("y", "b", "", 2, a.group.Address())
		former := newStranger()
		heartbeat := map[int]any{ownerField: 7, heartbeatField: map[int]any{1: "former", 4: -1, 5: -1}}
		for _, e := range []*entry{a, b} {
			former.beat(e, heartbeat)
			Eventually(e.group.Live).Should(Equal(3))
		}
		a.group.Broadcast(end(5))
		Eventually(former.got).Should(Receive(HaveKey(eventsField)), "the events as the former version reads them")
		Eventually(former.got).Should(Receive(HaveKey(heartbeatField)))
		Eventually(b.numbers).Should(Equal([]uint64{5}))
		for _, e := range []*entry{a, b} {
			former.send(e, map[int]any{ownerField: 7, eventsField: []peers.Event{end(6)}})
		}
		Eventually(a.numbers).Should(Equal([]uint64{6}))
		Eventually(b.numbers).Should(Equal([]uint64{5, 6}))
	})

	It("leaves out what is forged, too large, unknown or told twice", func() {
		a := joinIn("x", "a", "", 1)
		s := newStranger()
		s.beat(a, relayHeartbeat("x"))
		Eventually(a.group.Live).Should(Equal(2))
		one, err := cbor.Marshal(end(1))
		Expect(err).NotTo(HaveOccurred())
		section := func(owner, number uint64) []any {
			return []any{owner, number, 0, []cbor.RawMessage{one}}
		}
		packet := func(hop int, sections ...[]any) map[int]any {
			return map[int]any{ownerField: 9, 6: hop, 7: sections}
		}
		s.sendBytes(a, []byte("no datagram of an entry"))
		s.sendBytes(a, make([]byte, 60_000))
		s.send(a, map[int]any{ownerField: 9, 99: "a field of a later version", 9: 77})
		s.send(a, packet(9, section(9, 1)))                     // an unknown hop
		s.send(a, packet(2, section(9, 1)))                     // from another data centre, where it is not
		s.send(a, packet(1, section(8, 1)))                     // in the name of another entry
		s.send(a, packet(3, section(1, 1)))                     // in the receiver's own name
		s.send(a, packet(3, section(0, 1)))                     // in nobody's
		s.send(a, packet(3, []any{9, 1, 0, []any{"no event"}})) // what can't be read
		Consistently(a.heard).WithTimeout(200 * time.Millisecond).Should(BeEmpty())
		s.send(a, packet(3, section(9, 2)))
		s.send(a, packet(3, section(9, 2)))
		s.send(a, packet(1, section(9, 2)))
		Eventually(a.numbers).Should(Equal([]uint64{1}))
		Consistently(a.numbers).WithTimeout(100 * time.Millisecond).Should(Equal([]uint64{1}))
	})
})
