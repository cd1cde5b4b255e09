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

// stateOf returns what is known of an endpoint.
func (w *world) stateOf(r *platformtest.Runner) placement.EndpointState {
	GinkgoHelper()
	for _, e := range w.gateway.Dump().Endpoints {
		if e.ID == r.ID {
			return e
		}
	}
	Fail("the endpoint is not known")
	return placement.EndpointState{}
}

// pushBack is a refusal with a Retry-After.
func pushBack(values ...string) platformtest.Refuse {
	return platformtest.Refuse{Status: http.StatusServiceUnavailable, RetryAfter: values}
}

var _ = Describe("an endpoint that asks for a backoff", func() {
	// long is a Retry-After beyond the time of a test.
	const long = "600"

	DescribeTable("is sent to as before after what asks for none", func(act platformtest.Act) {
		w := start(ok)
		w.runners[0].Next(act)
		w.get("/once/1")
		Expect(w.stateOf(w.runners[0]).BackoffMS).To(BeZero())
		w.get("/once/2").whole(http.StatusOK)
	},
		Entry("no field", pushBack()),
		Entry("no time", pushBack("0")),
		Entry("a negative one", pushBack("-3")),
		Entry("no number", pushBack("soon")),
		Entry("not a number", pushBack("NaN")),
		Entry("without end", pushBack("Inf")),
		Entry("longer than is valid", pushBack("1e300")),
		Entry("a date", pushBack("Fri, 01 Jan 2100 00:00:00 GMT")),
		Entry("two fields", pushBack("3", "4")),
		Entry("a list", pushBack("3, 4")),
		Entry("an empty one", pushBack("")),
		Entry("a 429", platformtest.Refuse{Status: http.StatusTooManyRequests, RetryAfter: []string{long}}),
		Entry("a 500", platformtest.Fail{Status: http.StatusInternalServerError, RetryAfter: []string{long}}),
		Entry("another endpoint's 421", platformtest.Refuse{Status: http.StatusMisdirectedRequest, RetryAfter: []string{long}}),
	)

	DescribeTable("gets nothing for the whole time, and then requests again", func(act platformtest.Act) {
		w := start(ok)
		w.runners[0].Next(act)
		began := time.Now()
		w.get("/once/1")
		for time.Since(began) < 400*time.Millisecond {
			Expect(w.get("/once/2").status).NotTo(Equal(http.StatusOK))
		}
		Eventually(func() int { return w.get("/once/3").status }).Should(Equal(http.StatusOK))
		arrivals := w.runners[0].Arrivals()
		Expect(arrivals[1].At.Sub(arrivals[0].At)).To(BeNumerically(">=", 400*time.Millisecond))
	},
		Entry("that says that it did not run the request", pushBack("0.4")),
		Entry("that promises nothing", platformtest.Fail{Status: http.StatusServiceUnavailable, RetryAfter: []string{"0.4"}}),
	)

	It("lets callers know when the first backoff ends, and which it is", func() {
		w := start(pushBack(long), pushBack("60"))
		w.get("/page/1") // refused by both
		refused := w.get("/page/2")
		refused.whole(http.StatusServiceUnavailable)
		Expect(refused.header.Get("X-Foxcross-Code")).To(Equal("1213"))
		Expect(refused.header.Get("X-Foxcross-Run")).To(Equal("not run"))
		after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(BeNumerically("~", 69, 10)) // the delay, and up to three tenths
		Expect(refused.body).To(ContainSubstring("asked for 1m0s without requests"))
		Expect(w.runners[0].Arrivals()).To(HaveLen(1))
		Expect(w.runners[1].Arrivals()).To(HaveLen(1))
	})

	It("lets the caller know whose last attempt it refused", func() {
		w := start(pushBack("60"))
		refused := w.get("/once/1")
		refused.whole(http.StatusServiceUnavailable)
		Expect(refused.header.Get("X-Foxcross-Code")).To(Equal("1213"))
	})

	DescribeTable("gets no request on any path", func(path string, send func(w *world)) {
		w := start(pushBack(long))
		w.get("/once/1")
		send(w)
		Expect(w.runners[0].Arrivals()).To(HaveLen(1))
	},
		Entry("first attempts", "/page/", func(w *world) { w.get("/page/1") }),
		Entry("first attempts that may not be repeated", "/book/", func(w *world) {
			w.do(w.request(http.MethodPost, "/book/1", "a booking"))
		}),
		Entry("retries", "/page/", func(w *world) {
			w.join(platformtest.NewRunner("i-2", service, platformtest.Fail{Status: http.StatusInternalServerError}))
			w.get("/page/1")
			Expect(w.runners[1].Arrivals()).NotTo(BeEmpty())
		}),
		Entry("resumed streams", "/chat/", func(w *world) {
			w.join(platformtest.NewRunner("i-2", service, platformtest.Events{To: 2, Broken: true}))
			w.do(w.request(http.MethodPost, "/chat/1", "a question")).cut()
		}),
		Entry("a request that names it", "/page/", func(w *world) {
			q := w.request(http.MethodGet, "/page/1", "")
			q.Header.Set(platformtest.TargetField, w.runners[0].ID)
			w.do(q)
		}),
		Entry("questions what an engine keeps", platformtest.KeptPath, func(w *world) {
			w.engines(map[string]any{"slots": 4, "kvCapacity": 1000})
			w.gateway.LearnMemory(context.Background(), func(string, string) bool { return true })
		}),
	)

	It("has its request run elsewhere, also one that may not be repeated", func() {
		w := start(pushBack(long), pushBack(long))
		w.join(platformtest.NewRunner("i-3", service, ok))
		for n := range 20 {
			w.do(w.request(http.MethodPost, "/book/"+strconv.Itoa(n), "a booking"))
		}
		Expect(w.runners[0].Arrivals()).To(HaveLen(1))
		Expect(w.runners[1].Arrivals()).To(HaveLen(1))
		Expect(len(w.runners[2].Runs())).To(BeNumerically(">=", 19))
	})

	It("that starts again under its id gets requests at once", func() {
		w := start(pushBack(long))
		first := w.runners[0]
		w.get("/once/1")
		first.Close()
		again := platformtest.NewRunner(first.ID, service, ok)
		again.Born = 7
		DeferCleanup(again.Close)
		w.store.Enter(again, "ready")
		Eventually(func() int { return w.get("/once/2").status }).Should(Equal(http.StatusOK))
	})
})

