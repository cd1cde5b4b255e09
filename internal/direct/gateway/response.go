package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"foxcross.dev/coord/completeness"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/upstream"
	"foxcross.dev/foxcross/internal/steady"
)

// maxBufferedBytes is the size up to which a response is read completely before any of it is
// relayed, so that a retry can replace one that breaks off.
const maxBufferedBytes = 256 << 10

// relayResponse relays an endpoint's response to the caller.
func (f *forwarding) relayResponse(a *attempt, response *upstream.Response, res attemptResult) decision {
	switch {
	case response.Status >= http.StatusInternalServerError:
		return f.relayUnbuffered(a, response, nil, res)
	case f.isStream(response):
		return f.relayStream(a, response)
	case response.Length > maxBufferedBytes:
		return f.relayUnbuffered(a, response, nil, res)
	default:
		return f.relayBuffered(a, response, res)
	}
}

// relayBuffered buffers a short response before it is relayed, if there is memory for it.
func (f *forwarding) relayBuffered(a *attempt, response *upstream.Response, res attemptResult) decision {
	r := &reservation{caller: callerOf(f.request)}
	bytes := response.Length
	if bytes < 0 {
		bytes = maxBufferedBytes
	}
	if !f.gateway.bodyMemory.reserve(steady.Now(), r, bytes) {
		return f.relayUnbuffered(a, response, nil, res)
	}
	defer f.gateway.bodyMemory.release(r)
	return f.relayWhole(a, response, res)
}

// relayWhole reads a short response and relays it once it is complete.
func (f *forwarding) relayWhole(a *attempt, response *upstream.Response, res attemptResult) decision {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err == nil && response.Length < 0 && len(body) == maxBufferedBytes {
		return f.relayUnbuffered(a, response, body, res)
	}
	verdict, err := f.gateway.judge(a, response, err, completeness.Opaque)
	if err != nil {
		response.Close()
		return f.endFailed(a, err)
	}
	f.recordFirstEvent(a)
	response.Finish()
	f.endAttempt(a, res)
	switch {
	case verdict == completeness.Unproven:
		writeUnproven(f.writer, response)
	case response.Framing() == completeness.NoBody:
		writeResponseHeader(f.writer, response, response.Length)
	default:
		writeResponseHeader(f.writer, response, int64(len(body)))
	}
	a.bytes = len(body)
	_, _ = f.writer.Write(body) // the caller may have disconnected
	return done{}
}

// relayUnbuffered relays a response as it arrives, after the prefix that was already read.
func (f *forwarding) relayUnbuffered(a *attempt, response *upstream.Response, prefix []byte, res attemptResult) decision {
	f.recordFirstEvent(a)
	f.responseStarted = true
	writeResponseHeader(f.writer, response, response.Length)
	to := &callerWriter{writer: f.writer}
	copied, err := io.Copy(to, io.MultiReader(bytes.NewReader(prefix), response.Body))
	a.bytes = int(copied)
	if !to.failed {
		_, err = f.gateway.judge(a, response, err, completeness.Opaque)
	}
	if err == nil {
		response.Finish()
		f.endAttempt(a, res)
		return done{}
	}
	response.Close()
	broken := resultOfError(context.Cause(f.ctx), err)
	if to.failed {
		broken = callerLeft{}
	}
	broken = f.endAttempt(a, broken)
	switch broken.(type) {
	case noResponse, endpointCrashed:
		return fail{&result.Error{Code: result.EndpointFailed, Run: result.Ran, Reason: err.Error()}}
	default:
		return decideBrokenStream(retryState{}, broken)
	}
}

// callerWriter records whether a write to the caller failed, as opposed to a read from the
// endpoint.
type callerWriter struct {
	writer io.Writer
	failed bool
}

// Write implements io.Writer.
func (w *callerWriter) Write(b []byte) (int, error) {
	n, err := w.writer.Write(b)
	w.failed = w.failed || err != nil
	return n, err
}

// writeResponseHeader relays the status and header of a response. A length of -1 is unknown: the body
// goes out in chunks, which shows the caller whether this process ended within it.
func writeResponseHeader(w http.ResponseWriter, response *upstream.Response, length int64) {
	h := w.Header()
	copyResponseHeader(h, response.Header)
	if length >= 0 && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(response.Status)
}

// writeUnproven relays the header of a response that has been read whole and whose end nothing proves.
// Its body ends with the caller's connection, as it came.
func writeUnproven(w http.ResponseWriter, response *upstream.Response) {
	w.Header().Set("Transfer-Encoding", "identity") // net/http then closes the connection after the body
	writeResponseHeader(w, response, -1)
}
