package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a plain service that records what it executes. The zero value is
// ready.
type Service struct {
	Takes time.Duration // per call

	// OnStart, if set, is called with the path and body of each call.
	OnStart func(call string)

	mu         sync.Mutex
	executions map[string]int // by method, path and body
}

// ServeHTTP executes a call and echoes it.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call := fmt.Sprintf("%s %s %s", r.Method, r.URL.RequestURI(), body)
	s.mu.Lock()
	if s.executions == nil {
		s.executions = map[string]int{}
	}
	s.executions[call]++
	s.mu.Unlock()
	if s.OnStart != nil {
		s.OnStart(r.URL.Path + " " + string(body))
	}
	time.Sleep(s.Takes)
	_, _ = fmt.Fprintf(w, "done: %s", call) // the caller may be gone
}

// Executions returns how often each call was executed.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int, len(s.executions))
	for c, n := range s.executions {
		all[c] = n
	}
	return all
}
