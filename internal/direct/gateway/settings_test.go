package gateway_test

import (
	"net/http"
	"strings"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("settings", func() {
	It("select the route by the longest prefix, and deny unknown routes and keys", func() {
		h := newHarness(okResponse)
		Eventually(func() int { return h.get("/nowhere/").status }).Should(Equal(http.StatusNotFound), "the settings are confirmed")
		q := h.request(http.MethodGet, "/page/1", "")
		q.Host = "other.example"
		h.do(q).expectWhole(404)
		q = h.request(http.MethodGet, "/page/1", "")
		q.Header.Set(platformtest.KeyField, "no-such-key")
		h.do(q).expectWhole(401)
		q = h.request(http.MethodGet, "/open/1", "")
		q.Header.Del(platformtest.KeyField)
		h.do(q).expectWhole(200)
		Expect(h.runs()).To(Equal(1))
	})

	It("revoke a key while its callers are connected", func() {
		h := newHarness(okResponse)
		h.get("/page/1").expectWhole(200)
		h.configure(routes(), "another-key")
		Eventually(func() int { return h.get("/page/1").status }).Should(Equal(401))
	})

	// Guards against an entry that serves any caller once no team has a key.
	It("deny all keys once the last one is taken away, until there is one again", func() {
		h := newHarness(okResponse)
		h.get("/page/1").expectWhole(200)
		h.configure(routes())
		Eventually(func() int { return h.get("/page/1").status }).Should(Equal(401))
		unknown := h.request(http.MethodGet, "/page/1", "")
		unknown.Header.Set(platformtest.KeyField, "no-such-key")
		h.do(unknown).expectWhole(401)
		without := h.request(http.MethodGet, "/page/1", "")
		without.Header.Del(platformtest.KeyField)
		h.do(without).expectWhole(401)
		h.get("/open/1").expectWhole(200)
		h.configure(routes(), teamKey)
		Eventually(func() int { return h.get("/page/1").status }).Should(Equal(200))
	})

	// Guards against a caller that goes on with a stream after the last key was taken away.
	It("let a stream end whose key was the last, and deny its resumption", func() {
		hold := make(chan struct{})
		h := newHarness(platformtest.Events{To: 5, Hold: hold})
		done := make(chan reply, 1)
		q := h.request(http.MethodPost, "/chat/1", "x")
		go func() { done <- h.do(q) }()
		Eventually(h.runs).Should(Equal(1))
		h.configure(routes())
		Eventually(h.settingsVersion).Should(BeEquivalentTo(2))
		close(hold)
		var a reply
		Eventually(done).Should(Receive(&a))
		a.expectWhole(200)
		resumption := h.request(http.MethodPost, "/chat/1", "x")
		resumption.Header.Set(platformtest.LastEventField, "2")
		h.do(resumption).expectWhole(401)
		Expect(h.runs()).To(Equal(1))
	})

	It("are applied without interrupting a stream", func() {
		hold := make(chan struct{})
		h := newHarness(platformtest.Events{To: 5, Hold: hold})
		done := make(chan reply, 1)
		q := h.request(http.MethodPost, "/chat/1", "x")
		go func() { done <- h.do(q) }()
		Eventually(h.runs).Should(Equal(1))
		h.configure(append(routes(), route("/new/", "idempotent", nil)), teamKey)
		Eventually(h.settingsVersion).Should(BeEquivalentTo(2))
		close(hold)
		var a reply
		Eventually(done).Should(Receive(&a))
		a.expectWhole(200)
		Expect(eventIDs(a.body)).To(Equal(sequence(5)))
	})

	It("are read anew when the store's history is gone", func() {
		h := newHarness(okResponse)
		h.store.SetFault(platformtest.Busy)
		h.configure(append(routes(), route("/new/", "idempotent", nil)), teamKey)
		h.store.CompactHistory()
		h.store.SetFault(platformtest.NoFault)
		Eventually(func() int { return h.get("/new/1").status }).Should(Equal(200))
	})

	It("stay active while the store fails, and then deny nothing that a newer version may contain", func() {
		for _, f := range []platformtest.Fault{platformtest.Busy, platformtest.TooManyRequests, platformtest.Reset, platformtest.Silent} {
			h := newHarness(okResponse)
			h.store.SetFault(f)
			h.get("/page/1").expectWhole(200)
			Eventually(func() int { return h.get("/nowhere/").status }).Should(Equal(503))
			h.store.SetFault(platformtest.NoFault)
			Eventually(func() int { return h.get("/nowhere/").status }).Should(Equal(404))
		}
	})

	It("never go back to an older version", func() {
		h := newHarness(okResponse)
		h.version = 5
		h.configure(routes(), teamKey)
		Eventually(h.settingsVersion).Should(BeEquivalentTo(6))
		h.version = 2
		h.configure(nil)
		h.version = 6
		h.configure(append(routes(), route("/new/", "idempotent", nil)), teamKey)
		Eventually(h.settingsVersion).Should(BeEquivalentTo(7))
		h.get("/page/1").expectWhole(200)
	})

	It("exclude endpoints that are leaving", func() {
		h := newHarness(okResponse, okResponse)
		h.store.Put("servers/i-1", h.runners[0].Record("draining"))
		Eventually(func() bool {
			for _, e := range h.gateway.Directory().Endpoints().List {
				if e.ID == "i-1" {
					return e.Leaving
				}
			}
			return false
		}).Should(BeTrue())
		before := len(h.runners[0].Runs())
		for range 10 {
			h.get("/page/1").expectWhole(200)
		}
		Expect(h.runners[0].Runs()).To(HaveLen(before))
	})

	It("are required before requests are served", func() {
		h := &harness{store: platformtest.NewStore()}
		defer h.store.Close()
		h.store.SetFault(platformtest.Silent)
		g := newGateway(h)
		Expect(g.Ready()).To(BeFalse())
		a := serveOnce(g, h.serverRequest("/page/1"))
		Expect(a.Code).To(Equal(503))
		Expect(a.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(strings.TrimSpace(a.Body.String())).To(ContainSubstring("not run"))
	})
})
