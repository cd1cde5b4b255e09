package gateway_test

import (
	"context"
	"net/http"
	"time"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
	"foxcross.dev/foxcross/internal/testing/suspension"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a machine that was suspended", func() {
	BeforeEach(func() {
		watching, end := context.WithCancel(context.Background())
		DeferCleanup(end)
		go steady.FireAfterSuspension(watching)
	})

	It("fails requests at once whose deadline passed in the meantime", func() {
		h := newHarness(platformtest.Hang{})
		answered := make(chan reply, 1)
		q := h.request(http.MethodGet, "/page/1", "")
		go func() { answered <- h.do(q) }()
		Eventually(h.runs).Should(Equal(1))
		DeferCleanup(suspension.Suspend(time.Minute))
		var a reply
		Eventually(answered, "5s").Should(Receive(&a))
		a.expectWhole(http.StatusGatewayTimeout)
		Eventually(h.runners[0].Abandoned()).Should(Receive(), "the endpoint has to stop its work")
	})

	// Requests that arrived during the suspension are read in the millisecond in which the machine
	// resumes.
	DescribeTable("does not deny requests by settings that were the newest before", func(suspend func(time.Duration) func()) {
		h := newHarness(okResponse)
		Eventually(func() int { return h.get("/nothing").status }).Should(Equal(http.StatusNotFound), "the settings are confirmed")
		h.store.SetFault(platformtest.Busy)
		DeferCleanup(suspend(time.Minute))
		h.get("/nothing").expectWhole(http.StatusServiceUnavailable)
	},
		Entry("after the suspension is noticed", suspension.Suspend),
		Entry("right after it resumes", suspension.SuspendUnnoticed),
	)
})
