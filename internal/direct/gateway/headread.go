package gateway

import (
	"bytes"
	"io"
	"net/http"

	"foxcross.dev/coord/result"
)

// headReader meters the heads that arrive on one connection. The zero value has no limits.
type headReader struct {
	limit   func() int // of a head, in bytes; nil for none
	meter   headMeter
	hold    headHold
	refused *result.Error // what the request gets once its head has arrived, nil if it is served
	closed  bool
	// countRefused is called with the failure of a request that is refused.
	countRefused func(*result.Error)
}

// read counts bytes of the present head. It returns the failure that ends the connection, if any, and
// reports whether the bytes are discarded.
func (h *headReader) read(data []byte) (failed *result.Error, discard bool) {
	if h.limit == nil || h.closed {
		return nil, false
	}
	h.meter.read(data)
	if limit := h.limit(); h.meter.bytes > limit+headerSlack {
		return result.Errorf(result.HeadersTooLarge, "at most %d bytes", limit), true
	}
	if h.refused == nil && !h.hold.grow(h.meter.memory()) {
		h.refused = entryFull(headMemoryReason)
	}
	if h.refused == nil {
		return nil, false
	}
	if h.meter.ended {
		return h.refused, true
	}
	return nil, true
}

// headMemoryReason is the reason for which a request is refused whose head finds no memory.
const headMemoryReason = "heads take too much memory"

// reset prepares for the next head.
func (h *headReader) reset() {
	h.meter = headMeter{}
	h.hold.release()
}

// close frees the memory of the head for good.
func (h *headReader) close() {
	h.closed = true
	h.hold.release()
}

// meterHead counts bytes that have arrived, if they belong to a head.
func (c *callerConn) meterHead(data []byte) (failed *result.Error, discard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHeader || len(data) == 0 {
		return nil, false
	}
	return c.head.read(data)
}

// endHead records that a head was read and parsed, and reports whether there is memory for it. It may
// have arrived behind the request before it, and not have been counted.
func (c *callerConn) endHead(memory int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeader = false
	c.markBusy()
	return c.head.closed || c.head.hold.grow(memory)
}

// refuse answers a request whose head was not parsed, and makes the server close the connection.
func (c *callerConn) refuse(f *result.Error) error {
	w := &bufferedResponse{header: http.Header{}}
	writeFailure(w, f)
	response := http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true,
		Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()),
	}
	var data bytes.Buffer
	if err := response.Write(&data); err != nil {
		log.With("reason", err.Error()).WarnLimited("refusal", "A refusal can't be encoded.")
		return io.EOF
	}
	_, _ = c.Write(data.Bytes()) // the caller may have left
	return io.EOF
}

// bufferedResponse is a response that is kept.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *bufferedResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *bufferedResponse) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *bufferedResponse) Write(data []byte) (int, error) { return w.body.Write(data) }
