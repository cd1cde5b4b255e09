package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/gateway"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	_ "foxcross.dev/foxcross/platform" // registers its driver

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Names in the test deployment.
const (
	routeHost = "studio.example"
	teamKey   = "key-of-a-team"
	service   = "pool"
)

// harness is a store, some runners and one gateway.
type harness struct {
	store       *platformtest.Store
	runners     []*platformtest.Runner
	gateway     *gateway.Gateway
	server      *http.Server
	client      *http.Client
	address     string
	source      driver.Store
	version     int
	engine      map[string]any // the service's engine settings, nil for a service without engines
	teamRegions []string       // regions in which the team may be served, empty for all
	ids         atomic.Int64
	countedRuns atomic.Int64 // requests of the team that were counted as run
}

// route returns one route of the settings.
func route(prefix, kind string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": "r-" + strings.Trim(prefix, "/"), "hostname": routeHost, "pathPrefix": prefix,
		"routeType": kind, "timeoutMs": 20000, "latencyGoalMs": 500, "priority": 1,
		"backend": service, "maxAttempts": 2, "public": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// routes returns the routes that most tests use.
func routes() []map[string]any {
	return []map[string]any{
		route("/page/", "idempotent", nil),
		route("/book/", "non_idempotent", nil),
		route("/once/", "idempotent", map[string]any{"maxAttempts": 1}),
		route("/open/", "idempotent", map[string]any{"public": true}),
		route("/short/", "idempotent", map[string]any{"timeoutMs": 300}),
		route("/chat/", "streaming", map[string]any{"streamResume": true, "itlTargetMs": 200}),
		route("/plan/", "streaming", map[string]any{"streamResume": false, "itlTargetMs": 200}),
	}
}

// configure writes the next version of the settings.
func (h *harness) configure(routes []map[string]any, keys ...string) {
	h.version++
	backend := map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 100}
	if h.engine != nil {
		backend["engine"] = h.engine
	}
	h.store.Configure(map[string]any{
		"version": h.version, "routes": routes,
		"backends": []map[string]any{backend},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "studio-1", "apiKeys": keys, "priority": 1, "allowedRegions": h.teamRegions}},
	})
}

// engines turns the endpoints into engines with these settings.
func (h *harness) engines(engine map[string]any) {
	GinkgoHelper()
	h.engine = engine
	for _, r := range h.runners {
		r.Engine = true
		h.store.PutEndpoint(r, "ready")
	}
	h.configure(routes(), teamKey)
	Eventually(func() bool {
		endpoints := h.gateway.Directory().Endpoints().List
		listed := len(endpoints) == len(h.runners) && endpoints[0].Engine && endpoints[len(endpoints)-1].Engine
		return listed && h.settingsVersion() == uint64(h.version)
	}).Should(BeTrue())
}

// newHarness starts a harness with one runner for each behavior.
func newHarness(behaviors ...platformtest.Behavior) *harness {
	return newHarnessWithLimits(driver.Limits{}, behaviors...)
}

