package gateway_test

import (
	"net/http"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// limitOf returns the known limit of an endpoint.
func (h *harness) limitOf(r *platformtest.Runner) float64 {
	for _, e := range h.gateway.Dump().Endpoints {
		if e.ID == r.ID {
			return e.Limit
		}
	}
	return -1
}

// addRunner adds a runner to the listed endpoints.
func (h *harness) addRunner(r *platformtest.Runner) {
	h.runners = append(h.runners, r)
	h.store.PutEndpoint(r, "ready")
	Eventually(func() int { return len(h.gateway.Directory().Endpoints().List) }).Should(Equal(len(h.runners)))
}

var _ = Describe("an endpoint that advertises a rate limit", func() {
	// lowLimit is a limit that allows no second request within the time of a test.
	const lowLimit = "0.05"

	DescribeTable("is not limited by an invalid value", func(values ...string) {
		h := newHarness(okResponse)
		h.runners[0].AdvertiseLimit(values...)
		h.get("/page/1").expectWhole(http.StatusOK)
		Expect(h.limitOf(h.runners[0])).To(BeZero())
		h.get("/page/2").expectWhole(http.StatusOK)
	},
		Entry("text", "many"),
		Entry("not a number", "NaN"),
		Entry("negative", "-1"),
		Entry("infinite", "Inf"),
		Entry("two fields", "1", "2"),
		Entry("a list", "1, 2"),
		Entry("nothing", ""),
	)

	DescribeTable("is limited by a valid value, adjusted to the bounds", func(value string, want float64) {
		h := newHarness(okResponse)
		h.runners[0].AdvertiseLimit(value)
		h.get("/page/1").expectWhole(http.StatusOK)
		Expect(h.limitOf(h.runners[0])).To(Equal(want))
	},
		Entry("decimal", "2.25", 2.25),
		Entry("zero is raised", "0", 0.05),
		Entry("too large is lowered", "1e300", 1e6),
	)

	It("is limited by a response that reports the request as not run", func() {
		h := newHarness(okResponse)
		h.runners[0].AdvertiseLimit("3")
		h.runners[0].Enqueue(platformtest.Refuse{Status: http.StatusServiceUnavailable})
		h.get("/once/1")
		Expect(h.limitOf(h.runners[0])).To(Equal(3.0))
	})

	It("is limited until a response has no limit", func() {
		h := newHarness(okResponse)
		h.runners[0].AdvertiseLimit("500")
		h.get("/page/1").expectWhole(http.StatusOK)
		h.runners[0].AdvertiseLimit()
		Eventually(func() float64 {
			h.get("/page/2")
			return h.limitOf(h.runners[0])
		}).Should(BeZero())
	})

	It("stays limited after an error response without a limit", func() {
		h := newHarness(okResponse)
		h.runners[0].AdvertiseLimit("500")
		h.get("/page/1").expectWhole(http.StatusOK)
		h.runners[0].AdvertiseLimit()
		time.Sleep(100 * time.Millisecond) // requests sent from now on are sent after the limit was received
		h.runners[0].Enqueue(platformtest.Fail{Status: http.StatusInternalServerError})
		h.get("/once/1")
		Expect(h.limitOf(h.runners[0])).To(Equal(500.0))
	})

	It("is named in the refusal with a Retry-After if no other endpoint is left", func() {
		h := newHarness(okResponse)
		h.runners[0].AdvertiseLimit(lowLimit)
		h.get("/page/1").expectWhole(http.StatusOK)
		refused := h.get("/page/2")
		refused.expectWhole(http.StatusServiceUnavailable)
		Expect(refused.header.Get("X-Foxcross-Code")).To(Equal("1212"))
		Expect(refused.header.Get("X-Foxcross-Run")).To(Equal("not run"))
		Expect(refused.header.Get("Retry-After")).To(Equal("2"))
		Expect(refused.body).To(ContainSubstring("i-1 takes 0.05 requests a second"))
		Expect(h.runs()).To(Equal(1))
	})

	It("gets no retry", func() {
		h := newHarness(okResponse)
		h.runners[0].AdvertiseLimit(lowLimit)
		h.get("/page/1").expectWhole(http.StatusOK)
		h.addRunner(platformtest.NewRunner("i-2", service, platformtest.Fail{Status: http.StatusInternalServerError}))
		Expect(h.get("/page/2").status).To(BeNumerically(">=", http.StatusInternalServerError))
		Expect(h.runners[0].Runs()).To(HaveLen(1))
		Expect(h.runners[1].Runs()).NotTo(BeEmpty())
	})

	It("gets no resumed stream", func() {
		h := newHarness(okResponse)
		h.runners[0].AdvertiseLimit(lowLimit)
		h.get("/page/1").expectWhole(http.StatusOK)
		h.addRunner(platformtest.NewRunner("i-2", service, platformtest.Events{To: 2, Broken: true}))
		h.do(h.request(http.MethodPost, "/chat/1", "a question")).expectTruncated()
		Expect(h.runners[0].Runs()).To(HaveLen(1))
	})

	It("is not limited after it restarts under the same ID", func() {
		h := newHarness(okResponse)
		first := h.runners[0]
		first.AdvertiseLimit(lowLimit)
		h.get("/page/1").expectWhole(http.StatusOK)
		first.Close()
		again := platformtest.NewRunner(first.ID, service, okResponse)
		again.StartedMS = 7
		DeferCleanup(again.Close)
		h.store.PutEndpoint(again, "ready")
		Eventually(func() float64 { return h.limitOf(again) }).Should(BeZero())
		h.get("/page/2").expectWhole(http.StatusOK)
	})
})
