package gateway

import (
	"net/http"
	"strconv"
	"strings"

	"foxcross.dev/foxcross/internal/direct/driver"
)

// hopByHopFields apply to one connection only (RFC 9110, 7.6.1).
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// droppedFields returns the header fields of callers that are not forwarded: hop-by-hop fields, and
// those that the entry sets itself.
func droppedFields(f driver.HeaderFields) map[string]bool {
	dropped := map[string]bool{"Content-Length": true, "Expect": true, "Host": true}
	for _, name := range hopByHopFields {
		dropped[name] = true
	}
	for _, name := range append([]string{f.Deadline, f.Key, f.Team, f.Target, f.Priority, f.Fetch, f.Replica, f.Continue}, f.Internal...) {
		dropped[http.CanonicalHeaderKey(name)] = true
	}
	return dropped
}

// connectionOptions returns the fields listed in the Connection field.
func connectionOptions(h http.Header) map[string]bool {
	options := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			options[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}

// requestHeader returns the header for an endpoint. If lastEvent is set, it has the ID of the last
// event that the caller received, after which the stream is resumed.
func (g *Gateway) requestHeader(q *request, a *attempt, lastEvent string) http.Header {
	h := http.Header{}
	options := connectionOptions(q.incoming.Header)
	for name, values := range q.incoming.Header {
		if !g.droppedFields[name] && !options[name] {
			h[name] = values
		}
	}
	h.Set(g.fields.Deadline, strconv.FormatInt(max(q.timeLeft().Milliseconds(), 1), 10))
	h.Set(g.fields.Target, a.endpoint().ID)
	h.Set(g.fields.Priority, strconv.Itoa(min(max(q.spec.Priority, 0), lowestPriority)))
	if q.team != "" {
		h.Set(g.fields.Team, q.team)
	}
	if a.choice.Fetch.Any() {
		h.Set(g.fields.Fetch, a.choice.Fetch.Address)
	}
	if lastEvent != "" {
		h.Set(g.fields.LastEvent, lastEvent)
	}
	g.setReplicaFields(h, q, a)
	return h
}

// lowestPriority is the least urgent priority that engines support.
const lowestPriority = 9

// copyResponseHeader copies the header fields of an endpoint's response that are relayed to the
// caller.
func copyResponseHeader(to, from http.Header) {
	dropped := connectionOptions(from)
	for _, name := range hopByHopFields {
		dropped[name] = true
	}
	dropped["Content-Length"] = true
	for name, values := range from {
		if !dropped[name] {
			to[name] = values
		}
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil // disables content sniffing
	}
}
