package endpoint

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"foxcross.dev/coord/completeness"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/socket"
)

// exchange is a request to an endpoint and its response. The zero value is ready to use.
type exchange struct {
	connected atomic.Bool
	conn      atomic.Pointer[socket.Conn] // the last one; net/http may take another after a failure
}

// do sends a request. Without a response, the returned end says whether the endpoint may
// have received the request: only if there was a connection.
func (x *exchange) do(client *http.Client, request *http.Request) (*http.Response, message.End) {
	trace := &httptrace.ClientTrace{GotConn: x.begin, WroteRequest: x.end}
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err == nil {
		return response, message.End{}
	}
	if x.connected.Load() {
		return nil, failed(result.Unknown, reason(err))
	}
	return nil, failed(result.NotRun, reason(err))
}

// begin is called before the request is written.
func (x *exchange) begin(info httptrace.GotConnInfo) {
	x.connected.Store(true)
	c := socket.Of(info.Conn)
	if c != nil {
		c.BeginRequest()
	}
	x.conn.Store(c)
}

// end is called when the request has been written or has failed.
func (x *exchange) end(info httptrace.WroteRequestInfo) {
	if c := x.conn.Load(); c != nil {
		c.EndRequest(info.Err)
	}
}

// invalid returns why a response is no answer, empty if it is one.
func (x *exchange) invalid(response *http.Response) string {
	if completeness.KindOfStatus(response.StatusCode) != completeness.FinalStatus {
		return fmt.Sprintf("the endpoint answered with status %d", response.StatusCode)
	}
	if name, found := completeness.InvalidName(response.Header); found {
		return limited(fmt.Sprintf("the endpoint answered with the invalid field %+q", name))
	}
	if c := x.conn.Load(); c != nil && c.Coded() && !response.ProtoAtLeast(1, 1) {
		return "the endpoint answered in HTTP/1.0 with a transfer coding"
	}
	return ""
}

// upload returns the state of the request when the response ended with its connection.
func (x *exchange) upload() completeness.Upload {
	c := x.conn.Load()
	if c == nil {
		return completeness.Accepted // the state is unknown for a connection of another type
	}
	return c.Upload()
}
