package peers_test

import (
	"context"
	"net/http"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/peers"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a peer that asks for the origin of a stream", func() {
	const stream = 1 << 63
	known := peers.Origin{Endpoint: "i-1@5", Service: "pool", Version: "v1", AgeMS: 40}
	tell := peers.OriginHandler(func(asked uint64) (peers.Origin, bool) { return known, asked == stream })
	ask := func(a *testPeer, asked uint64) (peers.Origin, bool) {
		answers := a.group.FindOrigin(context.Background(), asked)
		return answers.Origin, answers.Known
	}

	It("believes the one that knows it", func() {
		a := startPeerIn("x", "a", "", 1)
		startSnapshotPeer(a, tell)
		startSnapshotPeer(a, peers.OriginHandler(func(uint64) (peers.Origin, bool) { return peers.Origin{}, false }))
		Eventually(func() bool { o, found := ask(a, stream); return found && o == known }).Should(BeTrue())
		_, found := ask(a, 5)
		Expect(found).To(BeFalse())
		Eventually(func() int { return a.group.FindOrigin(context.Background(), 5).Count }).Should(Equal(2))
	})

	It("learns nothing from peers of older versions, nor without peers", func() {
		a := startPeerIn("x", "a", "", 1)
		_, found := ask(a, stream)
		Expect(found).To(BeFalse())
		old := startPeerIn("x", "b", "", 2, a.group.Address())
		Eventually(a.group.Live).Should(Equal(2))
		_, found = ask(a, stream)
		Expect(found).To(BeFalse())
		_, found = ask(old, stream)
		Expect(found).To(BeFalse())
	})

	It("does not wait for one that is silent", func() {
		a := startPeerIn("x", "a", "", 1)
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		startSnapshotPeer(a, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		Eventually(a.group.Live).Should(Equal(2))
		from := time.Now()
		answers := a.group.FindOrigin(context.Background(), stream)
		Expect(answers).To(Equal(peers.OriginAnswers{Peers: true}))
		Expect(answers.Silent()).To(BeTrue())
		Expect(time.Since(from)).To(BeNumerically("<", 10*time.Second))
	})
})

var _ = Describe("a list of endpoints that came through a peer of an older build", func() {
	It("gets the versions of endpoints from a peer that has them at the same revision", func() {
		list := func(version string) driver.Endpoints {
			return driver.Endpoints{Revision: 5, List: []placement.Endpoint{{ID: "i-1", Service: "pool", Address: "10.0.0.1:80", Version: version}}}
		}
		a := startPeerIn("x", "a", "", 1)
		a.directory.ReplaceEndpoints(list(""), "peer")
		b := startPeerIn("x", "b", "", 2, a.group.Address())
		b.directory.ReplaceEndpoints(list("v1"), "store")
		Eventually(a.directory.Versioned).WithTimeout(10 * time.Second).Should(BeTrue())
		Expect(a.directory.Endpoints()).To(Equal(list("v1")))
		Expect(b.directory.Endpoints()).To(Equal(list("v1")))
	})
})
