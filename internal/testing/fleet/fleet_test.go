package fleet_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/gateway"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/testing/loopback"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	_ "foxcross.dev/foxcross/platform" // registers its driver
)

// Names in the settings of the deployment.
const (
	host    = "studio.example"
	service = "pool"
	teamKey = "key-of-a-team"
	// crashingPath is the path prefix of requests that crash the endpoint that runs them.
	crashingPath = "/chat/crash"
	// crashingOncePath is the same for requests that must not run twice.
	crashingOncePath = "/book/crash"
	// crashingPart is the ID of a part of prompts on which an endpoint crashes when it begins to write.
	crashingPart = "dead"
)

// conditionTimeout bounds the wait for a condition. It is long because CI machines may be busy.
const conditionTimeout = 20 * time.Second

// TestMain discards the log.
func TestMain(m *testing.M) {
	if err := logs.Setup(io.Discard, "json", "error"); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// fleet is a stand-in platform with entries, which exchange events about their attempts, and
// endpoints. An endpoint that crashes is restarted under its id.
type fleet struct {
	t            *testing.T
	store        *platformtest.Store
	entries      []*entry
	client       *http.Client
	requestCount atomic.Int64
	eventPause   time.Duration // before each event of a stream, set before endpoints are added
	listsHeld    atomic.Bool   // entries fetch nothing from each other
	silent       atomic.Bool   // entries break the connections of questions about streams
	unanswered   atomic.Int64  // such questions
	stopped      chan struct{}

	mu      sync.Mutex
	started []*platformtest.Runner // all endpoints, also those that have crashed
	crashed []time.Time            // when endpoints have, in order
}

// entry is one gateway of the fleet.
type entry struct {
	gateway  *gateway.Gateway
	group    *peers.Group // nil for an entry that receives no events
	address  string
	stop     func()
	follow   func() (end func()) // the store
	unfollow func()              // ends that
}

// newFleet starts endpoints and entries, and waits until each entry lists all of them.
func newFleet(t *testing.T, entries, endpoints int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: platformtest.NewStore(), stopped: make(chan struct{}), client: &http.Client{
		Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true},
	}}
	t.Cleanup(f.store.Close)
	t.Cleanup(func() { close(f.stopped) })
	f.configure()
	for n := range endpoints {
		f.addEndpoint(fmt.Sprint("i-", n+1), 1, "v1")
	}
	for range entries {
		f.addEntry(true)
	}
	for _, e := range f.entries {
		f.eventually("all entries and endpoints are known", func() bool {
			d := e.gateway.Dump()
			return d.LiveEntries == entries && len(d.Endpoints) == endpoints
		})
	}
	return f
}

// configure writes the configuration.
func (f *fleet) configure() { f.configureService(1, map[string]any{"name": service, "maxConns": 200}) }

// configureService writes a version of the configuration, with these settings of the service.
func (f *fleet) configureService(version int, settings map[string]any) {
	route := func(prefix, kind string, resume bool) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "hostname": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": 20000,
			"latencyGoalMs": 500, "itlTargetMs": 200, "priority": 1, "backend": service, "maxAttempts": 2, "streamResume": resume,
		}
	}
	f.store.Configure(map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("/chat/", "streaming", true), route("/page/", "idempotent", false), route("/book/", "non_idempotent", false),
		},
		"backends": []map[string]any{settings},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 8 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "studio-1", "apiKeys": []string{teamKey}, "priority": 1}},
	})
}

// addEndpoint starts an endpoint, which is restarted at the same version of its software when it
// crashes.
func (f *fleet) addEndpoint(id string, startedMS int64, version string) {
	r := platformtest.NewRunner(id, service, platformtest.ByPath{
		Prefix: []string{crashingPath, crashingOncePath},
		Then:   platformtest.Crash{},
		Else: platformtest.ByPath{
			Prefix: []string{"/chat/"},
			Then:   platformtest.Events{To: 3, Pause: f.eventPause, CrashParts: []string{crashingPart}},
			Else:   platformtest.Answer{Status: http.StatusOK, Body: "the whole answer"},
		},
	})
	r.StartedMS = startedMS
	r.Version = version
	f.mu.Lock()
	f.started = append(f.started, r)
	f.mu.Unlock()
	f.store.PutEndpoint(r, "ready")
	go func() {
		select {
		case <-f.stopped:
			r.Close()
		case <-r.Ended():
			f.mu.Lock()
			f.crashed = append(f.crashed, time.Now())
			f.mu.Unlock()
			r.Close() // all its connections break before it restarts
			f.addEndpoint(id, startedMS+1, version)
		}
	}()
}

// endpoints returns the endpoints that have not crashed.
func (f *fleet) endpoints() []*platformtest.Runner {
	serving, _ := f.endpointsAndCrashes()
	return serving
}

// crashes returns the number of endpoints that have crashed. An endpoint counts before its
// connections break, so that a response never arrives before the crashes that caused it count.
func (f *fleet) crashes() int {
	_, crashes := f.endpointsAndCrashes()
	return crashes
}

// crashTimes returns when endpoints crashed, in order.
func (f *fleet) crashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.crashed)
}

func (f *fleet) endpointsAndCrashes() (serving []*platformtest.Runner, crashes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.started {
		select {
		case <-r.Ended():
			crashes++
		default:
			serving = append(serving, r)
		}
	}
	return serving, crashes
}