var _ = Describe("an endpoint that says that it drains", func() {
	const grace = 500 * time.Millisecond

	// allow sets the time within which an endpoint that drains gets requests.
	allow := func(w *world, within time.Duration) {
		w.gateway.SetBounds(driver.Bounds{LeaveWithin: within, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50})
	}

	It("is the last resort, and gets nothing after the grace period, though its record is ready", func() {
		w := start(ok)
		allow(w, grace)
		w.runners[0].Drain("1")
		w.get("/page/1").whole(http.StatusOK)
		began := time.Now()
		w.get("/page/2").whole(http.StatusOK)
		w.join(platformtest.NewRunner("i-2", service, ok))
		w.get("/page/3").whole(http.StatusOK)
		Expect(w.runners[1].Runs()).To(HaveLen(1))
		w.store.Enter(w.runners[0], "ready")
		w.runners[1].SetRest(platformtest.Fail{Status: http.StatusInternalServerError})
		time.Sleep(grace - time.Since(began)) // the end of the grace period
		before := len(w.runners[0].Arrivals())
		w.get("/page/4")
		Expect(w.runners[0].Arrivals()).To(HaveLen(before))
	})

	DescribeTable("is used as before after what says nothing", func(values ...string) {
		w := start(ok)
		w.runners[0].Drain(values...)
		w.get("/page/1").whole(http.StatusOK)
		w.get("/page/2").whole(http.StatusOK)
		Expect(w.stateOf(w.runners[0]).DrainingMS).To(BeZero())
	},
		Entry("another value", "0"),
		Entry("a word", "true"),
		Entry("two fields", "1", "1"),
		Entry("an empty one", ""),
	)

	DescribeTable("is known to drain from any response of its own", func(act platformtest.Act) {
		w := start(act)
		w.runners[0].Drain("1")
		w.get("/once/1")
		Expect(w.stateOf(w.runners[0]).DrainingMS).NotTo(BeZero())
	},
		Entry("a success", ok),
		Entry("a failure", platformtest.Fail{Status: http.StatusInternalServerError}),
		Entry("a refusal", platformtest.Refuse{Status: http.StatusServiceUnavailable}),
	)

	It("is not known to drain by a 421 of another one", func() {
		w := start(platformtest.Refuse{Status: http.StatusMisdirectedRequest})
		w.runners[0].Drain("1")
		w.get("/once/1")
		Expect(w.stateOf(w.runners[0]).DrainingMS).To(BeZero())
	})

	It("keeps the streams that it has", func() {
		w := start(platformtest.Events{To: 3, Pause: 300 * time.Millisecond})
		allow(w, grace)
		w.runners[0].Drain("1")
		w.do(w.request(http.MethodPost, "/plan/1", "a question")).whole(http.StatusOK)
	})
})
