package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of an answer of the platform's store.
const storeDelay = 4 * time.Millisecond

// store is a stand-in for the platform's store, as PROTOCOL.md describes it: linearizable, one
// counter of revisions, watches, transactions and leases.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	leases   map[int]*time.Timer
	ttls     map[int]time.Duration
	last     int
	watches  map[string]time.Time // last call by address of the store that was called
}

type item struct {
	Key      string `json:"privateKey"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
	Lease    int    `json:"lease"`
}

func newStore() *store {
	return &store{
		revision: 1, items: map[string]item{}, changed: make(chan struct{}),
		leases: map[int]*time.Timer{}, ttls: map[int]time.Duration{}, watches: map[string]time.Time{},
	}
}

// listen serves the store on an address. Each entry has an address of its own, so that the stand-in
// knows which of them calls.
func (s *store) listen(address string) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /foxcross/kv-key", s.serveKey)
	mux.HandleFunc("GET /foxcross/kv-range", s.serveRange)
	mux.HandleFunc("GET /foxcross/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.watches[address] = time.Now()
		s.mu.Unlock()
		s.serveWatch(w, r)
	})
	mux.HandleFunc("POST /foxcross/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /foxcross/kv-lease", s.serveLease)
	mux.HandleFunc("POST /foxcross/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /foxcross/kv-lease-end/{id}", s.serveEnd)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	return server, nil
}

// lastWatch returns when a process last watched over an address.
func (s *store) lastWatch(address string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[address]
}

// put writes a key as the operator or a runner does, and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.change(item{Key: key, Value: data})
	return time.Now()
}

// touch writes a key without a change that others see: only a runner's seq has risen.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.change(item{Key: key, Gone: true})
}

// change applies a change at the present revision. s.mu is held.
func (s *store) change(i item) {
	i.Revision = s.revision
	if i.Gone {
		delete(s.items, i.Key)
	} else {
		i.Made = s.revision
		if before, ok := s.items[i.Key]; ok {
			i.Made = before.Made
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.FormValue("privateKey")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, r.FormValue("pathPrefix")) && i.Key > r.FormValue("sinceRev") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("pathPrefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
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

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item   `json:"expectedRev"`
		Put      []item   `json:"put"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Put)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, conflict := []item{}, false
	for _, c := range t.Expected {
		i := s.items[c.Key]
		conflict = conflict || i.Revision != c.Revision
		if i.Key != "" {
			found = append(found, i)
		}
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": found})
		return
	}
	for _, p := range t.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.revision++
	for _, p := range t.Put {
		s.change(p)
	}
	for _, key := range t.Remove {
		s.change(item{Key: key, Gone: true})
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		MS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.MS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	id := s.last
	s.ttls[id] = time.Duration(q.MS) * time.Millisecond
	s.leases[id] = time.AfterFunc(s.ttls[id], func() { s.endLease(id) })
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": q.MS})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.Atoi(r.PathValue("id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.leases[id]
	if t == nil || !t.Stop() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	t.Reset(s.ttls[id])
	reply(w, http.StatusOK, map[string]any{"ttl_ms": s.ttls[id].Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.Atoi(r.PathValue("id"))
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) endLease(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	s.leases[id].Stop()
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.change(item{Key: key, Gone: true})
		}
	}
}
