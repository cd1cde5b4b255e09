package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stateOf returns the state of an endpoint.
func (h *harness) stateOf(r *platformtest.Runner) placement.EndpointState {
	GinkgoHelper()
	for _, e := range h.gateway.Dump().Endpoints {
		if e.ID == r.ID {
			return e
		}
	}
	Fail("the endpoint is not known")
	return placement.EndpointState{}
}

// backoffRefusal returns a refusal with a Retry-After.
func backoffRefusal(values ...string) platformtest.Refuse {
	return platformtest.Refuse{Status: http.StatusServiceUnavailable, RetryAfter: values}
}

var _ = Describe("an endpoint that asks for a backoff", func() {
	// longDelay is a Retry-After that exceeds the time of a test.
	const longDelay = "600"

	DescribeTable("gets requests as before after a response that asks for none", func(behavior platformtest.Behavior) {
		h := newHarness(okResponse)
		h.runners[0].Enqueue(behavior)
		h.get("/once/1")
		Expect(h.stateOf(h.runners[0]).BackoffMS).To(BeZero())
		h.get("/once/2").expectWhole(http.StatusOK)
	},
		Entry("no field", backoffRefusal()),
		Entry("zero", backoffRefusal("0")),
		Entry("negative", backoffRefusal("-3")),
		Entry("text", backoffRefusal("soon")),
		Entry("not a number", backoffRefusal("NaN")),
		Entry("infinite", backoffRefusal("Inf")),
		Entry("longer than is valid", backoffRefusal("1e300")),
		Entry("a date", backoffRefusal("Fri, 01 Jan 2100 00:00:00 GMT")),
		Entry("two fields", backoffRefusal("3", "4")),
		Entry("a list", backoffRefusal("3, 4")),
		Entry("empty", backoffRefusal("")),
		Entry("a 429", platformtest.Refuse{Status: http.StatusTooManyRequests, RetryAfter: []string{longDelay}}),
		Entry("a 500", platformtest.Fail{Status: http.StatusInternalServerError, RetryAfter: []string{longDelay}}),
		Entry("a 421 for another endpoint", platformtest.Refuse{Status: http.StatusMisdirectedRequest, RetryAfter: []string{longDelay}}),
	)

	DescribeTable("gets no requests for the whole delay, and then requests again", func(behavior platformtest.Behavior) {
		h := newHarness(okResponse)
		h.runners[0].Enqueue(behavior)
		began := time.Now()
		h.get("/once/1")
		for {
			status := h.get("/once/2").status
			if time.Since(began) >= 400*time.Millisecond {
				break // the response may be from after the delay
			}
			Expect(status).NotTo(Equal(http.StatusOK))
		}
		Eventually(func() int { return h.get("/once/3").status }).Should(Equal(http.StatusOK))
		arrivals := h.runners[0].Arrivals()
		Expect(arrivals[1].At.Sub(arrivals[0].At)).To(BeNumerically(">=", 400*time.Millisecond))
	},
		Entry("with a response that reports the request as not run", backoffRefusal("0.4")),
		Entry("with a response that does not", platformtest.Fail{Status: http.StatusServiceUnavailable, RetryAfter: []string{"0.4"}}),
	)

	It("is reported to refused callers, with the end of the first backoff as Retry-After", func() {
		h := newHarness(backoffRefusal(longDelay), backoffRefusal("60"))
		h.get("/page/1") // refused by both
		refused := h.get("/page/2")
		refused.expectWhole(http.StatusServiceUnavailable)
		Expect(refused.header.Get("X-Foxcross-Code")).To(Equal("1213"))
		Expect(refused.header.Get("X-Foxcross-Run")).To(Equal("not run"))
		after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(BeNumerically("~", 69, 10)) // the delay, and up to three tenths of it
		Expect(refused.body).To(ContainSubstring("asked for 1m0s without requests"))
		Expect(h.runners[0].Arrivals()).To(HaveLen(1))
		Expect(h.runners[1].Arrivals()).To(HaveLen(1))
	})

	It("has its backoff reported to the caller whose last attempt it refused", func() {
		h := newHarness(backoffRefusal("60"))
		refused := h.get("/once/1")
		refused.expectWhole(http.StatusServiceUnavailable)
		Expect(refused.header.Get("X-Foxcross-Code")).To(Equal("1213"))
	})

	DescribeTable("gets no request on any path", func(path string, send func(h *harness)) {
		h := newHarness(backoffRefusal(longDelay))
		h.get("/once/1")
		send(h)
		Expect(h.runners[0].Arrivals()).To(HaveLen(1))
	},
		Entry("first attempts", "/page/", func(h *harness) { h.get("/page/1") }),
		Entry("first attempts of non-repeatable requests", "/book/", func(h *harness) {
			h.do(h.request(http.MethodPost, "/book/1", "a booking"))
		}),
		Entry("retries", "/page/", func(h *harness) {
			h.addRunner(platformtest.NewRunner("i-2", service, platformtest.Fail{Status: http.StatusInternalServerError}))
			h.get("/page/1")
			Expect(h.runners[1].Arrivals()).NotTo(BeEmpty())
		}),
		Entry("resumed streams", "/chat/", func(h *harness) {
			h.addRunner(platformtest.NewRunner("i-2", service, platformtest.Events{To: 2, Broken: true}))
			h.do(h.request(http.MethodPost, "/chat/1", "a question")).expectTruncated()
		}),
		Entry("a request that names it as its target", "/page/", func(h *harness) {
			q := h.request(http.MethodGet, "/page/1", "")
			q.Header.Set(platformtest.TargetField, h.runners[0].ID)
			h.do(q)
		}),
		Entry("queries of cached prompt parts", platformtest.CachedPartsPath, func(h *harness) {
			h.engines(map[string]any{"slots": 4, "kvCapacity": 1000})
			h.gateway.QueryCachedParts(context.Background(), func(string, string) bool { return true })
		}),
	)

	It("has its requests run elsewhere, including non-repeatable ones", func() {
		h := newHarness(backoffRefusal(longDelay), backoffRefusal(longDelay))
		h.addRunner(platformtest.NewRunner("i-3", service, okResponse))
		for n := range 20 {
			h.do(h.request(http.MethodPost, "/book/"+strconv.Itoa(n), "a booking"))
		}
		Expect(h.runners[0].Arrivals()).To(HaveLen(1))
		Expect(h.runners[1].Arrivals()).To(HaveLen(1))
		Expect(len(h.runners[2].Runs())).To(BeNumerically(">=", 19))
	})

	It("gets requests at once after it restarts under the same ID", func() {
		h := newHarness(backoffRefusal(longDelay))
		first := h.runners[0]
		h.get("/once/1")
		first.Close()
		again := platformtest.NewRunner(first.ID, service, okResponse)
		again.StartedMS = 7
		DeferCleanup(again.Close)
		h.store.PutEndpoint(again, "ready")
		Eventually(func() int { return h.get("/once/2").status }).Should(Equal(http.StatusOK))
	})
})

