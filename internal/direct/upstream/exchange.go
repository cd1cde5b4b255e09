package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"foxcross.dev/coord/completeness"
	"foxcross.dev/foxcross/internal/steady"
)

const (
	// maxMismatched bounds the responses read for one request. Those to other requests are
	// skipped.
	maxMismatched = 4
	// maxMismatchedBody bounds the body of a skipped response, in bytes.
	maxMismatchedBody = 1 << 20
	// maxInlineWrite is the largest request, in bytes, that is written before the response is
	// read. It fits into the socket buffers.
	maxInlineWrite = 32 << 10
	// maxDrain bounds what is read of an unused body, in bytes, to reuse the connection.
	maxDrain = 64 << 10
)

// Errors of an exchange. After any other than ErrUnreachable, ErrOtherProcess and ErrWithdrawn, the
// endpoint may have run the request.
var (
	ErrWithdrawn       = errors.New("upstream: the request was withdrawn before it was sent")
	ErrBroken          = errors.New("upstream: the connection broke off")
	ErrInvalidResponse = errors.New("upstream: what came is no answer")
)

// Request is a request to an endpoint.
type Request struct {
	Endpoint string // ID
	Address  string
	Method   string
	Target   string // path and query, as received from the caller
	Host     string
	Header   http.Header
	Body     []byte
	HasBody  bool   // there is a body, possibly empty
	ID       string // that the response must carry
	// Withdrawn is called when the connection is ready and reports whether to drop the request
	// instead of sending it. Nil means that it is always sent.
	Withdrawn func() bool
	// Process is the process that the request has to reach, nil for any.
	Process *ProcessCheck
}

// HeaderNames are the header fields that match responses to requests. A response belongs to
// the request whose ID it carries; one to a request that was not run may carry none.
type HeaderNames struct {
	RequestID string
	NotRun    string
}

// Response is a response of an endpoint. Call exactly one of Finish (after reading the body
// to the end), Drain and Close. It must be used by one goroutine only.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body, -1 if unknown
	Body   io.Reader

	response  *http.Response
	conn      *conn
	headBytes int64 // that the heads have reserved
	pool      *Pool
	request   *Request
	stop      func() bool
}

// Do sends the request and returns the response once its header is read. The context bounds the
// whole exchange, including the body. The error is ErrUnreachable, ErrOtherProcess or ErrWithdrawn if
// nothing was sent, else ErrBroken or ErrInvalidResponse: the endpoint may have run the request.
func (p *Pool) Do(ctx context.Context, names HeaderNames, r *Request) (*Response, error) {
	c, err := p.connect(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.Abort)
	c.send(r)
	response, err := c.receive(names, r)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	response.pool = p
	response.headBytes = c.hold.bytes
	response.stop = stop
	return response, nil
}

// headSize returns the size of a request's head, counted as that of a response is.
func headSize(r *Request) int {
	size := len(r.Target) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return size
}

// connect returns an idle or new connection for the request.
func (p *Pool) connect(ctx context.Context, r *Request) (*conn, error) {
	c, reused, err := p.open(ctx, r)
	if err != nil {
		return nil, err
	}
	switch {
	case r.Withdrawn == nil || !r.Withdrawn():
		return c, nil
	case reused:
		p.putIdle(r.Endpoint, c)
	default:
		c.close()
	}
	return nil, ErrWithdrawn
}

// open returns an idle or new connection to the process that the request has to reach.
func (p *Pool) open(ctx context.Context, r *Request) (c *conn, reused bool, err error) {
	if c = p.getIdle(r.Endpoint); c != nil {
		if c.verify(ctx, r.Address, r.Process) == nil {
			return c, true, nil
		}
		c.close() // it may have been closed at the other end just now
	}
	if c, err = p.dial(ctx, r.Endpoint, r.Address); err != nil {
		return nil, false, err
	}
	if err := c.verify(ctx, r.Address, r.Process); err != nil {
		c.close()
		return nil, false, err
	}
	return c, false, nil
}

// send writes the request. A large one is written in a goroutine, since an endpoint may
// respond before it has read the whole request.
func (c *conn) send(r *Request) {
	data := r.encode()
	c.BeginRequest()
	if len(data) <= maxInlineWrite {
		_, err := c.Write(data)
		c.EndRequest(err)
		return
	}
	go func() {
		_, err := c.Write(data)
		c.EndRequest(err)
	}()
}

// encode returns the request in HTTP/1.1 form. The server that received it has already
// validated its method, target and header.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + readBufferSize)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer returns no error
	if r.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// receive reads responses until one that belongs to the request.
