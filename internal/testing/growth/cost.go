package growth

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
	"foxcross.dev/foxcross/platform"
)

// Kind is the kind of settings whose number grows.
type Kind string

// The kinds. A team has one key.
const (
	Routes Kind = "routes"
	Teams  Kind = "teams"
)

// Cost is the cost of one version of the settings at an entry. Times are those of a whole core.
type Cost struct {
	StoreBytes int           // of the version in the store's encoding
	PlainBytes int           // of the version as sent between entries, uncompressed
	PeerBytes  int           // of the version, or its changes, as sent between entries
	Read       time.Duration // to read the store's response and activate it
	Encode     time.Duration // to encode the response to another entry
	Apply      time.Duration // to read another entry's response and activate it
	Heap       int           // bytes of memory in use by the version
}

// repetitions is the number of measurements of each time, of which the median is used.
const repetitions = 3

// Measure measures a version with now routes or teams that follows one with before. If
// before is 0, entries send each other the whole version.
func Measure(k Kind, before, now int) (Cost, error) {
	var all []Cost
	for range repetitions {
		c, err := measureOnce(k, before, now)
		if err != nil {
			return Cost{}, err
		}
		all = append(all, c)
	}
	median := func(of func(Cost) time.Duration) time.Duration {
		slices.SortFunc(all, func(a, b Cost) int { return int(of(a) - of(b)) })
		return of(all[len(all)/2])
	}
	c := all[0]
	c.Read = median(func(c Cost) time.Duration { return c.Read })
	c.Encode = median(func(c Cost) time.Duration { return c.Encode })
	c.Apply = median(func(c Cost) time.Duration { return c.Apply })
	return c, nil
}

func measureOnce(k Kind, before, now int) (Cost, error) {
	store := platformtest.NewStore()
	defer store.Close()
	source, other := newDirectory(), newDirectory()
	if before > 0 {
		store.Configure(configuration(k, 1, before))
		for _, d := range []*directory.Directory{source, other} {
			if err := readFromStore(d, store); err != nil {
				return Cost{}, err
			}
		}
	}
	next := configuration(k, 2, now)
	text, err := json.Marshal(next)
	if err != nil {
		return Cost{}, err
	}
	store.Configure(next)
	c := Cost{StoreBytes: base64.StdEncoding.EncodedLen(len(text))}
	heapBefore := heapBytes()
	c.Read, err = measureTime(func() error { return readFromStore(source, store) })
	if err != nil {
		return Cost{}, err
	}
	c.Heap = heapBytes() - heapBefore
	if c.PlainBytes, c.PeerBytes, c.Encode, err = encode(source, before); err != nil {
		return Cost{}, err
	}
	server := httptest.NewServer(peers.StateHandler(source))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	if err := peers.FetchState(context.Background(), newDirectory(), address, peers.SettingsPart); err != nil { // the response is cached from now on
		return Cost{}, err
	}
	c.Apply, err = measureTime(func() error {
		return peers.FetchState(context.Background(), other, address, peers.SettingsPart)
	})
	return c, err
}

// encode returns the size of a response with all settings, and the size and time of one to
// an entry that has the previous version.
func encode(d *directory.Directory, before int) (plain, compressed int, took time.Duration, err error) {
	since := 0
	if before > 0 {
		since = 1
	}
	plain = respond(d, "/state?version=0&revision=1", "identity").Len()
	took, err = measureTime(func() error {
		compressed = respond(d, fmt.Sprint("/state?part=settings&version=", since), "gzip").Len()
		return nil
	})
	return plain, compressed, took, err
}

// respond returns the response of a new handler, whose cache is empty.
func respond(d *directory.Directory, query, encoding string) interface{ Len() int } {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, query, http.NoBody)
	request.Header.Set("Accept-Encoding", encoding)
	peers.StateHandler(d).ServeHTTP(recorder, request)
	return recorder.Body
}

func newDirectory() *directory.Directory {
	return directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
}

// readFromStore reads the settings from the store and activates them as an entry does.
func readFromStore(d *directory.Directory, store *platformtest.Store) error {
	factory, err := driver.Drivers.Get(platform.Name)
	if err != nil {
		return err
	}
	client := factory().Store(driver.Process{Source: store.Address()}, func() {})
	s, err := client.ReadSettings(context.Background())
	if err != nil {
		return err
	}
	d.ApplySettings(s.Version, s.Tree, "store")
	if d.Settings() == nil || d.Settings().Version != s.Version {
		return fmt.Errorf("version %d is not in force", s.Version)
	}
	return nil
}

func measureTime(do func() error) (time.Duration, error) {
	began := time.Now()
	err := do()
	return time.Since(began), err
}

func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// configuration returns an operator's configuration with count routes or teams, and ten of the
// other kind.
func configuration(k Kind, version, count int) map[string]any {
	const few = 10
	routes, teams := few, few
	if k == Routes {
		routes = count
	} else {
		teams = count
	}
	return map[string]any{
		"version":  version,
		"routes":   generate(routes, route),
		"tenants":  generate(teams, team),
		"backends": []map[string]any{{"name": "pool", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
	}
}

func generate(count int, of func(n int) map[string]any) []map[string]any {
	all := make([]map[string]any, 0, count)
	for n := range count {
		all = append(all, of(n))
	}
	return all
}

// idMultiplier spreads consecutive numbers so that names and prefixes are not consecutive.
const idMultiplier = 2_654_435_761

func route(n int) map[string]any {
	id := uint32(n) * idMultiplier
	return map[string]any{
		"name": fmt.Sprintf("r-%08x", id), "hostname": "growth.example", "pathPrefix": fmt.Sprintf("/p%08x/", id),
		"routeType": "idempotent", "timeoutMs": 1500, "latencyGoalMs": 300, "priority": 2, "backend": "pool", "maxAttempts": 2,
	}
}

func team(n int) map[string]any {
	id := uint32(n) * idMultiplier
	return map[string]any{"name": fmt.Sprintf("t-%08x", id), "apiKeys": []string{fmt.Sprintf("key-%08x-%08x", id, ^id)}}
}
