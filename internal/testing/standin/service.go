package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/relay/endpoint"
)

// Service is a plain service that records the calls that it executes. The zero value is
// ready for use.
type Service struct {
	Latency time.Duration // per call

	// OnStart, if set, is called with the path and body of each call.
	OnStart func(call string)

	mu         sync.Mutex
	executions map[string]int // by method, path and body
}

// ServeHTTP executes a call and returns its text.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := s.execute(r.Method, r.URL.RequestURI(), r.URL.Path, body)
	_, _ = io.WriteString(w, answer) // the caller may have disconnected
}

// execute records a call, waits for the time it takes and returns the response.
func (s *Service) execute(method, uri, path string, body []byte) string {
	call := fmt.Sprintf("%s %s %s", method, uri, body)
	s.mu.Lock()
	if s.executions == nil {
		s.executions = map[string]int{}
	}
	s.executions[call]++
	s.mu.Unlock()
	if s.OnStart != nil {
		s.OnStart(path + " " + string(body))
	}
	time.Sleep(s.Latency)
	return "done: " + call
}

// Run implements endpoint.Driver for tests without a network. Like most services it
// completes a call whose caller has disconnected.
func (s *Service) Run(_ context.Context, c endpoint.Call, k endpoint.Sink) message.End {
	answer := s.execute(c.Start.Method, c.Start.Path, c.Start.Path, c.Start.Body)
	if err := k.Head(http.StatusOK, nil); err != nil {
		return message.End{Code: result.EndpointFailed, Run: result.Ran, Reason: err.Error()}
	}
	if err := k.Data([]byte(answer), 0); err != nil {
		return message.End{Code: result.EndpointFailed, Run: result.Ran, Reason: err.Error()}
	}
	return message.End{Code: result.OK, Run: result.Ran}
}

// Executions returns the number of executions of each call.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int, len(s.executions))
	for c, n := range s.executions {
		all[c] = n
	}
	return all
}
