package gateway

import (
	"net/http"
	"strconv"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/failure"
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.capacity.enter()
	defer g.capacity.leave()
	if g.Draining() {
		w.Header().Set("Connection", "close")
	}
	q, failed := g.accept(w, r)
	defer g.releaseBody(q)
	if failed != nil {
		limitUnreadBody(w, q)
	}
	responseStarted := false
	if failed == nil {
		ctx, cancel := g.withDeadline(q)
		defer cancel()
		g.dispatcher.countRequest(q)
		failed, responseStarted = g.forward(ctx, w, q)
	}
	if c, ok := callerConnOf(r); ok && c.unread() {
		failed = unreadFailure(failed)
	}
	g.logRequest(q, failed)
	if failed == nil {
		return
	}
	if responseStarted || failed.Code == result.Cancelled || failed.Code == result.Unread {
		abort(r)
	}
	writeFailure(w, failed)
}

// abort closes the caller's connection so that the response doesn't look complete. A caller of HTTP/1.0
// gets no chunks, and would take a close in order for the end: its connection is reset.
func abort(r *http.Request) {
	if c, ok := callerConnOf(r); ok && !r.ProtoAtLeast(1, 1) {
		c.resetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// releaseBody frees the memory reserved for a request's body.
func (g *Gateway) releaseBody(q *request) {
	if q.reservation != nil {
		g.bodyMemory.release(q.reservation)
	}
}

// unreadFailure returns the failure of a request whose response the caller does not read. failed is
// the request's failure apart from that, nil for a complete response.
func unreadFailure(failed *result.Error) *result.Error {
	run := result.Ran
	if failed != nil {
		run = failed.Run
	}
	return &result.Error{Code: result.Unread, Run: run, Reason: "the caller reads no more"}
}

// writeFailure writes an error response of the gateway. Callers accept fractions of seconds in
// Retry-After.
func writeFailure(w http.ResponseWriter, f *result.Error) {
	retry := ""
	if f.RetryAfter > 0 {
		retry = strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', -1, 64)
	}
	failure.Write(w, f, retry)
}