func (c *conn) receive(names HeaderNames, r *Request) (*Response, error) {
	c.beginExchange(headSize(r))
	for range maxMismatched {
		response, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		id := response.Header.Get(names.RequestID)
		if id == r.ID || (id == "" && refuses(names, response)) {
			c.unidentified = id == ""
			return &Response{
				Status:   response.StatusCode,
				Header:   response.Header,
				Length:   response.ContentLength,
				Body:     response.Body,
				response: response,
				conn:     c,
				request:  r,
			}, nil
		}
		if id == "" || response.ContentLength < 0 || response.ContentLength > maxMismatchedBody {
			return nil, fmt.Errorf("%w: it carries id %q", ErrInvalidResponse, id[:min(len(id), maxExcerptBytes)])
		}
		if _, err := io.CopyN(io.Discard, response.Body, response.ContentLength); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		c.mismatched = true
	}
	return nil, fmt.Errorf("%w: too many answers of other requests", ErrInvalidResponse)
}

// refuses reports whether a response says that its request was not run. Endpoints leave the ID out of
// such responses: a full one, and one that is not the endpoint that the request names.
func refuses(names HeaderNames, response *http.Response) bool {
	return response.Header.Get(names.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
}

// readHead reads the header of the next final response.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // never more than there is
		if err := c.head.beginHead(buffered); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		c.head.endHead()
		if err != nil {
			return nil, c.head.parseError(err)
		}
		if name, found := completeness.InvalidName(response.Header); found {
			return nil, fmt.Errorf("%w: field %+.*q", ErrInvalidResponse, maxExcerptBytes, name)
		}
		if !response.ProtoAtLeast(1, 1) && c.Coded() {
			return nil, fmt.Errorf("%w: HTTP/1.0 with a transfer coding", ErrInvalidResponse)
		}
		if !response.ProtoAtLeast(1, 1) && c.mismatched { // its head is not scanned for a coding
			return nil, fmt.Errorf("%w: HTTP/1.0 after a response to another request", ErrInvalidResponse)
		}
		switch completeness.KindOfStatus(response.StatusCode) {
		case completeness.FinalStatus:
			return response, nil
		case completeness.InvalidStatus:
			return nil, fmt.Errorf("%w: status %d", ErrInvalidResponse, response.StatusCode)
		}
	}
}

// classifyReadError wraps a connection failure in ErrBroken and a malformed response in
// ErrInvalidResponse.
func classifyReadError(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout) {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return fmt.Errorf("%w: %s", ErrInvalidResponse, excerpt(err))
}

// Framing returns how the end of the body is marked.
func (r *Response) Framing() completeness.Framing {
	return completeness.FramingOf(r.response.ContentLength, r.response.TransferEncoding, r.response.Body != http.NoBody)
}

// Evidence returns what is known of a body that ended with err.
func (r *Response) Evidence(err error, tail completeness.Tail) completeness.Evidence {
	e := completeness.Evidence{Framing: r.Framing(), Upload: r.conn.Upload(), Tail: tail}
	if err != nil && !errors.Is(err, io.EOF) {
		e.End = completeness.Failed
	}
	return e
}

// framed reports whether the body does not end with its connection.
func (r *Response) framed() bool { return r.Framing() != completeness.UntilClose }

// Judge returns the verdict on a response whose body ended now, by the evidence. For a body that ends
// with its connection it may dial the endpoint.
func (r *Response) Judge(e completeness.Evidence) completeness.Verdict {
	return completeness.Judge(e, func() bool {
		return r.pool.Crashed(r.request.Endpoint, r.request.Address, steady.Now())
	})
}

// Reserve reserves memory for what is buffered of the body, in bytes. It returns an error if the
// endpoint already uses all that it may. The memory is freed by ReleaseBody or the end of the exchange.
func (r *Response) Reserve(bytes int) error {
	if !r.conn.hold.reserve(bytes) {
		return errBuffersFull
	}
	return nil
}

// ReleaseBody frees the memory that was reserved for the body.
func (r *Response) ReleaseBody() { r.conn.hold.releaseDownTo(r.headBytes) }

// Finish returns the connection to the pool after the whole body was read.
func (r *Response) Finish() {
	r.conn.hold.release()
	if !r.stop() {
		r.conn.close()
		return
	}
	reusable := r.framed() && !r.response.Close && !r.conn.mismatched && !r.conn.unidentified &&
		r.conn.Written() && r.conn.reader.Buffered() == 0
	if !reusable {
		r.conn.close()
		return
	}
	r.conn.setUsableUntil(steady.Now(), r.Header)
	r.pool.putIdle(r.request.Endpoint, r.conn)
}

// Close aborts the exchange by closing the connection, so that the endpoint stops its work.
func (r *Response) Close() {
	r.stop()
	r.conn.close()
}

// Drain reads the rest of a short body and returns the connection to the pool.
func (r *Response) Drain() {
	if !r.framed() || r.Length > maxDrain {
		r.Close()
		return
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDrain)); err != nil || n == maxDrain {
		r.Close()
		return
	}
	r.Finish()
}
