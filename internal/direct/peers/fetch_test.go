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

// manyRoutes returns settings with so many routes.
func manyRoutes(routes int) settings.Tree {
	nodes := map[string]settings.Node{"": {}, "routes": {}}
	for n := range routes {
		nodes[fmt.Sprint("routes/r", n)] = settings.Node{Kind: settings.Class, Set: settings.Fields{
			Match: &[]settings.Match{{Host: "a.example", Prefix: fmt.Sprintf("/%d/", n)}},
			Split: &[]settings.Share{{Service: "pool", Weight: 1}},
		}}
	}
	return settings.NewTree(nodes)
}

// serving starts a server and returns its address.
func serving(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// counting counts the bytes of answers.
type counting struct {
	http.Handler

	mu     sync.Mutex
	asked  []string
	latest map[string]*atomic.Int64 // bytes of the last answer to each part
}

func (c *counting) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// bytes returns what the last answers to each part took. One that was given up, and may still be
// written, is not counted.
func (c *counting) bytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := int64(0)
	for _, n := range c.latest {
		sum += n.Load()
	}
	return sum
}

// queries returns what was asked.
func (c *counting) queries() []string {
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

// fetchAll fetches both parts, again where one was given up, as entries do: the first byte has to
// come within a second, and 10,000 routes take 0.35 to 0.53 s under the race detector on a machine
// with twice as much to do as it has cores (0.04 to 0.07 s without it).
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
		t.Errorf("got %v of version %d", got.Settings().Tree, got.Settings().Version)
	}
	if !reflect.DeepEqual(got.Endpoints(), want.Endpoints()) {
		t.Errorf("got %+v, want %+v", got.Endpoints(), want.Endpoints())
	}
}

// TestSettingsComeAsChanges fetches settings of 10,000 routes from nothing and after one
// has changed. Before there were changes, and compression, each took 2.1 MB.
func TestSettingsComeAsChanges(t *testing.T) {
	const routes, maxWhole, maxChange = 10_000, 400_000, 500
	a, b := newDirectory(), newDirectory()
	a.TakeSettings(5, manyRoutes(routes), "test")
	a.TakeEndpoints(driver.Endpoints{Revision: 9, List: []placement.Endpoint{{ID: "i-1"}}}, "test")
	a.Settle(5, 9)
	c := &counting{Handler: peers.StateHandler(a)}
	address := serving(t, c)
	fetchAll(t, b, address)
	expectSame(t, b, a)
	t.Logf("%d bytes for all", c.bytes())
	if c.bytes() > maxWhole {
		t.Errorf("%d bytes for all", c.bytes())
	}
	tier := 2
	a.TakeSettings(6, manyRoutes(routes).With("routes", settings.Node{Set: settings.Fields{Tier: &tier}}).Without("routes/r7"), "test")
	fetchAll(t, b, address)
	expectSame(t, b, a)
	if c.bytes() > maxChange {
		t.Errorf("%d bytes for a change", c.bytes())
	}
	if version, revision := b.Settled(); version != 6 || revision != 9 {
		t.Errorf("version %d, settled at %d", version, revision)
	}
}

// TestChangesThatDoNotFit has an entry whose settings of the same version differ: it
// reads all of the newer ones.
func TestChangesThatDoNotFit(t *testing.T) {
	a, b := newDirectory(), newDirectory()
	a.TakeSettings(5, manyRoutes(20), "test")
	b.TakeSettings(5, manyRoutes(19), "test")
	a.TakeSettings(6, manyRoutes(21), "test")
	a.TakeEndpoints(driver.Endpoints{Revision: 9}, "test")
	c := &counting{Handler: peers.StateHandler(a)}
	fetchAll(t, b, serving(t, c))
	expectSame(t, b, a)
	if asked := c.queries(); len(asked) != 3 || !strings.Contains(asked[2], "version=0") {
		t.Errorf("asked %q", asked)
	}
}

// formerState is what entries of the former version send, whatever part is asked for.
type formerState struct {
	Version   uint64                   `cbor:"1,keyasint,omitempty"`
	Nodes     map[string]settings.Node `cbor:"2,keyasint,omitempty"`
	Endpoints *driver.Endpoints        `cbor:"3,keyasint,omitempty"`
	Change    *formerChange            `cbor:"4,keyasint,omitempty"`
}

