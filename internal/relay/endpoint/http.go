package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"foxcross.dev/coord/completeness"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/socket"
)

const (
	// dialTimeout bounds setting up a connection to an endpoint.
	dialTimeout = 2 * time.Second
	// readBufferBytes is the size of the buffer for reading a response.
	readBufferBytes = 16 << 10
	// maxIdle is the maximum number of idle connections to one endpoint.
	maxIdle = 1024
	// maxResponseHeader limits the header of a response, in bytes. It may repeat that of the request, of
	// which an entry accepts 64 KiB.
	maxResponseHeader = 128 << 10
	// maxReasonBytes limits the text of a failed call, in which net/http repeats an invalid response.
	maxReasonBytes = 200
)

func init() { Drivers.Register("http", newService) }

// service is the driver of a plain HTTP service.
type service struct {
	base            *url.URL
	pooledClient    *http.Client // for repeatable calls
	singleUseClient *http.Client // one connection per call, so that a call is never sent twice
}

func newService(s Settings) (Driver, error) {
	base, err := baseURL(s)
	if err != nil {
		return nil, err
	}
	return &service{base: base, pooledClient: newClient(true), singleUseClient: newClient(false)}, nil
}

func baseURL(s Settings) (*url.URL, error) {
	base, err := url.Parse(s.Address)
	if err != nil || base.Host == "" {
		return nil, fmt.Errorf("endpoint %s: address %q is not a URL", s.Name, s.Address)
	}
	return base, nil
}

// newClient returns a client that does not follow redirects. With reuse it keeps idle
// connections; net/http may then resend a request whose connection turned out to be closed.
func newClient(reuse bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            socket.Dialer(&net.Dialer{Timeout: dialTimeout}),
			MaxIdleConnsPerHost:    maxIdle,
			DisableKeepAlives:      !reuse,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeader,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run forwards the request to the service and the response to the sink.
func (s *service) Run(ctx context.Context, c Call, k Sink) message.End {
	request, err := s.request(ctx, c.Start)
	if err != nil {
		return failed(result.NotRun, err.Error())
	}
	client := s.singleUseClient
	if c.Terms.Repeatable {
		client = s.pooledClient
	}
	var x exchange
	response, end := x.do(client, request)
	if response == nil {
		return end
	}
	defer func() { _ = response.Body.Close() }()
	if why := x.invalid(response); why != "" {
		return failed(result.Ran, why)
	}
	if err := k.Head(response.StatusCode, fieldsOf(response.Header)); err != nil {
		return failed(result.Ran, err.Error())
	}
	if err := copyBody(response.Body, k); err != nil {
		return failed(result.Ran, err.Error())
	}
	framing := completeness.FramingOf(response.ContentLength, response.TransferEncoding, response.Body != http.NoBody)
	gone := func() bool { return s.HasCrashed(ctx) }
	evidence := completeness.Evidence{Framing: framing, Upload: x.upload()}
	switch {
	case completeness.Judge(evidence, gone) != completeness.Broken:
		return message.End{Code: result.OK, Run: result.Ran}
	case evidence.Upload == completeness.CutOff:
		return failed(result.Ran, "the service reset the connection while the request was being sent")
	default:
		return failed(result.Ran, "the service crashed during the response")
	}
}

func (s *service) request(ctx context.Context, m message.Start) (*http.Request, error) {
	path, err := url.ParseRequestURI(m.Path)
	if err != nil {
		return nil, fmt.Errorf("path %q: %w", m.Path, err)
	}
	target := s.base.JoinPath(path.EscapedPath())
	target.RawQuery = path.RawQuery
	var body io.Reader
	if len(m.Body) > 0 {
		body = struct{ io.Reader }{bytes.NewReader(m.Body)} // hides the type, so that net/http can't rewind and resend the body
	}
	request, err := http.NewRequestWithContext(ctx, m.Method, target.String(), body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(m.Body))
	for _, f := range m.Header {
		request.Header.Add(f.Name, f.Value)
	}
	return request, nil
}

// reason returns the text of an error, of limited length.
func reason(err error) string { return limited(err.Error()) }

func limited(text string) string {
	if len(text) > maxReasonBytes {
		return text[:maxReasonBytes] + "..."
	}
	return text
}

// copyBody passes a body on. The error is nil if it ended in order.
func copyBody(body io.Reader, k Sink) error {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := k.Data(bytes.Clone(buffer[:n]), 0); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func fieldsOf(h http.Header) []message.Field {
	var fields []message.Field
	for name, values := range h {
		for _, v := range values {
			fields = append(fields, message.Field{Name: name, Value: v})
		}
	}
	return fields
}
