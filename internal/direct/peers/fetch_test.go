package peers_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/transfer"

	"github.com/fxamacker/cbor/v2"
)

// newRouteSettings returns settings with the given number of routes.
func newRouteSettings(routes int) settings.Tree {
	nodes := map[string]settings.Node{"": {}, "routes": {}}
	for n := range routes {
		nodes[fmt.Sprint("routes/r", n)] = settings.Node{Kind: settings.Class, Set: settings.Fields{
			Match: &[]settings.Match{{Host: "a.example", Prefix: fmt.Sprintf("/%d/", n)}},
			Split: &[]settings.Share{{Service: "pool", Weight: 1}},
		}}
	}
	return settings.NewTree(nodes)
}

// startServer starts a server and returns its address.
func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// recordingHandler records the queries and the sizes of the responses.
type recordingHandler struct {
	http.Handler

	mu     sync.Mutex
	asked  []string
	latest map[string]*atomic.Int64 // size of the last response for each part
}

func (c *recordingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	bytes := &atomic.Int64{}
	c.mu.Lock()
	if c.latest == nil {
		c.latest = map[string]*atomic.Int64{}
	}
	c.asked = append(c.asked, r.URL.RawQuery)
	c.latest[r.URL.Query().Get("part")] = bytes
	c.mu.Unlock()
	c.Handler.ServeHTTP(&countingWriter{w, bytes}, r)
}

// bytes returns the total size of the last responses for each part. A response whose request was
// abandoned, and that may still be written, is not included.
func (c *recordingHandler) bytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := int64(0)
	for _, n := range c.latest {
		sum += n.Load()
	}
	return sum
}

// queries returns the recorded queries.
func (c *recordingHandler) queries() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.asked)
}

type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	w.bytes.Add(int64(len(b)))
	return w.ResponseWriter.Write(b)
}

