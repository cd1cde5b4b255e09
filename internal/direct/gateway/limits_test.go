package gateway_test

import (
	"net/http"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// limitOf returns the limit that is known of an endpoint.
func (w *world) limitOf(r *platformtest.Runner) float64 {
	for _, e := range w.gateway.Dump().Endpoints {
		if e.ID == r.ID {
			return e.Limit
		}
	}
	return -1
}

// join adds an endpoint to those that are listed.
func (w *world) join(r *platformtest.Runner) {
	w.runners = append(w.runners, r)
	w.store.Enter(r, "ready")
	Eventually(func() int { return len(w.gateway.Directory().Endpoints().List) }).Should(Equal(len(w.runners)))
}

var _ = Describe("an endpoint that names a limit", func() {
	// fewest is a limit of which nothing is left for the time of a test once one was sent.
	const fewest = "0.05"

	DescribeTable("is not limited by what is no limit", func(values ...string) {
		w := start(ok)
		w.runners[0].NameLimit(values...)
		w.get("/page/1").whole(http.StatusOK)
		Expect(w.limitOf(w.runners[0])).To(BeZero())
		w.get("/page/2").whole(http.StatusOK)
	},
		Entry("no number", "many"),
		Entry("not a number", "NaN"),
		Entry("a negative one", "-1"),
		Entry("more than all", "Inf"),
		Entry("two fields", "1", "2"),
		Entry("a list", "1, 2"),
		Entry("nothing", ""),
	)

	DescribeTable("is limited by what can be kept to", func(value string, want float64) {
		w := start(ok)
		w.runners[0].NameLimit(value)
		w.get("/page/1").whole(http.StatusOK)
		Expect(w.limitOf(w.runners[0])).To(Equal(want))
	},
		Entry("a decimal number", "2.25", 2.25),
		Entry("none at all is raised", "0", 0.05),
		Entry("a huge one is lowered", "1e300", 1e6),
	)

	It("is limited by an answer that it did not run the request", func() {
		w := start(ok)
		w.runners[0].NameLimit("3")
		w.runners[0].Next(platformtest.Refuse{Status: http.StatusServiceUnavailable})
		w.get("/once/1")
		Expect(w.limitOf(w.runners[0])).To(Equal(3.0))
	})

	It("is limited until an answer names none", func() {
		w := start(ok)
		w.runners[0].NameLimit("500")
		w.get("/page/1").whole(http.StatusOK)
		w.runners[0].NameLimit()
		Eventually(func() float64 {
			w.get("/page/2")
			return w.limitOf(w.runners[0])
		}).Should(BeZero())
	})

	It("stays limited where an answer without one is a failure", func() {
		w := start(ok)
		w.runners[0].NameLimit("500")
		w.get("/page/1").whole(http.StatusOK)
		w.runners[0].NameLimit()
		time.Sleep(100 * time.Millisecond) // what is sent now was sent after it had been named
		w.runners[0].Next(platformtest.Fail{Status: http.StatusInternalServerError})
		w.get("/once/1")
		Expect(w.limitOf(w.runners[0])).To(Equal(500.0))
	})

	It("lets callers know when there is room where no other one is left", func() {
		w := start(ok)
		w.runners[0].NameLimit(fewest)
		w.get("/page/1").whole(http.StatusOK)
		refused := w.get("/page/2")
		refused.whole(http.StatusServiceUnavailable)
		Expect(refused.header.Get("X-Foxcross-Code")).To(Equal("1212"))
		Expect(refused.header.Get("X-Foxcross-Run")).To(Equal("not run"))
		Expect(refused.header.Get("Retry-After")).To(Equal("2"))
		Expect(refused.body).To(ContainSubstring("i-1 takes 0.05 requests a second"))
		Expect(w.runs()).To(Equal(1))
	})

	It("gets no retry", func() {
		w := start(ok)
		w.runners[0].NameLimit(fewest)
		w.get("/page/1").whole(http.StatusOK)
		w.join(platformtest.NewRunner("i-2", service, platformtest.Fail{Status: http.StatusInternalServerError}))
		Expect(w.get("/page/2").status).To(BeNumerically(">=", http.StatusInternalServerError))
		Expect(w.runners[0].Runs()).To(HaveLen(1))
		Expect(w.runners[1].Runs()).NotTo(BeEmpty())
	})

	It("gets no resumed stream", func() {
		w := start(ok)
		w.runners[0].NameLimit(fewest)
		w.get("/page/1").whole(http.StatusOK)
		w.join(platformtest.NewRunner("i-2", service, platformtest.Events{To: 2, Broken: true}))
		w.do(w.request(http.MethodPost, "/chat/1", "a question")).cut()
		Expect(w.runners[0].Runs()).To(HaveLen(1))
	})

	It("that starts again under its id is limited no more", func() {
		w := start(ok)
		first := w.runners[0]
		first.NameLimit(fewest)
		w.get("/page/1").whole(http.StatusOK)
		first.Close()
		again := platformtest.NewRunner(first.ID, service, ok)
		again.Born = 7
		DeferCleanup(again.Close)
		w.store.Enter(again, "ready")
		Eventually(func() float64 { return w.limitOf(again) }).Should(BeZero())
		w.get("/page/2").whole(http.StatusOK)
	})
})
