package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/upstream"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

var errLongEvent = errors.New("gateway: an event is longer than allowed")

// stream is a streamed answer on its way to the caller.
type stream struct {
	gateway *Gateway
	writer  http.ResponseWriter
	call    *call
	begun   bool   // the head was passed on
	last    string // id of the last event that was passed on
	written bool   // the caller takes what is written
}

// passStream passes on the events of a stream as they come, each whole.
func (g *Gateway) passStream(ctx context.Context, w http.ResponseWriter, c *call, l *leg, a *upstream.Answer, more bool) verdict {
	s := &stream{gateway: g, writer: w, call: c, written: true}
	err := s.copyEvents(l, a)
	if err == nil {
		return s.finish(l, a)
	}
	a.Close()
	if !s.begun {
		return g.judgeFailure(ctx, c, l, err, more)
	}
	return s.broken(ctx, l, err)
}

// finish ends a stream that came whole.
func (s *stream) finish(l *leg, a *upstream.Answer) verdict {
	s.open(l, a)
	a.Finish()
	s.gateway.end(s.call, l, placement.Succeeded, "status "+strconv.Itoa(a.Status))
	return verdict{}
}

// open passes the head on before the first event.
func (s *stream) open(l *leg, a *upstream.Answer) {
	s.gateway.begin(s.call, l)
	if s.begun {
		return
	}
	s.begun = true
	writeAnswerHead(s.writer, a, a.Length)
}

// copyEvents passes events on until the stream ends.
func (s *stream) copyEvents(l *leg, a *upstream.Answer) error {
	control := http.NewResponseController(s.writer)
	reader := bufio.NewReader(a.Body)
	for {
		event, err := readEvent(reader)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(event) > 0 {
			if l.begun {
				s.gateway.hear(s.call, l)
			}
			s.open(l, a)
			if id, ok := eventID(event); ok {
				s.last = id
			}
			if _, failure := s.writer.Write(event); failure != nil {
				s.written = false
				return failure
			}
		}
		if err != nil {
			return nil
		}
		if reader.Buffered() == 0 {
			_ = control.Flush() // a caller that is gone is noticed by the next write
		}
	}
}

// readEvent returns the next event with the blank line that ends it. With
// io.EOF it returns what came after the last one.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if len(event) > maxEvent {
			return nil, errLongEvent
		}
		if err != nil {
			return event, err
		}
		if string(line) == "\n" || string(line) == "\r\n" {
			return event, nil
		}
	}
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return strings.TrimSpace(string(value)), true
		}
	}
	return "", false
}

// broken handles a stream that broke off after some of it was passed on.
func (s *stream) broken(ctx context.Context, l *leg, err error) verdict {
	g := s.gateway
	_ = http.NewResponseController(s.writer).Flush() // the caller is to get what came
	switch {
	case !s.written || errors.Is(ctx.Err(), context.Canceled):
		g.end(s.call, l, placement.Abandoned, "the caller left")
		return verdict{failure: &result.Error{Code: result.Cancelled, Run: result.Ran}, begun: true}
	case ctx.Err() != nil:
		g.end(s.call, l, placement.Abandoned, "out of time")
		return verdict{failure: &result.Error{Code: result.Stalled, Run: result.Ran, Reason: "the time allowed is over"}, begun: true}
	}
	g.end(s.call, l, placement.Broken, err.Error())
	return s.resume(ctx, l, err)
}

// resume takes the stream up at another endpoint after the last event that was
// passed on, as often as the route allows.
func (s *stream) resume(ctx context.Context, l *leg, err error) verdict {
	g := s.gateway
	c := s.call
	failed := verdict{failure: &result.Error{Code: result.Unresumable, Run: result.Ran, Reason: err.Error()}, begun: true}
	if !c.class.Route.Resumable || s.last == "" {
		return failed
	}
	tried := map[string]bool{l.endpoint.ID: true}
	for len(c.sends) < c.class.Route.MaxAttempts && g.mayRepeat(c) {
		next, refusal := g.place(c, tried)
		if refusal != nil {
			return failed
		}
		tried[next.endpoint.ID] = true
		a, err := g.exchangeAfter(ctx, c, next, s.last)
		if err != nil {
			g.end(c, next, placement.Broken, err.Error())
			continue
		}
		if a.Status/100 != 2 || a.Header.Get(g.fields.Seal) == "" {
			g.end(c, next, placement.Rejected, "status "+strconv.Itoa(a.Status))
			a.Close()
			continue
		}
		err = s.copyEvents(next, a)
		if err == nil {
			return s.finish(next, a)
		}
		a.Close()
		return s.broken(ctx, next, err)
	}
	return failed
}
