package gateway_test

import (
	"net/http"
	"strings"

	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the capacity of a process", func() {
	It("limits open requests: those beyond the limit are not run and have a Retry-After", func() {
		hold := make(chan struct{})
		h := newHarnessWithLimits(driver.Limits{Descriptors: 302}, platformtest.Events{To: 2, Hold: hold})
		first := make(chan reply, 1)
		q := h.request(http.MethodPost, "/chat/1", "x")
		go func() { first <- h.do(q) }()
		Eventually(h.runs).Should(Equal(1))
		a := h.do(h.request(http.MethodPost, "/chat/2", "x"))
		a.expectWhole(503)
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(h.runs()).To(Equal(1))
		close(hold)
		Eventually(first).Should(Receive(&a))
		a.expectWhole(200)
		Eventually(func() int { return h.do(h.request(http.MethodPost, "/chat/3", "x")).status }).Should(Equal(200))
	})

	It("limits the total size of bodies", func() {
		h := newHarnessWithLimits(driver.Limits{MemoryBytes: 4000}, okResponse)
		a := h.do(h.request(http.MethodPost, "/book/1", strings.Repeat("x", 1001)))
		a.expectWhole(503)
		Expect(h.runs()).To(BeZero())
		for range 3 { // memory is freed after each request
			h.do(h.request(http.MethodPost, "/book/1", strings.Repeat("x", 900))).expectWhole(200)
		}
	})
})
