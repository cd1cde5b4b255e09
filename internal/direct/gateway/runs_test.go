package gateway_test

import (
	"net/http"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the usage of teams", func() {
	DescribeTable("counts a request once, if an endpoint began to run it", func(method, target string, count int, behaviors ...platformtest.Behavior) {
		h := newHarness(platformtest.Answer{Status: 200, Body: "whole"}, platformtest.Answer{Status: 200, Body: "whole"})
		platformtest.ShareScript(h.runners, behaviors...)
		h.do(h.request(method, target, "x"))
		Expect(h.countedRuns.Load()).To(BeEquivalentTo(count))
	},
		Entry("a response", http.MethodPost, "/page/1", 1, platformtest.Answer{Status: 200, Body: "whole"}),
		Entry("a stream", http.MethodPost, "/chat/1", 1, platformtest.Events{To: 20}),
		Entry("a stream that is resumed at another endpoint", http.MethodPost, "/chat/1", 1,
			platformtest.Events{To: 7, Broken: true}, platformtest.Events{To: 30}),
		Entry("a truncated stream", http.MethodPost, "/plan/1", 1, platformtest.Events{To: 7, Broken: true}),
		Entry("an endpoint error, and a second run", http.MethodPost, "/page/1", 1,
			platformtest.Fail{Status: 500}, platformtest.Answer{Status: 200, Body: "whole"}),
		Entry("an endpoint error", http.MethodPost, "/once/1", 1, platformtest.Fail{Status: 500}),
		Entry("refused by one endpoint and run by another", http.MethodPost, "/page/1", 1,
			platformtest.Refuse{Status: 503}, platformtest.Answer{Status: 200, Body: "whole"}),
		Entry("refused by all", http.MethodPost, "/page/1", 0, platformtest.Refuse{Status: 503}, platformtest.Refuse{Status: 503}),
		Entry("a truncated response", http.MethodPost, "/book/1", 1, platformtest.Truncate{}),
		Entry("no response: the request may have run", http.MethodPost, "/book/1", 0, platformtest.ResetConnection{}),
		Entry("no route", http.MethodPost, "/nowhere/1", 0),
	)

	It("does not count a request without a team", func() {
		h := newHarness(platformtest.Answer{Status: 200, Body: "whole"})
		h.get("/open/1").expectWhole(200)
		Expect(h.countedRuns.Load()).To(BeZero())
	})
})
