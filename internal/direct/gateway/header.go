package gateway

import (
	"net/http"
	"strconv"
	"strings"

	"foxcross.dev/foxcross/internal/direct/driver"
)

// connectionFields concern one connection only (RFC 9110, 7.6.1).
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownFields are the fields of a caller that are not passed on as they are.
func ownFields(f driver.Fields) map[string]bool {
	own := map[string]bool{"Content-Length": true, "Expect": true, "Host": true}
	for _, name := range connectionFields {
		own[name] = true
	}
	for _, name := range append([]string{f.Deadline, f.Key, f.Team, f.Target, f.Priority}, f.Internal...) {
		own[http.CanonicalHeaderKey(name)] = true
	}
	return own
}

// named returns the fields that a Connection field names.
func named(h http.Header) map[string]bool {
	all := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			all[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return all
}

// requestHeader returns the header for an endpoint.
func (g *Gateway) requestHeader(c *call, endpoint string, lastEvent string) http.Header {
	h := http.Header{}
	dropped := named(c.request.Header)
	for name, values := range c.request.Header {
		if !g.own[name] && !dropped[name] {
			h[name] = values
		}
	}
	h.Set(g.fields.Deadline, strconv.FormatInt(max(c.left().Milliseconds(), 1), 10))
	h.Set(g.fields.Target, endpoint)
	h.Set(g.fields.Priority, strconv.Itoa(min(max(c.job.Priority, 0), minUrgent)))
	if c.team != "" {
		h.Set(g.fields.Team, c.team)
	}
	if lastEvent != "" {
		h.Set(g.fields.LastEvent, lastEvent)
	}
	return h
}

// minUrgent is the last priority that engines know.
const minUrgent = 9

// copyAnswerHeader passes an endpoint's header on to the caller.
func copyAnswerHeader(to, from http.Header) {
	dropped := named(from)
	for _, name := range connectionFields {
		dropped[name] = true
	}
	dropped["Content-Length"] = true
	for name, values := range from {
		if !dropped[name] {
			to[name] = values
		}
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil // none is guessed
	}
}
