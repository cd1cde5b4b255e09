// Package httpkv implements the platform driver "http": a key-value service and a member
// list over plain HTTP. A value is the body of GET and PUT under ValuePath; its revision is
// in RevisionField. PUT stores the value only if the stored one has the given revision.
// A value needs a length or chunks, since nothing else marks its end.
// Status 409 means that it has changed, 404 that there is no value, 503 that nothing was
// done. GET with the query parameter "after" waits for a later revision.
package httpkv

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"foxcross.dev/coord/completeness"
	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/storeerr"
)

// Paths and header field of the protocol.
const (
	ValuePath     = "/v1/values/"
	MembersPath   = "/v1/members"
	RevisionField = "X-Revision"
)

const (
	// callTimeout bounds a call other than a watch.
	callTimeout = 5 * time.Second
	// dialTimeout bounds setting up a connection.
	dialTimeout = 2 * time.Second
	// maxResponseBytes bounds a response body. A value takes at most a megabyte; a list of keys
	// may be longer.
	maxResponseBytes = 16 << 20
)

func init() { kv.Drivers.Register("http", New) }

type client struct {
	base *url.URL
	http *http.Client
}

// New returns a client for the service at a base URL.
func New(address string) (kv.Platform, error) {
	base, err := url.Parse(address)
	if err != nil || base.Host == "" {
		return nil, fmt.Errorf("httpkv: %q is not a URL", address)
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	return &client{base: base, http: &http.Client{Transport: transport}}, nil
}

// call holds the parameters of a call.
type call struct {
	method   string
	path     string
	query    url.Values
	body     []byte // nil for none
	revision uint64 // expected by a swap
}

// reply holds the body and the revision of a response.
type reply struct {
	body     []byte
	revision uint64
	framing  completeness.Framing
}

// errUnmarkedEnd is returned for a value that may be a part: nothing but the close of the connection ends it.
var errUnmarkedEnd = errors.New("httpkv: the end of the value is not marked")

// value returns the value in a reply. A value is opaque: its framing alone shows that it is complete.
func (r reply) value() (kv.Value, error) {
	if r.framing == completeness.UntilClose {
		return kv.Value{}, errUnmarkedEnd
	}
	return kv.Value{Data: r.body, Revision: r.revision}, nil
}

// do makes one call. An error before a connection is set up means that nothing was done.
// After any later error the outcome is unknown.
func (c *client) do(ctx context.Context, q call) (reply, error) {
	target := c.base.JoinPath(q.path)
	target.RawQuery = q.query.Encode()
	var reader io.Reader
	if q.body != nil {
		reader = struct{ io.Reader }{bytes.NewReader(q.body)} // hides the type, so that net/http can't resend the body
	}
	request, err := http.NewRequestWithContext(ctx, q.method, target.String(), reader)
	if err != nil {
		return reply{}, err
	}
	request.Header.Set(RevisionField, strconv.FormatUint(q.revision, 10))
	response, err := c.http.Do(request)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return reply{}, fmt.Errorf("%w: %v", storeerr.ErrUnavailable, err)
	}
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if name, found := completeness.InvalidName(response.Header); found {
		return reply{}, fmt.Errorf("httpkv: invalid field %+q", name)
	}
	framing := completeness.FramingOf(response.ContentLength, response.TransferEncoding, response.Body != http.NoBody)
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return reply{}, err
	}
	number, _ := strconv.ParseUint(response.Header.Get(RevisionField), 10, 64) // 0 if absent
	return reply{body: data, revision: number, framing: framing}, statusError(response.StatusCode)
}

// doWithTimeout is do within callTimeout.
func (c *client) doWithTimeout(ctx context.Context, q call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.do(ctx, q)
}

func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return storeerr.ErrNotFound
	case http.StatusConflict:
		return kv.ErrConflict
	case http.StatusServiceUnavailable:
		return storeerr.ErrUnavailable
	default:
		return fmt.Errorf("httpkv: status %d", status)
	}
}

// Get implements kv.KeyValue.
func (c *client) Get(ctx context.Context, key string) (kv.Value, error) {
	a, err := c.doWithTimeout(ctx, call{method: http.MethodGet, path: ValuePath + key})
	if err != nil {
		return kv.Value{}, err
	}
	return a.value()
}

// Members implements kv.Members.
func (c *client) Members(ctx context.Context) ([]kv.Member, error) {
	a, err := c.doWithTimeout(ctx, call{method: http.MethodGet, path: MembersPath})
	if err != nil {
		return nil, err
	}
	return parseMembers(a.body)
}

// Swap implements kv.KeyValue.
func (c *client) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	if data == nil {
		data = []byte{}
	}
	a, err := c.doWithTimeout(ctx, call{method: http.MethodPut, path: ValuePath + key, body: data, revision: revision})
	return a.revision, err
}

// Watch implements kv.KeyValue. It waits until ctx is done.
func (c *client) Watch(ctx context.Context, key string, after uint64) (kv.Value, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	a, err := c.do(ctx, call{method: http.MethodGet, path: ValuePath + key, query: query})
	if err != nil {
		return kv.Value{}, err
	}
	return a.value()
}
