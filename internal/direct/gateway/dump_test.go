package gateway_test

import (
	"foxcross.dev/foxcross/internal/lifecycle"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the dump", func() {
	It("contains settings, endpoints and open requests", func() {
		h := newHarness(platformtest.Hang{}, okResponse)
		h.store.Put("servers/i-2", h.runners[1].Record("draining"))
		Eventually(func() bool { return h.gateway.Dump().Endpoints[1].Leaving }).Should(BeTrue())
		done := make(chan reply, 1)
		q := h.request("GET", "/page/1", "")
		go func() { done <- h.do(q) }()
		Eventually(h.runs).Should(Equal(1))
		d := h.gateway.Dump()
		Expect(d.State).To(Equal(lifecycle.Serving))
		Expect(d.Version).To(BeEquivalentTo(1))
		Expect(d.StoreResponds).To(BeTrue())
		Expect(d.OpenRequests).To(Equal(1))
		Expect(d.LiveEntries).To(Equal(1))
		Expect(d.Endpoints[0].ID).To(Equal("i-1"))
		Expect(d.Endpoints[0].Requests).To(Equal(1))
		h.runners[0].Close()
		Eventually(done).Should(Receive())
		Expect(h.gateway.Dump().Endpoints[0].Requests).To(BeZero())
	})
})
