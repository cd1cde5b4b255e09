package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// Names in the settings of the deployment.
const (
	service = "pool"
	host    = "soak.example"
	teamKey = "key-of-the-team"
)

// drainGraceMS is the time after which an endpoint that announced that it leaves gets no new
// requests.
const drainGraceMS = 2000

// eventsPerStream is the number of events in a complete stream.
const eventsPerStream = 12

// requestKind is a kind of request.
type requestKind struct {
	path          string
	routeType     string
	method        string
	resumable     bool // a stream that may be resumed at another endpoint
	stream        bool
	nonIdempotent bool // must not run twice
}

// requestKinds are the kinds of requests that callers send.
var requestKinds = []requestKind{
	{path: "/page/", routeType: "idempotent", method: http.MethodGet},
	{path: "/book/", routeType: "non_idempotent", method: http.MethodPost, nonIdempotent: true},
	{path: "/chat/", routeType: "streaming", method: http.MethodPost, stream: true, resumable: true},
	{path: "/plan/", routeType: "streaming", method: http.MethodPost, stream: true, nonIdempotent: true},
	{path: regionalPath, routeType: "idempotent", method: http.MethodGet},
}

// configure writes the next version of the configuration.
func (d *deployment) configure() {
	d.mu.Lock()
	d.version++
	version, extra, moreRoutes := d.version, d.extraRoute, d.moreRoutes
	d.mu.Unlock()
	routes := []map[string]any{}
	for _, k := range requestKinds {
		if k.path != regionalPath {
			routes = append(routes, route(k.path, k.routeType, k.resumable))
		}
	}
	routes = append(routes, regionalRoute(), route(largePath, "idempotent", false))
	for n := range moreRoutes {
		routes = append(routes, route(fmt.Sprintf("/more/%d/", n), "idempotent", false))
	}
	if extra {
		routes = append(routes, route("/extra/", "idempotent", false))
	}
	tenants := []map[string]any{}
	for _, t := range teams {
		tenants = append(tenants, map[string]any{"name": t.name, "apiKeys": []string{t.key}, "priority": 1})
	}
	d.store.Configure(map[string]any{
		"version": version, "routes": routes,
		"backends": []map[string]any{{"name": service, "maxConns": 100, "warmupS": warmupDuration.Seconds(), "warmupPerS": warmupPerS, "engine": map[string]any{
			"slots": 8, "kvCapacity": 400_000, "kvBytes": 18_432, "linkMbps": 740_000.0, "stride": 1, "replicas": true,
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
}

// slowEndpointFactor is how many times longer every other endpoint takes.
const slowEndpointFactor = 2.4

func route(path, routeType string, resumable bool) map[string]any {
	return map[string]any{
		"name": "r" + path, "hostname": host, "pathPrefix": path, "routeType": routeType, "timeoutMs": 6000,
		"latencyGoalMs": 500, "itlTargetMs": 200, "priority": 1, "backend": service, "maxAttempts": 2, "streamResume": resumable,
	}
}

// endpoint is an endpoint and its state in the store.
type endpoint struct {
	runner       *platformtest.Runner
	leavingSince time.Time // when the store accepted that it leaves, zero if it does not
	removed      bool
	startedAt    time.Time  // start of the warm-up
	endedAt      time.Time  // zero while it serves
	slowdown     float64    // of its streams, 1 for a fast one
	limitMu      sync.Mutex // held while a limit is named
	draining     bool       // announces in its responses that it drains
}

// defaultEventPause is the pause before each event of a stream.
const defaultEventPause = 5 * time.Millisecond

// usualBehavior returns that of an endpoint without a fault.
func (o Options) usualBehavior() platformtest.Behavior {
	return platformtest.ByPath{
		Prefix: []string{crashingPath},
		Then:   platformtest.Crash{},
		Else: platformtest.ByPath{
			Prefix: []string{"/chat/", "/plan/"},
			Then:   platformtest.Events{To: eventsPerStream, Pause: cmp.Or(o.EventPause, defaultEventPause), Token: 20 * time.Microsecond, CrashParts: o.deadlyParts()},
			Else: platformtest.ByPath{
				Prefix: []string{largePath},
				Then:   platformtest.Answer{Status: http.StatusOK, Body: largeResponseBody},
				Else:   platformtest.Answer{Status: http.StatusOK, Body: responseBody},
			},
		},
	}
}

// addEndpoint starts an endpoint and writes its record to the store.
func (d *deployment) addEndpoint() {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := &endpoint{startedAt: time.Now(), runner: platformtest.NewRunner(fmt.Sprint("i-", len(d.endpoints)+1), service, d.options.usualBehavior())}
	e.slowdown = 1
	if len(d.endpoints)%2 == 1 {
		e.slowdown = slowEndpointFactor
	}
	e.runner.SetSlowdown(e.slowdown)
	e.runner.Engine = true
	e.runner.Version = d.software
	e.runner.DataCentre = d.dataCentreWithFewerEndpoints()
	e.runner.WarmupLeftMS = int(warmupDuration.Milliseconds())
	d.endpoints = append(d.endpoints, e)
	d.store.PutEndpoint(e.runner, "ready")
	go d.awaitCrash(e)
	go d.finishWarmup(e)
}

// largeResponseBody is the response that slow callers do not read.
var largeResponseBody = strings.Repeat("x", largeResponseBytes)

// responseBody is the complete response to a request that is no stream.
const responseBody = "the whole answer"

// pickEndpoint returns a random serving endpoint, or nil if fewer than minServing serve.
func (d *deployment) pickEndpoint(minServing int) *endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var serving []*endpoint
	for _, e := range d.endpoints {
		if !e.removed && e.leavingSince.IsZero() && !e.draining {
			serving = append(serving, e)
		}
	}
	if len(serving) < minServing {
		return nil
	}
	return serving[d.random.IntN(len(serving))]
}
