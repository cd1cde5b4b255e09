package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/upstream"
)

// maxBuffered is the longest answer that is read whole before any of it is
// passed on, so that one that breaks off can still be replaced.
const maxBuffered = 256 << 10

// passWhole passes on an answer that is no stream.
func (g *Gateway) passWhole(ctx context.Context, w http.ResponseWriter, c *call, l *leg, a *upstream.Answer, more bool) verdict {
	if a.Length > maxBuffered {
		return g.pass(w, c, l, a, placement.Succeeded)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
	if err != nil || (a.Length >= 0 && int64(len(body)) != a.Length) {
		a.Close()
		return g.judgeFailure(ctx, c, l, errors.Join(upstream.ErrBroken, err), more)
	}
	if a.Length < 0 && len(body) == maxBuffered {
		return g.passRest(w, c, l, a, body)
	}
	g.begin(c, l)
	a.Finish()
	g.end(c, l, placement.Succeeded, "status "+strconv.Itoa(a.Status))
	writeAnswerHead(w, a, int64(len(body)))
	_, _ = w.Write(body) // the caller may be gone
	return verdict{}
}

// pass passes an answer on as it comes.
func (g *Gateway) pass(w http.ResponseWriter, c *call, l *leg, a *upstream.Answer, o placement.Outcome) verdict {
	g.begin(c, l)
	writeAnswerHead(w, a, a.Length)
	return g.copyBody(w, c, l, a, o)
}

// passRest passes on an answer whose beginning has been read.
func (g *Gateway) passRest(w http.ResponseWriter, c *call, l *leg, a *upstream.Answer, body []byte) verdict {
	g.begin(c, l)
	writeAnswerHead(w, a, a.Length)
	if _, err := w.Write(body); err != nil {
		a.Close()
		g.end(c, l, placement.Abandoned, "the caller left")
		return verdict{failure: &result.Error{Code: result.Cancelled, Run: result.Ran}}
	}
	return g.copyBody(w, c, l, a, placement.Succeeded)
}

func (g *Gateway) copyBody(w http.ResponseWriter, c *call, l *leg, a *upstream.Answer, o placement.Outcome) verdict {
	_, err := io.Copy(w, a.Body)
	if err == nil {
		a.Finish()
		g.end(c, l, o, "status "+strconv.Itoa(a.Status))
		return verdict{}
	}
	a.Close()
	g.end(c, l, placement.Broken, err.Error())
	return verdict{failure: &result.Error{Code: result.EndpointFailed, Run: result.Ran, Reason: err.Error()}, begun: true}
}

func writeAnswerHead(w http.ResponseWriter, a *upstream.Answer, length int64) {
	h := w.Header()
	copyAnswerHeader(h, a.Header)
	if length >= 0 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(a.Status)
}
