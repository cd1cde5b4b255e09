package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// Names of the deployment.
const (
	service = "pool"
	host    = "soak.example"
	teamKey = "key-of-the-team"
)

// leaveMS is the time after which an endpoint that said that it leaves gets
// nothing new.
const leaveMS = 2000

// eventsOf a stream.
const eventsOf = 12

// kind is a kind of request.
type kind struct {
	path   string
	kind   string // of its route
	method string
	resume bool // a stream that may go on at another endpoint
	stream bool
	once   bool // it may not run twice
}

// The kinds of requests.
var kinds = []kind{
	{path: "/page/", kind: "idempotent", method: http.MethodGet},
	{path: "/book/", kind: "non_idempotent", method: http.MethodPost, once: true},
	{path: "/chat/", kind: "streaming", method: http.MethodPost, stream: true, resume: true},
	{path: "/plan/", kind: "streaming", method: http.MethodPost, stream: true, once: true},
	{path: homePath, kind: "idempotent", method: http.MethodGet},
}

// configure writes the next version of the configuration.
func (d *deployment) configure() {
	d.mu.Lock()
	d.version++
	version, extra, more := d.version, d.extra, d.routes
	d.mu.Unlock()
	routes := []map[string]any{}
	for _, k := range kinds {
		if k.path != homePath {
			routes = append(routes, route(k.path, k.kind, k.resume))
		}
	}
	routes = append(routes, homeRoute(), route(largePath, "idempotent", false))
	for n := range more {
		routes = append(routes, route(fmt.Sprintf("/more/%d/", n), "idempotent", false))
	}
	if extra {
		routes = append(routes, route("/extra/", "idempotent", false))
	}
	d.store.Configure(map[string]any{
		"version": version, "routes": routes,
		"backends": []map[string]any{{"name": service, "maxConns": 100, "warmupS": warmupTime.Seconds(), "warmupPerS": warmupPerS, "engine": map[string]any{
			"slots": 8, "kvCapacity": 400_000, "kvBytes": 163_840, "linkMbps": 260_000.0, "stride": 1,
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "team-1", "apiKeys": []string{teamKey}, "priority": 1}},
	})
}

func route(path, kind string, resume bool) map[string]any {
	return map[string]any{
		"name": "r" + path, "hostname": host, "pathPrefix": path, "routeType": kind, "timeoutMs": 6000,
		"latencyGoalMs": 500, "itlTargetMs": 200, "priority": 1, "backend": service, "maxAttempts": 2, "streamResume": resume,
	}
}

// endpoint is one endpoint and when it began to leave.
type endpoint struct {
	runner *platformtest.Runner
	left   time.Time // when the sound store took that it leaves, zero for not
	gone   bool
	began  time.Time  // it warms up from then on
	naming sync.Mutex // one limit at a time
	drains bool       // its responses say that it drains
}

// addEndpoint starts an endpoint and enters it in the store.
func (d *deployment) addEndpoint() {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := &endpoint{began: time.Now(), runner: platformtest.NewRunner(fmt.Sprint("i-", len(d.endpoints)+1), service, platformtest.ByPath{
		Prefix: []string{crashingPath},
		Then:   platformtest.Crash{},
		Else: platformtest.ByPath{
			Prefix: []string{"/chat/", "/plan/"},
			Then:   platformtest.Events{To: eventsOf, Pause: 5 * time.Millisecond, Token: 20 * time.Microsecond},
			Else: platformtest.ByPath{
				Prefix: []string{largePath},
				Then:   platformtest.Answer{Status: http.StatusOK, Body: largeBody},
				Else:   platformtest.Answer{Status: http.StatusOK, Body: wholeBody},
			},
		},
	})}
	e.runner.Engine = true
	e.runner.DataCentre = d.centreFor()
	e.runner.WarmupLeftMS = int(warmupTime.Milliseconds())
	d.endpoints = append(d.endpoints, e)
	d.store.Enter(e.runner, "ready")
	go d.awaitCrash(e)
	go d.warm(e)
}

// largeBody is the answer that slow callers do not read.
var largeBody = strings.Repeat("x", largeAnswer)

// wholeBody is the answer to a request that is no stream.
const wholeBody = "the whole answer"

// pick returns an endpoint that serves; nil where there are too few.
func (d *deployment) pick(least int) *endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var serving []*endpoint
	for _, e := range d.endpoints {
		if !e.gone && e.left.IsZero() && !e.drains {
			serving = append(serving, e)
		}
	}
	if len(serving) < least {
		return nil
	}
	return serving[d.random.IntN(len(serving))]
}
