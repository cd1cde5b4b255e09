package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/failure"

	"github.com/tmaxmax/go-sse"
)

// eventStream writes server-sent events. The status is sent with the first.
type eventStream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	begun   bool
	err     error
}

func (s *eventStream) begin() {
	if s.begun {
		return
	}
	s.begun = true
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
	s.begin()
	var m sse.Message
	m.AppendData(data)
	if _, err := m.WriteTo(s.writer); err != nil {
		s.err = err
	}
}

// fail ends the answer with a numbered error: as the status if nothing was
// written, else as the last event, without the mark of a whole answer.
func (s *eventStream) fail(f *result.Error) {
	if !s.begun {
		writeFailure(s.writer, f)
		return
	}
	s.event(failure.BodyOf(f))
	s.writer.Header().Set(failure.CodeField, strconv.Itoa(int(f.Code)))
	_ = s.flush() // the caller may be gone
}

// done marks the answer as whole.
func (s *eventStream) done(f finished) {
	s.send("[DONE]")
	s.writer.Header().Set(failure.CodeField, strconv.Itoa(int(f.Code)))
	_ = s.flush() // the caller may be gone
}

func (s *eventStream) flush() error {
	if s.err != nil {
		return s.err
	}
	if !s.begun {
		return nil
	}
	return s.control.Flush()
}
