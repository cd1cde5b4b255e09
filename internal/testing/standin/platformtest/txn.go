package platformtest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// txn is a transaction.
type txn struct {
	Conditions []Item   `json:"expectedRev"`
	Put        []Item   `json:"put"`
	Remove     []string `json:"remove"`
}

// maxTxnItems is the largest number of conditions and changes of a transaction.
const maxTxnItems = 32

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Conditions)+len(t.Put)+len(t.Remove) > maxTxnItems {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.refusalStatus(t); status != 0 {
		w.WriteHeader(status)
		return
	}
	s.revision++
	for _, i := range t.Put {
		s.changeAt(s.revision, i)
	}
	for _, key := range t.Remove {
		s.changeAt(s.revision, Item{Key: key, Removed: true})
	}
	reply(w, struct {
		Revision uint64 `json:"revision"`
	}{s.revision})
}

// refusalStatus returns the status of a transaction that is refused, or 0. Store.mu must be held.
func (s *Store) refusalStatus(t txn) int {
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return http.StatusPreconditionFailed
		}
	}
	for _, i := range t.Put {
		if strings.HasPrefix(i.Key, endpointPrefix) || strings.HasPrefix(i.Key, "op/") {
			return http.StatusForbidden
		}
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			return http.StatusNotFound
		}
	}
	return 0
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		MS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.MS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.ttls[id] = time.Duration(request.MS) * time.Millisecond
	s.leases[id] = time.AfterFunc(s.ttls[id], func() { s.endLease(id) })
	reply(w, struct {
		Lease int   `json:"lease"`
		MS    int64 `json:"ttl_ms"`
	}{id, request.MS})
}

func (s *Store) serveRenewal(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.Atoi(r.PathValue("lease")) // 0 is no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	timer := s.leases[id]
	if timer == nil || !timer.Stop() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	timer.Reset(s.ttls[id])
	reply(w, struct{}{})
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.Atoi(r.PathValue("lease")) // 0 is no lease
	s.endLease(id)
	reply(w, struct{}{})
}

// endLease ends a lease and removes the keys attached to it.
func (s *Store) endLease(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil || id == 0 {
		return
	}
	s.leases[id].Stop()
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.changeAt(s.revision, Item{Key: key, Removed: true})
		}
	}
}

// Keys returns the keys that have a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			all = append(all, key)
		}
	}
	return all
}