// newHarnessWithLimits is newHarness with process limits.
func newHarnessWithLimits(limits driver.Limits, behaviors ...platformtest.Behavior) *harness {
	h := &harness{store: platformtest.NewStore()}
	for n, behavior := range behaviors {
		r := platformtest.NewRunner(fmt.Sprintf("i-%d", n+1), service, behavior)
		h.runners = append(h.runners, r)
		h.store.PutEndpoint(r, "ready")
	}
	h.configure(routes(), teamKey)
	factory, err := driver.Drivers.Get("fleet")
	Expect(err).NotTo(HaveOccurred())
	platform := factory()
	process := driver.Process{
		Name: "entry-1", DataCentre: "zone-1", Source: h.store.Address(), Limits: limits,
		Regions: map[string]string{"zone-1": "region-1", "zone-2": "region-2"},
		Bounds: driver.Bounds{
			StopGrace: 4 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
			ReuseWithin: 10 * time.Second,
		},
	}
	h.source = platform.Store(process, func() {})
	h.gateway = gateway.New(gateway.Options{
		Process: process, Driver: platform, Owner: 1, Seed: 1,
		OnRunStart: func(team string) {
			if team == "studio-1" {
				h.countedRuns.Add(1)
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	go h.gateway.Directory().Follow(ctx, h.source)
	go h.gateway.Run(ctx)
	Eventually(h.gateway.Ready).Should(BeTrue())
	h.address = freeAddress()
	h.server, err = h.gateway.Serve(h.address)
	Expect(err).NotTo(HaveOccurred())
	h.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	DeferCleanup(func() {
		cancel()
		h.client.CloseIdleConnections()
		_ = h.server.Close()
		h.store.Close()
		for _, r := range h.runners {
			r.Close()
		}
	})
	return h
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// request returns a request of a caller with the team's key.
func (h *harness) request(method, target, body string) *http.Request {
	var reader io.Reader
	if body != "" {
		reader = bytes.NewBufferString(body)
	}
	q, err := http.NewRequest(method, "http://"+h.address+target, reader)
	Expect(err).NotTo(HaveOccurred())
	q.Host = routeHost
	q.Header.Set(platformtest.RequestIDField, fmt.Sprintf("id-%d", h.ids.Add(1)))
	q.Header.Set(platformtest.DeadlineField, "15000")
	q.Header.Set(platformtest.KeyField, teamKey)
	return q
}

// slowRequest sends the head of a request whose body is written to the returned writer.
func (h *harness) slowRequest(target, deadlineMS string) (<-chan reply, io.Writer) {
	body, writer := io.Pipe()
	q, err := http.NewRequest(http.MethodPost, "http://"+h.address+target, body)
	Expect(err).NotTo(HaveOccurred())
	q.Host = routeHost
	q.ContentLength = 1
	q.Header.Set(platformtest.RequestIDField, fmt.Sprintf("id-%d", h.ids.Add(1)))
	q.Header.Set(platformtest.DeadlineField, deadlineMS)
	q.Header.Set(platformtest.KeyField, teamKey)
	open := h.gateway.Dump().OpenRequests
	answer := make(chan reply, 1)
	go func() { answer <- h.do(q) }()
	Eventually(func() int { return h.gateway.Dump().OpenRequests }).Should(Equal(open + 1))
	return answer, writer
}

// reply is a response as received by a caller.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // the response was not received completely
}

func (h *harness) do(q *http.Request) reply {
	a, err := h.client.Do(q)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return reply{status: a.StatusCode, header: a.Header, body: string(body), err: err}
}

func (h *harness) get(target string) reply { return h.do(h.request(http.MethodGet, target, "")) }

// begin sends the first request of a test. It returns once the request runs, with the channel of its reply.
func (h *harness) begin(target string) <-chan reply {
	GinkgoHelper()
	received := make(chan reply, 1)
	q := h.request(http.MethodPost, target, "x")
	go func() { received <- h.do(q) }()
	Eventually(h.runs).Should(Equal(1))
	return received
}

// runs returns the number of runs at all runners.
func (h *harness) runs() int {
	n := 0
	for _, r := range h.runners {
		n += len(r.Runs())
	}
	return n
}

// runnersInOrder returns the two runners of a request that was resumed at the second one.
func (h *harness) runnersInOrder() (first, second *platformtest.Runner) {
	GinkgoHelper()
	Expect(h.runners).To(HaveLen(2))
	first, second = h.runners[0], h.runners[1]
	Expect(first.Runs()).To(HaveLen(1))
	Expect(second.Runs()).To(HaveLen(1))
	if first.Runs()[0].Header.Get(platformtest.LastEventField) != "" {
		first, second = second, first
	}
	return first, second
}

// expectWhole expects a complete response with the status.
func (r reply) expectWhole(status int) {
	GinkgoHelper()
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.status).To(Equal(status), r.body)
}

// expectTruncated expects a response that was visibly cut off.
func (r reply) expectTruncated() {
	GinkgoHelper()
	Expect(errors.Is(r.err, io.ErrUnexpectedEOF) || errors.Is(r.err, io.EOF)).To(BeTrue(), "%v", r.err)
}

// settingsVersion returns the active version of the settings.
func (h *harness) settingsVersion() uint64 {
	version, _ := h.gateway.Directory().Versions()
	return version
}

// newGateway returns a gateway that has no settings yet.
func newGateway(h *harness) *gateway.Gateway {
	factory, err := driver.Drivers.Get("fleet")
	Expect(err).NotTo(HaveOccurred())
	return gateway.New(gateway.Options{
		Process: driver.Process{Name: "entry-1", DataCentre: "zone-1", Source: h.store.Address()},
		Driver:  factory(), Owner: 1, Seed: 1,
	})
}

// serverRequest returns a request as a server receives it.
func (h *harness) serverRequest(target string) *http.Request {
	q := httptest.NewRequest(http.MethodGet, target, http.NoBody)
	q.Host = routeHost
	q.Header.Set(platformtest.RequestIDField, fmt.Sprintf("id-%d", h.ids.Add(1)))
	q.Header.Set(platformtest.KeyField, teamKey)
	return q
}

// serveOnce passes a request to the gateway without a connection.
func serveOnce(g *gateway.Gateway, q *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	g.ServeHTTP(w, q)
	return w
}