// fetchAll fetches both parts and retries stalled fetches, as a peer does. The first byte must
// arrive within a second; encoding 10,000 routes takes 0.35 to 0.53 s under the race detector on
// a machine with twice as much load as cores (0.04 to 0.07 s without it).
func fetchAll(t *testing.T, d *directory.Directory, address string) {
	t.Helper()
	const tries = 5
	for _, p := range []peers.Part{peers.EndpointsPart, peers.SettingsPart} {
		err := peers.FetchState(t.Context(), d, address, p)
		for n := 1; n < tries && errors.Is(err, transfer.ErrStalled); n++ {
			err = peers.FetchState(t.Context(), d, address, p)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

func expectSame(t *testing.T, got, want *directory.Directory) {
	t.Helper()
	if !reflect.DeepEqual(got.Settings().Tree, want.Settings().Tree) || got.Settings().Version != want.Settings().Version {
		t.Errorf("settings %v of version %d", got.Settings().Tree, got.Settings().Version)
	}
	if !reflect.DeepEqual(got.Endpoints(), want.Endpoints()) {
		t.Errorf("got %+v, want %+v", got.Endpoints(), want.Endpoints())
	}
}

// TestSettingsFetchedAsChanges fetches settings of 10,000 routes without a previous version and
// after one route has changed. Without changes and compression each response would be 2.1 MB.
func TestSettingsFetchedAsChanges(t *testing.T) {
	const routes, maxWhole, maxChange = 10_000, 400_000, 500
	a, b := newDirectory(), newDirectory()
	a.ApplySettings(5, newRouteSettings(routes), "test")
	a.ReplaceEndpoints(driver.Endpoints{Revision: 9, List: []placement.Endpoint{{ID: "i-1"}}}, "test")
	a.ConfirmRevision(5, 9)
	c := &recordingHandler{Handler: peers.StateHandler(a)}
	address := startServer(t, c)
	fetchAll(t, b, address)
	expectSame(t, b, a)
	t.Logf("%d bytes for the whole settings", c.bytes())
	if c.bytes() > maxWhole {
		t.Errorf("%d bytes for the whole settings", c.bytes())
	}
	tier := 2
	a.ApplySettings(6, newRouteSettings(routes).With("routes", settings.Node{Set: settings.Fields{Tier: &tier}}).Without("routes/r7"), "test")
	fetchAll(t, b, address)
	expectSame(t, b, a)
	if c.bytes() > maxChange {
		t.Errorf("%d bytes for a change", c.bytes())
	}
	if version, revision := b.ConfirmedRevision(); version != 6 || revision != 9 {
		t.Errorf("version %d, confirmed at %d", version, revision)
	}
}

// TestChangesThatDoNotApply fetches newer settings into a peer whose settings differ at the same
// version: it fetches the newer settings whole.
func TestChangesThatDoNotApply(t *testing.T) {
	a, b := newDirectory(), newDirectory()
	a.ApplySettings(5, newRouteSettings(20), "test")
	b.ApplySettings(5, newRouteSettings(19), "test")
	a.ApplySettings(6, newRouteSettings(21), "test")
	a.ReplaceEndpoints(driver.Endpoints{Revision: 9}, "test")
	c := &recordingHandler{Handler: peers.StateHandler(a)}
	fetchAll(t, b, startServer(t, c))
	expectSame(t, b, a)
	if asked := c.queries(); len(asked) != 3 || !strings.Contains(asked[2], "version=0") {
		t.Errorf("asked %q", asked)
	}
}

// legacyState is the response of peers of the previous version, whatever part is requested.
type legacyState struct {
	Version   uint64                   `cbor:"1,keyasint,omitempty"`
	Nodes     map[string]settings.Node `cbor:"2,keyasint,omitempty"`
	Endpoints *driver.Endpoints        `cbor:"3,keyasint,omitempty"`
	Change    *legacyChange            `cbor:"4,keyasint,omitempty"`
}

type legacyChange struct {
	Revision uint64
	Settings *struct{}
	Changed  []placement.Endpoint
	Gone     []string
}

// TestResponseOfPreviousVersion reads the state of a peer that does not support parts.
func TestResponseOfPreviousVersion(t *testing.T) {
	want := newDirectory()
	want.ApplySettings(5, newRouteSettings(20), "test")
	want.ReplaceEndpoints(driver.Endpoints{Revision: 9, List: []placement.Endpoint{{ID: "i-1"}, {ID: "i-2"}}}, "test")
	legacy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := legacyState{Version: 5, Nodes: want.Settings().Tree.Nodes()}
		if r.URL.Query().Get("revision") == "8" {
			s.Change = &legacyChange{Revision: 9, Changed: []placement.Endpoint{{ID: "i-2"}}}
		} else {
			list := want.Endpoints()
			s.Endpoints = &list
		}
		data, err := cbor.Marshal(s)
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(data)
	})
	address := startServer(t, legacy)
	fresh, behind := newDirectory(), newDirectory()
	behind.ReplaceEndpoints(driver.Endpoints{Revision: 8, List: []placement.Endpoint{{ID: "i-1"}}}, "test")
	for _, d := range []*directory.Directory{fresh, behind} {
		fetchAll(t, d, address)
		expectSame(t, d, want)
	}
}

// TestRequestOfPreviousVersion requests the state as peers of the previous version do. They
// receive both parts in one response, uncompressed on request. The list has a revision at which
// the settings were the newest, since those peers ask for changes of both parts from there.
func TestRequestOfPreviousVersion(t *testing.T) {
	a := newDirectory()
	a.ApplySettings(5, newRouteSettings(200), "test")
	a.ConfirmRevision(5, 7)
	a.ReplaceEndpoints(driver.Endpoints{Revision: 9, List: []placement.Endpoint{{ID: "i-1"}}}, "test")
	address := startServer(t, peers.StateHandler(a))
	for _, client := range []*http.Client{http.DefaultClient, {Transport: &http.Transport{DisableCompression: true}}} {
		response, err := client.Get("http://" + address + "/state?version=0&revision=0")
		if err != nil {
			t.Fatal(err)
		}
		var s legacyState
		if err := cbor.NewDecoder(response.Body).Decode(&s); err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if s.Version != 5 || len(s.Nodes) != a.Settings().Tree.Len() || s.Endpoints == nil || len(s.Endpoints.List) != 1 || s.Endpoints.Revision != 7 {
			t.Errorf("version %d, %d nodes, endpoints %+v", s.Version, len(s.Nodes), s.Endpoints)
		}
	}
}

// TestConcurrentTransfersAreBounded blocks four settings responses: a fifth request for settings
// is refused, and one for endpoints is not.
func TestConcurrentTransfersAreBounded(t *testing.T) {
	a := newDirectory()
	a.ApplySettings(5, newRouteSettings(2_000), "test")
	a.ReplaceEndpoints(driver.Endpoints{Revision: 9}, "test")
	started, release := make(chan struct{}, 8), make(chan struct{})
	handler := peers.StateHandler(a)
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&blockingWriter{ResponseWriter: w, started: started, release: release}, r)
	}))
	ended := make(chan error, 4)
	for range 4 {
		go func() { ended <- peers.FetchState(t.Context(), newDirectory(), address, peers.SettingsPart) }()
	}
	for range 4 {
		<-started
	}
	err := peers.FetchState(t.Context(), newDirectory(), address, peers.SettingsPart)
	if err == nil || !strings.Contains(err.Error(), "sends to others") {
		t.Errorf("fifth transfer: %v", err)
	}
	if err := peers.FetchState(t.Context(), newDirectory(), address, peers.EndpointsPart); err != nil {
		t.Errorf("endpoints during four transfers: %v", err)
	}
	close(release)
	for range 4 {
		<-ended // with a stall error on a slow machine
	}
}

// blockingWriter blocks the write of large responses until release is closed.
type blockingWriter struct {
	http.ResponseWriter
	started, release chan struct{}
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	if len(b) > 1000 {
		w.started <- struct{}{}
		<-w.release
	}
	return w.ResponseWriter.Write(b)
}
