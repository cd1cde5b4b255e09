package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/upstream"
)

// maxBuffered is the longest answer, in bytes, that is read whole before any of it
// is passed on, so that one that breaks off can still be replaced. Chosen, not
// measured.
const maxBuffered = 256 << 10

// passOn passes an endpoint's answer on to the caller.
func (f *forwarding) passOn(a *attempt, answer *upstream.Answer, e event) outcome {
	switch {
	case answer.Status >= http.StatusInternalServerError:
		return f.copyAnswer(a, answer, nil, e)
	case f.request.class.Route.Streaming && succeeded(answer.Status):
		return f.passStream(a, answer)
	case answer.Length > maxBuffered:
		return f.copyAnswer(a, answer, nil, e)
	default:
		return f.passWhole(a, answer, e)
	}
}

// passWhole reads a short answer and passes it on once it is whole.
func (f *forwarding) passWhole(a *attempt, answer *upstream.Answer, e event) outcome {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered))
	if err != nil || (answer.Length >= 0 && int64(len(body)) != answer.Length) {
		answer.Close()
		return f.fail(a, errors.Join(upstream.ErrBroken, err))
	}
	if answer.Length < 0 && len(body) == maxBuffered {
		return f.copyAnswer(a, answer, body, e)
	}
	f.gateway.attempts.firstEvent(f.request, a)
	answer.Finish()
	f.gateway.attempts.end(a, e)
	writeAnswerHead(f.writer, answer, int64(len(body)))
	_, _ = f.writer.Write(body) // the caller may be gone
	return done{}
}

// copyAnswer passes an answer on as it comes, after the beginning that has been
// read of it.
func (f *forwarding) copyAnswer(a *attempt, answer *upstream.Answer, beginning []byte, e event) outcome {
	f.gateway.attempts.firstEvent(f.request, a)
	f.begun = true
	writeAnswerHead(f.writer, answer, answer.Length)
	if _, err := f.writer.Write(beginning); err != nil {
		answer.Close()
		f.gateway.attempts.end(a, callerLeft{})
		return fail{&result.Error{Code: result.Cancelled, Run: result.Ran}}
	}
	if _, err := io.Copy(f.writer, answer.Body); err != nil {
		answer.Close()
		f.gateway.attempts.end(a, noAnswer{err})
		return fail{&result.Error{Code: result.EndpointFailed, Run: result.Ran, Reason: err.Error()}}
	}
	answer.Finish()
	f.gateway.attempts.end(a, e)
	return done{}
}

// writeAnswerHead passes the head of an answer on. A length of -1 is unknown.
func writeAnswerHead(w http.ResponseWriter, a *upstream.Answer, length int64) {
	h := w.Header()
	copyAnswerHeader(h, a.Header)
	if length >= 0 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(a.Status)
}