var _ = Describe("an endpoint that reports that it is draining", func() {
	const grace = 500 * time.Millisecond

	// setDrainTime sets the time for which a draining endpoint gets requests.
	setDrainTime := func(h *harness, within time.Duration) {
		h.gateway.SetBounds(driver.Bounds{LeaveWithin: within, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50})
	}

	It("is used last, and gets no requests after the grace period although its record is ready", func() {
		h := newHarness(okResponse)
		setDrainTime(h, grace)
		h.runners[0].Drain("1")
		h.get("/page/1").expectWhole(http.StatusOK)
		began := time.Now()
		h.get("/page/2").expectWhole(http.StatusOK)
		h.addRunner(platformtest.NewRunner("i-2", service, okResponse))
		h.get("/page/3").expectWhole(http.StatusOK)
		Expect(h.runners[1].Runs()).To(HaveLen(1))
		h.store.PutEndpoint(h.runners[0], "ready")
		h.runners[1].SetDefault(platformtest.Fail{Status: http.StatusInternalServerError})
		time.Sleep(grace - time.Since(began)) // until the end of the grace period
		before := len(h.runners[0].Arrivals())
		h.get("/page/4")
		Expect(h.runners[0].Arrivals()).To(HaveLen(before))
	})

	DescribeTable("is used as before after an invalid value", func(values ...string) {
		h := newHarness(okResponse)
		h.runners[0].Drain(values...)
		h.get("/page/1").expectWhole(http.StatusOK)
		h.get("/page/2").expectWhole(http.StatusOK)
		Expect(h.stateOf(h.runners[0]).DrainingMS).To(BeZero())
	},
		Entry("another value", "0"),
		Entry("text", "true"),
		Entry("two fields", "1", "1"),
		Entry("empty", ""),
	)

	DescribeTable("is draining after any response of its own", func(behavior platformtest.Behavior) {
		h := newHarness(behavior)
		h.runners[0].Drain("1")
		h.get("/once/1")
		Expect(h.stateOf(h.runners[0]).DrainingMS).NotTo(BeZero())
	},
		Entry("a success", okResponse),
		Entry("an error", platformtest.Fail{Status: http.StatusInternalServerError}),
		Entry("a refusal", platformtest.Refuse{Status: http.StatusServiceUnavailable}),
	)

	It("is not draining after a 421 for another endpoint", func() {
		h := newHarness(platformtest.Refuse{Status: http.StatusMisdirectedRequest})
		h.runners[0].Drain("1")
		h.get("/once/1")
		Expect(h.stateOf(h.runners[0]).DrainingMS).To(BeZero())
	})

	It("completes its streams", func() {
		h := newHarness(platformtest.Events{To: 3, Pause: 300 * time.Millisecond})
		setDrainTime(h, grace)
		h.runners[0].Drain("1")
		h.do(h.request(http.MethodPost, "/plan/1", "a question")).expectWhole(http.StatusOK)
	})
})
