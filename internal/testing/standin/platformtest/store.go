// Package platformtest holds stand-ins for the users' platform: its store, its
// endpoints with their faults, and an operator. They implement the platform's
// published protocol, for tests and local runs.
package platformtest

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's store. Create it with NewStore.
type Store struct {
	server *httptest.Server

	mu             sync.Mutex
	revision       uint64
	items          map[string]Item
	history        []Item
	oldestRevision uint64 // changes up to this revision were dropped
	fault          Fault
	changed        chan struct{}
	leases         map[int]*time.Timer // by lease id; each ends its lease
	ttls           map[int]time.Duration
	lastLease      int // id of the last lease
}

// Item is a key of the store with its value, or the event of its removal.
type Item struct {
	Key      string `json:"privateKey"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"gone,omitempty"`
	Lease    int    `json:"lease,omitempty"` // whose end removes the key
}

// Fault is the way in which a server responds to calls.
type Fault int

// The faults of a store.
const (
	NoFault         Fault = iota // works
	Busy                         // responds with 503
	TooManyRequests              // responds with 429
	Reset                        // closes the connection
	Silent                       // does not respond
)

// NewStore starts a store on a free port of the loopback address.
func NewStore() *Store {
	s := &Store{
		items: map[string]Item{}, changed: make(chan struct{}), revision: 1,
		leases: map[int]*time.Timer{}, ttls: map[int]time.Duration{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /foxcross/kv-key", s.withFault(s.serveKey))
	mux.HandleFunc("GET /foxcross/kv-range", s.withFault(s.serveRange))
	mux.HandleFunc("GET /foxcross/kv-watch", s.withFault(s.serveWatch))
	mux.HandleFunc("POST /foxcross/kv-txn", s.withFault(s.serveTxn))
	mux.HandleFunc("POST /foxcross/kv-lease", s.withFault(s.serveLease))
	mux.HandleFunc("POST /foxcross/kv-keep/{lease}", s.withFault(s.serveRenewal))
	mux.HandleFunc("DELETE /foxcross/kv-lease-end/{lease}", s.withFault(s.serveLeaseEnd))
	s.server = httptest.NewServer(mux)
	return s
}

// Address returns the store's address.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Put sets the value of a key.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("platformtest: " + err.Error()) // a mistake in the test
	}
	s.change(Item{Key: key, Value: data})
}

// PutBytes writes a value of any bytes.
func (s *Store) PutBytes(key string, value []byte) { s.change(Item{Key: key, Value: value}) }

// Remove removes a key.
func (s *Store) Remove(key string) { s.change(Item{Key: key, Removed: true}) }

func (s *Store) change(i Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changeAt(s.revision, i)
}

// changeAt applies a change at a revision. Store.mu must be held.
func (s *Store) changeAt(revision uint64, i Item) {
	i.Revision = revision
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// CompactHistory drops the history, so that watches of older revisions fail.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldestRevision = s.revision
	s.history = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFault makes the store fail, or work again for NoFault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	if f != NoFault {
		s.server.CloseClientConnections()
	}
}

// withFault serves calls with h, or as the injected fault requires.
func (s *Store) withFault(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.fault
		s.mu.Unlock()
		switch f {
		case NoFault:
			h(w, r)
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case TooManyRequests:
			w.WriteHeader(http.StatusTooManyRequests)
		case Reset:
			abort(w)
		case Silent:
			_, _ = io.Copy(io.Discard, r.Body) // the end of a caller's connection is noticed only after the whole body
			<-r.Context().Done()
		}
	}
}

// abort closes the connection with a reset.
func abort(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a close then sends a reset
	}
	_ = c.Close() // sends the reset
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.FormValue("privateKey")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		Item
		At uint64 `json:"at"`
	}{i, s.revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Item{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, r.FormValue("pathPrefix")) {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, struct {
		Items []Item `json:"items"`
		More  bool   `json:"more"`
		At    uint64 `json:"at"`
	}{items, false, s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("sinceRev"), 10, 64) // 0 if it is missing
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))                 // 0 if it is missing
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	expired := false
	for {
		s.mu.Lock()
		if after < s.oldestRevision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := s.since(after, r.FormValue("pathPrefix"))
		changed := s.changed
		at := s.revision
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, struct {
				Events []Item `json:"events"`
				At     uint64 `json:"at"`
			}{events, at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision. Store.mu must be held.
func (s *Store) since(after uint64, prefix string) []Item {
	events := []Item{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}

// Keys and key prefixes of the platform.
const (
	configKey        = "op/config"
	evacuationPrefix = "op/evacuate/"
	endpointPrefix   = "servers/"
)

// Configure replaces the operator's configuration.
func (s *Store) Configure(configuration any) { s.Put(configKey, configuration) }

// Evacuate asks that no more requests be sent to a zone.
func (s *Store) Evacuate(zone string) { s.Put(evacuationPrefix+zone, struct{}{}) }

// EndEvacuation ends the evacuation of a zone.
func (s *Store) EndEvacuation(zone string) { s.Remove(evacuationPrefix + zone) }

// PutEndpoint writes a runner's record with a state to the store.
func (s *Store) PutEndpoint(r *Runner, state string) { s.Put(endpointPrefix+r.ID, r.Record(state)) }

// RemoveEndpoint removes a runner's record from the store.
func (s *Store) RemoveEndpoint(r *Runner) { s.Remove(endpointPrefix + r.ID) }
