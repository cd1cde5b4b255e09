package peers_test

import (
	"fmt"
	"time"

	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/peers"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("peers that missed signals", func() {
	crash := func(n int) peers.Event {
		return peers.Event{Kind: peers.EndpointCrashed, Endpoint: fmt.Sprint("i-", n), Runs: []quarantine.RunReport{{Content: []byte{0xab}}}}
	}
	// crashes returns the endpoints of the crashes that a peer has received, in order.
	crashes := func(e *testPeer) []string {
		var all []string
		for _, x := range e.receivedEvents() {
			if x.Kind == peers.EndpointCrashed {
				all = append(all, x.Endpoint)
			}
		}
		return all
	}

	It("fetch them in order, with their ages, also those of a peer that is gone", func() {
		all := startFleet(2, 2)
		all[3].group.Broadcast(crash(1))
		for _, e := range all[:3] {
			Eventually(func() []string { return crashes(e) }).Should(Equal([]string{"i-1"}))
		}
		all[3].end()
		all[0].group.Broadcast(crash(2))
		Eventually(func() []string { return crashes(all[1]) }).Should(HaveLen(2))
		time.Sleep(1100 * time.Millisecond) // older than the age to which other events are reduced
		late := startPeerIn("dc-0", "entry-late", "", 9, all[0].group.Address())
		Eventually(func() []string { return crashes(late) }, "10s").Should(Equal([]string{"i-1", "i-2"}))
		for _, x := range late.receivedEvents() {
			if x.Kind == peers.EndpointCrashed {
				Expect(x.AgeMS).To(BeNumerically(">=", 1000))
			}
		}
		Consistently(func() []string { return crashes(late) }, "1s").Should(HaveLen(2))
	})
})
