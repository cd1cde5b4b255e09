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
		go steady.Watch(watching)
	})

	It("gives up at once what ran out of time meanwhile", func() {
		w := start(platformtest.Hang{})
		answered := make(chan reply, 1)
		q := w.request(http.MethodGet, "/page/1", "")
		go func() { answered <- w.do(q) }()
		Eventually(w.runs).Should(Equal(1))
		DeferCleanup(suspension.Suspend(time.Minute))
		var a reply
		Eventually(answered, "5s").Should(Receive(&a))
		a.whole(http.StatusGatewayTimeout)
		Eventually(w.runners[0].Left()).Should(Receive(), "the endpoint is to stop its work")
	})

	// Requests that came meanwhile are read in the millisecond in which it wakes.
	DescribeTable("denies nothing by settings that were the newest before", func(suspend func(time.Duration) func()) {
		w := start(ok)
		Eventually(func() int { return w.get("/nothing").status }).Should(Equal(http.StatusNotFound), "the settings are confirmed")
		w.store.SetFault(platformtest.Busy)
		DeferCleanup(suspend(time.Minute))
		w.get("/nothing").whole(http.StatusServiceUnavailable)
	},
		Entry("once it is noticed", suspension.Suspend),
		Entry("right after it has woken", suspension.Waken),
	)
})
