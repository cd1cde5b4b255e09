package gateway_test

import (
	"foxcross.dev/foxcross/internal/lifecycle"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the dump", func() {
	It("shows settings, endpoints and open requests", func() {
		w := start(platformtest.Hang{}, ok)
		w.store.Put("servers/i-2", w.runners[1].Entry("draining"))
		Eventually(func() bool { return w.gateway.Dump().Endpoints[1].Leaving }).Should(BeTrue())
		done := make(chan reply, 1)
		q := w.request("GET", "/page/1", "")
		go func() { done <- w.do(q) }()
		Eventually(w.runs).Should(Equal(1))
		d := w.gateway.Dump()
		Expect(d.Life).To(Equal(lifecycle.Serving))
		Expect(d.Version).To(BeEquivalentTo(1))
		Expect(d.Following).To(BeTrue())
		Expect(d.Open).To(Equal(1))
		Expect(d.Entries).To(Equal(1))
		Expect(d.Endpoints[0].ID).To(Equal("i-1"))
		Expect(d.Endpoints[0].Requests).To(Equal(1))
		w.runners[0].Close()
		Eventually(done).Should(Receive())
		Expect(w.gateway.Dump().Endpoints[0].Requests).To(BeZero())
	})
})
