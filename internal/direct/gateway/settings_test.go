package gateway_test

import (
	"net/http"
	"strings"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("settings", func() {
	It("decide the route by the longest prefix, and deny what they lack", func() {
		w := start(ok)
		Eventually(func() int { return w.get("/nowhere/").status }).Should(Equal(http.StatusNotFound), "the settings are confirmed")
		q := w.request(http.MethodGet, "/page/1", "")
		q.Host = "other.example"
		w.do(q).whole(404)
		q = w.request(http.MethodGet, "/page/1", "")
		q.Header.Set(platformtest.KeyField, "no-such-key")
		w.do(q).whole(401)
		q = w.request(http.MethodGet, "/open/1", "")
		q.Header.Del(platformtest.KeyField)
		w.do(q).whole(200)
		Expect(w.runs()).To(Equal(1))
	})

	It("take a key away while its callers are connected", func() {
		w := start(ok)
		w.get("/page/1").whole(200)
		w.configure(routes(), "another-key")
		Eventually(func() int { return w.get("/page/1").status }).Should(Equal(401))
	})

	It("come into force without cutting a stream", func() {
		hold := make(chan struct{})
		w := start(platformtest.Events{To: 5, Hold: hold})
		done := make(chan reply, 1)
		q := w.request(http.MethodPost, "/chat/1", "x")
		go func() { done <- w.do(q) }()
		Eventually(w.runs).Should(Equal(1))
		w.configure(append(routes(), route("/new/", "idempotent", nil)), teamKey)
		Eventually(w.gatewayVersion).Should(BeEquivalentTo(2))
		close(hold)
		var a reply
		Eventually(done).Should(Receive(&a))
		a.whole(200)
		Expect(eventIDs(a.body)).To(Equal(numbers(5)))
	})

	It("are read anew when the history is gone", func() {
		w := start(ok)
		w.store.SetFault(platformtest.Busy)
		w.configure(append(routes(), route("/new/", "idempotent", nil)), teamKey)
		w.store.Forget()
		w.store.SetFault(platformtest.Sound)
		Eventually(func() int { return w.get("/new/1").status }).Should(Equal(200))
	})

	It("stay in force while the store fails, and nothing is denied that may be new", func() {
		for _, f := range []platformtest.Fault{platformtest.Busy, platformtest.Many, platformtest.Reset, platformtest.Silent} {
			w := start(ok)
			w.store.SetFault(f)
			w.get("/page/1").whole(200)
			Eventually(func() int { return w.get("/nowhere/").status }).Should(Equal(503))
			w.store.SetFault(platformtest.Sound)
			Eventually(func() int { return w.get("/nowhere/").status }).Should(Equal(404))
		}
	})

	It("never go back", func() {
		w := start(ok)
		w.version = 5
		w.configure(routes(), teamKey)
		Eventually(w.gatewayVersion).Should(BeEquivalentTo(6))
		w.version = 2
		w.configure(nil)
		w.version = 6
		w.configure(append(routes(), route("/new/", "idempotent", nil)), teamKey)
		Eventually(w.gatewayVersion).Should(BeEquivalentTo(7))
		w.get("/page/1").whole(200)
	})

	It("take endpoints out that are leaving", func() {
		w := start(ok, ok)
		w.store.Put("servers/i-1", w.runners[0].Entry("draining"))
		Eventually(func() bool {
			for _, e := range w.gateway.Directory().Endpoints().List {
				if e.ID == "i-1" {
					return e.Leaving
				}
			}
			return false
		}).Should(BeTrue())
		before := len(w.runners[0].Runs())
		for range 10 {
			w.get("/page/1").whole(200)
		}
		Expect(w.runners[0].Runs()).To(HaveLen(before))
	})

	It("are not asked for before the first has come", func() {
		w := &world{store: platformtest.NewStore()}
		defer w.store.Close()
		w.store.SetFault(platformtest.Silent)
		g := newGateway(w)
		Expect(g.Ready()).To(BeFalse())
		a := serveOnce(g, w.bare("/page/1"))
		Expect(a.Code).To(Equal(503))
		Expect(a.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(strings.TrimSpace(a.Body.String())).To(ContainSubstring("not run"))
	})
})
