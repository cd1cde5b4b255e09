package gateway_test

import (
	"net/http"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// expectRefused expects a refusal with the code that is marked as not run.
func (r reply) expectRefused(code string) {
	GinkgoHelper()
	r.expectWhole(503)
	Expect(r.header.Get("X-Foxcross-Code")).To(HavePrefix(code))
	Expect(r.header.Get("X-Foxcross-Run")).To(Equal("not run"))
	Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
}

var _ = Describe("an evacuated data centre", func() {
	It("gets no new requests until the evacuation ends, and requests are refused if there is no other data centre", func() {
		h := newHarness(okResponse, okResponse)
		h.runners[1].DataCentre = "zone-2"
		h.store.PutEndpoint(h.runners[1], "ready")
		h.store.Evacuate("zone-2")
		Eventually(func() []string { return h.gateway.Dump().Evacuated }).Should(Equal([]string{"zone-2"}))
		for range 20 {
			h.get("/page/1").expectWhole(200)
		}
		Expect(h.runners[1].Runs()).To(BeEmpty())
		h.store.Evacuate("zone-1")
		Eventually(func() []string { return h.gateway.Dump().Evacuated }).Should(Equal([]string{"zone-1", "zone-2"}))
		h.get("/page/1").expectRefused("1210")
		Expect(h.runs()).To(Equal(20))
		h.store.EndEvacuation("zone-2")
		Eventually(func() []string { return h.gateway.Dump().Evacuated }).Should(Equal([]string{"zone-1"}))
		h.get("/page/1").expectWhole(200)
		Expect(h.runners[1].Runs()).To(HaveLen(1))
	})

	It("completes its requests in progress", func() {
		hold := make(chan struct{})
		h := newHarness(platformtest.Events{To: 5, Hold: hold})
		done := make(chan reply, 1)
		q := h.request(http.MethodPost, "/chat/1", "x")
		go func() { done <- h.do(q) }()
		Eventually(h.runs).Should(Equal(1))
		h.store.Evacuate("zone-1")
		Eventually(func() []string { return h.gateway.Dump().Evacuated }).Should(HaveLen(1))
		close(hold)
		var a reply
		Eventually(done).Should(Receive(&a))
		a.expectWhole(200)
		Expect(eventIDs(a.body)).To(Equal(sequence(5)))
	})

	It("does not resume a stream that broke in another data centre", func() {
		hold := make(chan struct{})
		h := newHarness(platformtest.Events{To: 3, Hold: hold, Broken: true}, platformtest.Events{To: 3, Hold: hold, Broken: true})
		h.runners[1].DataCentre = "zone-2"
		h.store.PutEndpoint(h.runners[1], "ready")
		h.store.Evacuate("zone-2")
		Eventually(func() []string { return h.gateway.Dump().Evacuated }).Should(HaveLen(1))
		done := make(chan reply, 1)
		q := h.request(http.MethodPost, "/chat/1", "x")
		go func() { done <- h.do(q) }()
		Eventually(h.runs).Should(Equal(1))
		close(hold)
		var a reply
		Eventually(done).Should(Receive(&a))
		a.expectTruncated()
		Expect(h.runners[1].Runs()).To(BeEmpty())
	})
})

var _ = Describe("a request restricted to regions", func() {
	regions := func(class, team []string) (*harness, func() int) {
		h := newHarness(okResponse, okResponse)
		h.runners[1].DataCentre = "zone-2"
		h.store.PutEndpoint(h.runners[1], "ready")
		h.teamRegions = team
		h.configure([]map[string]any{route("/page/", "idempotent", map[string]any{"allowedRegions": class})}, teamKey)
		Eventually(h.settingsVersion).Should(BeEquivalentTo(h.version))
		Eventually(func() string {
			return h.gateway.Directory().Endpoints().List[1].DataCentre
		}).Should(Equal("zone-2"))
		return h, func() int { return len(h.runners[0].Runs()) }
	}

	It("goes only to endpoints in them", func() {
		h, outside := regions([]string{"region-2"}, nil)
		for range 20 {
			h.get("/page/1").expectWhole(200)
		}
		Expect(outside()).To(BeZero())
	})

	It("is also restricted to its team's regions", func() {
		h, outside := regions(nil, []string{"region-2"})
		for range 20 {
			h.get("/page/1").expectWhole(200)
		}
		Expect(outside()).To(BeZero())
		h.teamRegions = []string{"region-1"}
		h.configure([]map[string]any{route("/page/", "idempotent", map[string]any{"allowedRegions": []string{"region-2"}})}, teamKey)
		Eventually(h.settingsVersion).Should(BeEquivalentTo(h.version))
		h.get("/page/1").expectRefused("1209")
		Expect(outside()).To(BeZero())
	})

	It("is not retried outside of them", func() {
		h, outside := regions([]string{"region-2"}, nil)
		h.runners[1].Enqueue(platformtest.ResetConnection{})
		Expect(h.get("/page/1").status).To(Equal(502))
		Expect(outside()).To(BeZero())
	})
})