type formerChange struct {
	Revision uint64
	Settings *struct{}
	Changed  []placement.Endpoint
	Gone     []string
}

// TestAnswerOfFormerVersion reads the state of an entry that knows no parts.
func TestAnswerOfFormerVersion(t *testing.T) {
	want := newDirectory()
	want.TakeSettings(5, manyRoutes(20), "test")
	want.TakeEndpoints(driver.Endpoints{Revision: 9, List: []placement.Endpoint{{ID: "i-1"}, {ID: "i-2"}}}, "test")
	former := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := formerState{Version: 5, Nodes: want.Settings().Tree.Nodes()}
		if r.URL.Query().Get("revision") == "8" {
			s.Change = &formerChange{Revision: 9, Changed: []placement.Endpoint{{ID: "i-2"}}}
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
	address := serving(t, former)
	fresh, behind := newDirectory(), newDirectory()
	behind.TakeEndpoints(driver.Endpoints{Revision: 8, List: []placement.Endpoint{{ID: "i-1"}}}, "test")
	for _, d := range []*directory.Directory{fresh, behind} {
		fetchAll(t, d, address)
		expectSame(t, d, want)
	}
}

// TestQuestionOfFormerVersion asks as entries of the former version do: they get both
// parts in one answer, and uncompressed if they like. The list names a revision at which
// the settings were the newest, since they ask for changes of both from there.
func TestQuestionOfFormerVersion(t *testing.T) {
	a := newDirectory()
	a.TakeSettings(5, manyRoutes(200), "test")
	a.Settle(5, 7)
	a.TakeEndpoints(driver.Endpoints{Revision: 9, List: []placement.Endpoint{{ID: "i-1"}}}, "test")
	address := serving(t, peers.StateHandler(a))
	for _, client := range []*http.Client{http.DefaultClient, {Transport: &http.Transport{DisableCompression: true}}} {
		answer, err := client.Get("http://" + address + "/state?version=0&revision=0")
		if err != nil {
			t.Fatal(err)
		}
		var s formerState
		if err := cbor.NewDecoder(answer.Body).Decode(&s); err != nil {
			t.Fatal(err)
		}
		_ = answer.Body.Close()
		if s.Version != 5 || len(s.Nodes) != a.Settings().Tree.Len() || s.Endpoints == nil || len(s.Endpoints.List) != 1 || s.Endpoints.Revision != 7 {
			t.Errorf("version %d, %d nodes, endpoints %+v", s.Version, len(s.Nodes), s.Endpoints)
		}
	}
}

// TestTransfersAtOnceAreBounded holds up four answers with settings: a fifth asker is
// refused, and one for endpoints is not.
func TestTransfersAtOnceAreBounded(t *testing.T) {
	a := newDirectory()
	a.TakeSettings(5, manyRoutes(2_000), "test")
	a.TakeEndpoints(driver.Endpoints{Revision: 9}, "test")
	began, held := make(chan struct{}, 8), make(chan struct{})
	handler := peers.StateHandler(a)
	address := serving(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&heldWriter{ResponseWriter: w, began: began, held: held}, r)
	}))
	ended := make(chan error, 4)
	for range 4 {
		go func() { ended <- peers.FetchState(t.Context(), newDirectory(), address, peers.SettingsPart) }()
	}
	for range 4 {
		<-began
	}
	err := peers.FetchState(t.Context(), newDirectory(), address, peers.SettingsPart)
	if err == nil || !strings.Contains(err.Error(), "sends to others") {
		t.Errorf("a fifth transfer: %v", err)
	}
	if err := peers.FetchState(t.Context(), newDirectory(), address, peers.EndpointsPart); err != nil {
		t.Errorf("endpoints beside four transfers: %v", err)
	}
	close(held)
	for range 4 {
		<-ended // as a stalled transfer, if the machine took its time
	}
}

// heldWriter holds up large answers.
type heldWriter struct {
	http.ResponseWriter
	began, held chan struct{}
}

func (w *heldWriter) Write(b []byte) (int, error) {
	if len(b) > 1000 {
		w.began <- struct{}{}
		<-w.held
	}
	return w.ResponseWriter.Write(b)
}
