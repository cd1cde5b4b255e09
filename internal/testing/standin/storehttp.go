package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/relay/kv/httpkv"
	"foxcross.dev/foxcross/internal/storeerr"

	"github.com/alexedwards/flow"
)

var (
	errLost     = errors.New("standin: the response was lost")
	errTooLarge = errors.New("standin: the value is too large")
)

// maxWatchWait is the time after which a watch over HTTP reads the value again.
const maxWatchWait = 30 * time.Second

// Handler serves the store over HTTP, as package httpkv describes it.
func (s *Store) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc(httpkv.ValuePath+"...", s.serveGet, http.MethodGet)
	mux.HandleFunc(httpkv.ValuePath+"...", s.servePut, http.MethodPut)
	mux.HandleFunc(httpkv.MembersPath, s.serveMembers, http.MethodGet)
	return mux
}

func requestKey(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, httpkv.ValuePath) }

func parseRevision(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	var v kv.Value
	var err error
	if after := r.URL.Query().Get("after"); after != "" {
		timer := time.AfterFunc(maxWatchWait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.wake(requestKey(r))
		})
		v, err = s.Watch(r.Context(), requestKey(r), parseRevision(after))
		timer.Stop()
	} else {
		v, err = s.Get(r.Context(), requestKey(r))
	}
	if err != nil {
		writeStoreError(w, err)
		return
	}
	w.Header().Set(httpkv.RevisionField, strconv.FormatUint(v.Revision, 10))
	_, _ = w.Write(v.Data) // the caller may have disconnected
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		http.Error(w, errTooLarge.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	revision, err := s.Swap(r.Context(), requestKey(r), data, parseRevision(r.Header.Get(httpkv.RevisionField)))
	if err != nil {
		writeStoreError(w, err)
		return
	}
	w.Header().Set(httpkv.RevisionField, strconv.FormatUint(revision, 10))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveMembers(w http.ResponseWriter, r *http.Request) {
	members, err := s.Members(r.Context())
	writeStoreJSON(w, members, err)
}

func writeStoreJSON(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeStoreError(w, err)
		return
	}
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}

// writeStoreError writes the response for an error. A lost response breaks the connection.
func writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, storeerr.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, kv.ErrConflict):
		w.WriteHeader(http.StatusConflict)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
