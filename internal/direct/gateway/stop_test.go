package gateway_test

import (
	"net/http"
	"time"

	"foxcross.dev/foxcross/internal/lifecycle"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a graceful shutdown", func() {
	It("is not ready at once, completes open requests and refuses new ones at its end", func() {
		hold := make(chan struct{})
		h := newHarness(platformtest.Events{To: 5, Hold: hold})
		streamed := h.begin("/chat/1")
		stopped := make(chan error, 1)
		go func() { stopped <- h.gateway.Stop(h.server, 20*time.Second) }()
		Eventually(h.gateway.Ready).Should(BeFalse())

		early := make(chan reply, 1)
		go func() { early <- h.do(h.request(http.MethodPost, "/chat/2", "x")) }()
		Eventually(h.runs).Should(Equal(2), "the load balancer still sends requests for a moment")

		Eventually(func() bool { return h.gateway.Refusing() }).Should(BeTrue())
		close(hold)
		var a reply
		Eventually(streamed).Should(Receive(&a))
		a.expectWhole(200)
		Expect(eventIDs(a.body)).To(Equal(sequence(5)))
		Eventually(early).Should(Receive(&a))
		a.expectWhole(200)
		Eventually(stopped).Should(Receive(BeNil()))
		Expect(h.gateway.State()).To(Equal(lifecycle.Stopped))
	})

	It("asks callers to close their connections, and does not run requests that it refuses", func() {
		hold := make(chan struct{})
		h := newHarness(platformtest.Events{To: 5, Hold: hold})
		streamed := h.begin("/chat/1")
		h.gateway.RefuseNow()
		a := serveOnce(h.gateway, h.serverRequest("/page/1"))
		Expect(a.Code).To(Equal(503))
		Expect(a.Header().Get("Connection")).To(Equal("close"))
		Expect(a.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(h.runs()).To(Equal(1))
		close(hold)
		Eventually(streamed).Should(Receive())
	})

	// Guards against requests that are passed on late in the grace period and cut at its end.
	It("refuses a request whose body arrives when new ones are refused", func() {
		hold := make(chan struct{})
		h := newHarness(platformtest.Events{To: 5, Hold: hold})
		streamed := h.begin("/chat/1")
		late, lateBody := h.slowRequest("/book/1", "15000")
		stopped := make(chan error, 1)
		go func() { stopped <- h.gateway.Stop(h.server, 10*time.Second) }()
		Eventually(func() bool { return h.gateway.Refusing() }).WithTimeout(20 * time.Second).Should(BeTrue())
		_, _ = lateBody.Write([]byte("x"))
		a := <-late
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(503))
		Expect(a.header.Get("X-Foxcross-Run")).To(Equal("not run"))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(h.runs()).To(Equal(1))
		close(hold)
		Eventually(streamed).Should(Receive())
		Eventually(stopped).Should(Receive(BeNil()))
	})

	// Guards against connections that are cut without an answer at the end of the grace period.
	It("answers requests that are open at the end of the grace period", func() {
		hold := make(chan struct{})
		DeferCleanup(func() { close(hold) })
		h := newHarness(platformtest.Events{To: 5, Hold: hold})
		answer := h.begin("/book/1")
		Expect(h.gateway.Stop(h.server, 2*time.Second)).NotTo(Succeed())
		var a reply
		Eventually(answer).WithTimeout(time.Second).Should(Receive(&a))
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(504))
		Expect(a.header.Get("X-Foxcross-Run")).To(Equal("unknown"))
	})
})