// addEntry starts an entry. If joinGroup is false, it exchanges no events with the others.
func (f *fleet) addEntry(joinGroup bool) *entry {
	f.t.Helper()
	owner := uint64(len(f.entries) + 1)
	factory, err := driver.Drivers.Get("fleet")
	f.mustSucceed(err)
	platform := factory()
	process := driver.Process{
		Name: fmt.Sprintf("entry-%d", owner), DataCentre: "zone-1", Source: f.store.Address(),
		Bounds: driver.Bounds{
			StopGrace: 4 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 500,
			ReuseWithin: 10 * time.Second, LeaveWithin: drainGracePeriod,
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{gateway: gateway.New(gateway.Options{
		Process: process, Driver: platform, Owner: owner, Seed: owner, Records: platform.Records(process),
	})}
	if joinGroup {
		e.group = f.join(ctx, e.gateway, owner)
	}
	e.follow = func() (end func()) {
		following, end := context.WithCancel(ctx)
		go e.gateway.Directory().Follow(following, platform.Store(process, func() {}))
		return end
	}
	e.unfollow = e.follow()
	go e.gateway.Run(ctx)
	f.eventually("the entry is ready", e.gateway.Ready)
	e.address = freeAddress(f.t)
	server, err := e.gateway.Serve(e.address)
	f.mustSucceed(err)
	e.stop = func() {
		cancel()
		_ = server.Close() // the test is over
	}
	f.t.Cleanup(e.stop)
	f.entries = append(f.entries, e)
	return e
}

// join connects an entry with the others so that they exchange events.
func (f *fleet) join(ctx context.Context, g *gateway.Gateway, owner uint64) *peers.Group {
	f.t.Helper()
	var seeds []string
	for _, e := range f.entries {
		if e.group != nil {
			seeds = append(seeds, e.group.Address())
		}
	}
	address := freeAddress(f.t)
	group, err := peers.New(peers.Options{
		Name: fmt.Sprintf("entry-%d", owner), Address: address, Owner: owner, Seeds: seeds,
		Listener: g.EventReceiver(), Directory: g.Directory(), DataCentre: "zone-1",
		Fetch: func(ctx context.Context, from string, p peers.Part) {
			if !f.listsHeld.Load() {
				_ = peers.FetchState(ctx, g.Directory(), from, p) // it is retried
			}
		},
	})
	f.mustSucceed(err)
	mux := http.NewServeMux()
	mux.Handle("/", peers.StateHandler(g.Directory()))
	mux.Handle(peers.OriginPath, f.unlessSilent(peers.OriginHandler(g.Origin)))
	mux.Handle(peers.SignalsPath, group.SignalsHandler())
	mux.Handle(peers.SnapshotPath, peers.SnapshotHandler(g.Snapshot))
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: conditionTimeout}
	go func() { _ = server.ListenAndServe() }() // ends with the test
	f.t.Cleanup(func() { _ = server.Close() })  // the test is over
	g.Join(group)
	go group.Run(ctx)
	return group
}

// unlessSilent breaks the connection of each question while the entries are silent.
func (f *fleet) unlessSilent(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.silent.Load() {
			f.unanswered.Add(1)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (f *fleet) mustSucceed(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// eventually waits until a condition holds and fails the test after conditionTimeout.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(conditionTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			for _, e := range f.entries {
				f.t.Logf("%+v", e.gateway.Dump().Contents)
			}
			f.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// response is an HTTP response that a caller received.
type response struct {
	status int // 0 if the connection broke
	header http.Header
	body   string
}

// request sends a request to an entry, over a new connection.
func (f *fleet) request(e *entry, target, body string) response {
	f.t.Helper()
	return f.requestWithContext(context.Background(), e, target, body)
}

// requestWithContext is request by a caller that disconnects when ctx ends.
func (f *fleet) requestWithContext(ctx context.Context, e *entry, target, body string) response {
	f.t.Helper()
	return f.do(f.newRequest(ctx, e, target, body))
}

// newRequest returns a request of a caller.
func (f *fleet) newRequest(ctx context.Context, e *entry, target, body string) *http.Request {
	f.t.Helper()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+target, bytes.NewBufferString(body))
	f.mustSucceed(err)
	q.Host = host
	q.Header.Set(platformtest.RequestIDField, fmt.Sprintf("id-%d", f.requestCount.Add(1)))
	q.Header.Set(platformtest.DeadlineField, "15000")
	q.Header.Set(platformtest.KeyField, teamKey)
	return q
}

// do sends a request over a new connection.
func (f *fleet) do(q *http.Request) response {
	a, err := f.client.Do(q)
	if err != nil {
		return response{}
	}
	defer func() { _ = a.Body.Close() }() // it has been read
	data, err := io.ReadAll(a.Body)
	if err != nil {
		return response{}
	}
	return response{status: a.StatusCode, header: a.Header, body: string(data)}
}

// isHeld reports whether a request was refused because its content is held: not run, with
// a Retry-After.
func (r response) isHeld() bool {
	return r.status == http.StatusServiceUnavailable && r.header.Get("X-Foxcross-Code") == "1307" &&
		r.header.Get("X-Foxcross-Run") == "not run" && r.header.Get("Retry-After") != ""
}

// requestUntilHeld repeats a request at an entry until it is refused as held.
func (f *fleet) requestUntilHeld(e *entry, target string) {
	f.t.Helper()
	f.eventually(target+" is refused", func() bool { return f.request(e, target, "crashes what runs it").isHeld() })
}

// awaitHeld waits until an entry has a number of held contents.
func (f *fleet) awaitHeld(e *entry, contents int) {
	f.t.Helper()
	f.eventually(fmt.Sprint(contents, " contents are held"), func() bool { return e.gateway.Dump().HeldContents == contents })
}
