package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var okResponse = platformtest.Answer{Status: 200, Body: "the whole answer"}

var _ = Describe("forwarding", func() {
	It("forwards the request unchanged except for the fields that the entry owns", func() {
		h := newHarness(okResponse)
		q := h.request(http.MethodPost, "/book/a%2Fb/../c?page=3&sort=new", "the body")
		q.Header.Set(platformtest.TeamField, "somebody-else")
		q.Header.Set("X-Own", "kept")
		q.Header.Set("Connection", "X-Hop")
		q.Header.Set("X-Hop", "dropped")
		a := h.do(q)
		a.expectWhole(200)
		Expect(a.body).To(Equal("the whole answer"))
		Expect(a.header.Get(platformtest.SealField)).To(Equal("seal-" + q.Header.Get(platformtest.RequestIDField)))
		run := h.runners[0].Runs()[0]
		Expect(run.Method).To(Equal("POST"))
		Expect(run.Target).To(Equal("/book/a%2Fb/../c?page=3&sort=new"))
		Expect(string(run.Body)).To(Equal("the body"))
		Expect(run.Host).To(Equal(routeHost))
		Expect(run.Header.Get(platformtest.KeyField)).To(BeEmpty())
		Expect(run.Header.Get(platformtest.TeamField)).To(Equal("studio-1"))
		Expect(run.Header.Get(platformtest.TargetField)).To(Equal("i-1"))
		Expect(run.Header.Get("X-Own")).To(Equal("kept"))
		Expect(run.Header).NotTo(HaveKey("X-Hop"))
		left, err := strconv.Atoi(run.Header.Get(platformtest.DeadlineField))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(BeNumerically("<=", 15000))
		Expect(left).To(BeNumerically(">", 10000))
	})

	DescribeTable("does not forward fields that only the system may set", func(field, value string) {
		h := newHarness(okResponse)
		for _, name := range []string{field, strings.ToLower(field)} {
			q := h.request(http.MethodPost, "/book/", "the body")
			q.Header[name] = []string{value}
			h.do(q).expectWhole(200)
		}
		runs := h.runners[0].Runs()
		Expect(runs).To(HaveLen(2))
		for _, r := range runs {
			Expect(r.Header).NotTo(HaveKey(field))
		}
	},
		Entry("resumption of a run", "Kv-From", "10.0.0.1:1/x"),
		Entry("source of a fetch", platformtest.FetchField, "10.0.0.1:1"),
		Entry("reserved slot", "X-Kv-Hold", "h-1"),
		Entry("replica", "X-Kv-Replica", "10.0.0.1:1"),
		Entry("pin", "X-Pin-Ms", "4000"),
		Entry("version of the weights", "X-Expected-Version", "7"),
	)

	It("reuses a connection", func() {
		h := newHarness(okResponse)
		for range 5 {
			h.get("/page/1").expectWhole(200)
		}
		Expect(h.runners[0].ConnectionCount()).To(Equal(1))
	})

	It("runs a non-repeatable request at most once and does not report it as not run", func() {
		h := newHarness(platformtest.ResetConnection{}, platformtest.ResetConnection{})
		a := h.do(h.request(http.MethodPost, "/book/1", "x"))
		a.expectWhole(502)
		Expect(h.runs()).To(Equal(1))
	})

	It("repeats a repeatable request at another endpoint, within the route's attempts", func() {
		h := newHarness(platformtest.ResetConnection{}, platformtest.ResetConnection{}, platformtest.ResetConnection{})
		h.get("/page/1").expectWhole(502)
		Expect(h.runs()).To(Equal(2))
		for _, r := range h.runners {
			Expect(len(r.Runs())).To(BeNumerically("<=", 1))
		}
	})

	It("does not retry a request whose route allows one attempt", func() {
		h := newHarness(platformtest.ResetConnection{}, platformtest.ResetConnection{})
		h.get("/once/1").expectWhole(502)
		Expect(h.runs()).To(Equal(1))
	})

	It("reports that a request was not run only if the endpoint does", func() {
		h := newHarness(platformtest.Refuse{Status: 503})
		a := h.do(h.request(http.MethodPost, "/book/1", "x"))
		a.expectWhole(503)
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(h.runs()).To(Equal(0))
	})

	It("does not relay a status that implies not run without the endpoint's field", func() {
		for _, status := range []int{503, 429, 408} {
			h := newHarness(platformtest.Fail{Status: status})
			h.do(h.request(http.MethodPost, "/book/1", "x")).expectWhole(502)
		}
	})

	It("does not report a request as not run after a first attempt that may have run", func() {
		h := newHarness(okResponse, okResponse)
		for _, behaviors := range [][]platformtest.Behavior{
			{platformtest.ResetConnection{}, platformtest.Refuse{Status: 503}},
			{platformtest.Refuse{Status: 503}, platformtest.ResetConnection{}},
			{platformtest.ResetConnection{}, platformtest.ResetConnection{}},
		} {
			platformtest.ShareScript(h.runners, behaviors...)
			a := h.get("/page/1")
			a.expectWhole(502)
			Expect(a.header.Get("Retry-After")).To(BeEmpty())
		}
	})

	It("reports a request refused by all endpoints as not run", func() {
		h := newHarness(okResponse, okResponse)
		platformtest.ShareScript(h.runners, platformtest.Refuse{Status: 503}, platformtest.Refuse{Status: 503})
		a := h.get("/page/1")
		a.expectWhole(503)
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(h.runs()).To(BeZero())
	})

	It("relays an endpoint's own error unchanged", func() {
		h := newHarness(platformtest.Answer{Status: 500, Body: "its words"})
		a := h.do(h.request(http.MethodPost, "/book/1", "x"))
		a.expectWhole(500)
		Expect(a.body).To(Equal("its words"))
		Expect(a.header.Get(platformtest.SealField)).NotTo(BeEmpty())
	})

	It("matches responses to requests by their IDs", func() {
		h := newHarness(okResponse)
		h.runners[0].Enqueue(platformtest.WrongResponseFirst{}, platformtest.ExtraResponse{})
		for range 3 {
			a := h.get("/once/1")
			a.expectWhole(200)
			Expect(a.body).To(BeElementOf("right", "the whole answer"))
		}
		Expect(h.runners[0].ConnectionCount()).To(Equal(3), "a connection with surplus responses is not reused")
	})

	It("rejects invalid responses", func() {
		h := newHarness(okResponse)
		h.runners[0].Enqueue(platformtest.Garbage{}, platformtest.Unsealed{}, platformtest.Truncate{})
		for range 3 {
			h.get("/once/1").expectWhole(502)
		}
	})

	// Guards against a false "not run", or none at all, where an endpoint floods its caller.
	It("cuts off a response without end, and repeats the request only if it may", func() {
		h := newHarness(platformtest.Flood{Piece: "x"}, okResponse)
		for range 8 {
			h.get("/page/1").expectWhole(200)
		}
		Expect(len(h.runners[0].Runs())).To(BeNumerically(">", 0))
		h.runners[1].SetDefault(platformtest.Flood{Piece: "x"})
		a := h.do(h.request(http.MethodPost, "/book/1", ""))
		a.expectWhole(502)
		Expect(a.header.Get("X-Foxcross-Run")).To(Equal("unknown"))
	})

	It("relays a response without a length, unless its connection is reset", func() {
		h := newHarness(okResponse)
		h.runners[0].Enqueue(platformtest.Unframed{Body: "all of it"}, platformtest.Unframed{Body: "part of it", Broken: true})
		a := h.get("/once/1")
		a.expectWhole(200)
		Expect(a.body).To(Equal("all of it"))
		h.get("/once/1").expectWhole(502)
	})

	// Guards against truncated responses that are taken for complete. An endpoint starts a response
	// without a length and crashes while it runs another request. Its connections are then closed
	// in the same way as after a complete response, so a caller took "cut" for a whole response,
	// and a stream without events for complete (each once in some 20 runs with random faults and
	// crashes).
	It("treats a response without a length as truncated if its endpoint crashed", func() {
		for _, target := range []string{"/once/1", "/chat/1"} {
			h := newHarness(okResponse)
			crash := make(chan struct{})
			h.runners[0].Enqueue(platformtest.Crash{After: crash, Partial: "part of it"})
			answered := make(chan reply, 1)
			go func() { answered <- h.get(target) }()
			Eventually(h.runs).Should(Equal(1))
			close(crash)
			var a reply
			Eventually(answered, "5s").Should(Receive(&a))
			Expect(a.status == 200 && a.err == nil).To(BeFalse(), target)
		}
	})

	It("does not reuse a connection whose request was answered early", func() {
		h := newHarness(okResponse)
		h.runners[0].Enqueue(platformtest.Early{Status: 400})
		h.do(h.request(http.MethodPost, "/once/1", strings.Repeat("x", 900<<10))).expectWhole(400)
		h.get("/once/2").expectWhole(200)
		for _, run := range h.runners[0].Runs() {
			Expect(run.Target).To(HavePrefix("/once/"))
		}
	})

	It("uses another endpoint if a listed address belongs to a different endpoint", func() {
		h := newHarness(okResponse, okResponse)
		e := h.runners[0].Record("ready")
		h.store.Put("servers/i-ghost", e)
		Eventually(func() int { return len(h.gateway.Directory().Endpoints().List) }).Should(Equal(3))
		for range 12 {
			Expect(h.get("/page/1").status).To(Equal(200))
		}
		for _, r := range h.runners {
			for _, run := range r.Runs() {
				Expect(run.Header.Get(platformtest.TargetField)).To(Equal(r.ID))
			}
		}
	})

	It("tries another endpoint if no connection can be established", func() {
		h := newHarness(okResponse, okResponse)
		h.runners[0].Close()
		for range 10 {
			h.do(h.request(http.MethodPost, "/book/1", "x")).expectWhole(200)
		}
	})

	It("does not count a failure of the endpoint if the caller leaves during a long response", func() {
		h := newHarness(platformtest.Answer{Status: 200, Body: strings.Repeat("x", 16<<20)})
		q := h.request(http.MethodGet, "/page/1", "")
		ctx, leave := context.WithCancel(context.Background())
		a, err := h.client.Do(q.WithContext(ctx))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(a.Body, make([]byte, 1000))
		Expect(err).NotTo(HaveOccurred())
		leave()
		_ = a.Body.Close()
		Eventually(func() int { return h.gateway.Dump().OpenRequests }, "10s").Should(BeZero())
		Expect(h.gateway.Dump().Endpoints[0].Failures).To(BeZero())
	})

	It("cancels the endpoint's work when the caller leaves", func() {
		h := newHarness(platformtest.Hang{})
		q := h.request(http.MethodGet, "/page/1", "")
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan reply, 1)
		go func() { done <- h.do(q.WithContext(ctx)) }()
		Eventually(h.runs).Should(Equal(1))
		cancel()
		Eventually(h.runners[0].Abandoned()).Should(Receive(Equal(q.Header.Get(platformtest.RequestIDField))))
		Eventually(done).Should(Receive())
	})

	It("answers when the route's timeout is over", func() {
		h := newHarness(platformtest.Hang{})
		h.get("/short/1").expectWhole(504)
		Eventually(h.runners[0].Abandoned()).Should(Receive())
	})

	It("refuses a request as not run when no endpoint is known", func() {
		h := newHarness(okResponse)
		h.store.Remove("servers/i-1")
		Eventually(func() int { return len(h.gateway.Directory().Endpoints().List) }).Should(Equal(0))
		a := h.get("/page/1")
		a.expectWhole(503)
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("refuses a body or header that exceeds the limits", func() {
		h := newHarness(okResponse)
		h.do(h.request(http.MethodPost, "/book/1", strings.Repeat("x", 2<<20))).expectWhole(413)
		q := h.request(http.MethodGet, "/page/1", "")
		q.Header.Set("X-Long", strings.Repeat("x", 20000))
		h.do(q).expectWhole(431)
		Expect(h.runs()).To(Equal(0))
	})
})
