package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/failure"

	"github.com/tmaxmax/go-sse"
)

// eventStream writes server-sent events. The response status is written with the first
// event.
type eventStream struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	started    bool
	err        error
}

func (s *eventStream) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", failure.CodeField)
	h.Set(failure.RunField, result.Ran.String())
	s.writer.WriteHeader(http.StatusOK)
}

func (s *eventStream) event(v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		s.err = err
		return
	}
	s.send(string(raw))
}

func (s *eventStream) send(data string) {
	s.start()
	var m sse.Message
	m.AppendData(data)
	if _, err := m.WriteTo(s.writer); err != nil {
		s.err = err
	}
}

// fail ends the response with an error. If nothing was written, the error sets the
// status; otherwise it is the last event, and the [DONE] event is not sent.
func (s *eventStream) fail(f *result.Error) {
	if !s.started {
		writeFailure(s.writer, f)
		return
	}
	s.event(failure.BodyOf(f))
	s.writer.Header().Set(failure.CodeField, strconv.Itoa(int(f.Code)))
	_ = s.flush() // the caller may have disconnected
}

// done ends a complete response with the [DONE] event.
func (s *eventStream) done(f finished) {
	s.send("[DONE]")
	s.writer.Header().Set(failure.CodeField, strconv.Itoa(int(f.Code)))
	_ = s.flush() // the caller may have disconnected
}

func (s *eventStream) flush() error {
	if s.err != nil {
		return s.err
	}
	if !s.started {
		return nil
	}
	return s.controller.Flush()
}
