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
	defer g.capacity.releaseBody(q)
	begun := false
	if failed == nil {
		ctx, cancel := q.bounded()
		defer cancel()
		g.attempts.countRequest(q)
		failed, begun = g.forward(ctx, w, q)
	}
	g.report(q, failed)
	if failed == nil {
		return
	}
	if begun || failed.Code == result.Cancelled {
		panic(http.ErrAbortHandler) // the caller must not take the answer for whole
	}
	writeFailure(w, failed)
}

// writeFailure answers with a code of the gateway's own. Callers accept fractions
// of seconds in Retry-After.
func writeFailure(w http.ResponseWriter, f *result.Error) {
	retry := ""
	if f.RetryAfter > 0 {
		retry = strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', -1, 64)
	}
	failure.Write(w, f, retry)
}
