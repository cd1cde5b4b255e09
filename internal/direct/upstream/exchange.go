package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

const (
	// maxSurplus bounds the answers of other requests that are skipped before the one that is
	// waited for.
	maxSurplus = 4
	// maxSurplusBody bounds the body of such an answer, in bytes.
	maxSurplusBody = 1 << 20
	// maxWriteFirst is the longest request, in bytes, that is written before the answer is
	// read. It fits into the socket's buffers.
	maxWriteFirst = 32 << 10
	// maxDrained bounds what is read of a body that nobody wants, in bytes, to keep the
	// connection.
	maxDrained = 64 << 10
)

// Errors of an exchange. After any but ErrUnreachable and ErrWithdrawn the endpoint may have run
// the request.
var (
	ErrWithdrawn = errors.New("upstream: the request was withdrawn before it was sent")
	ErrBroken    = errors.New("upstream: the connection broke off")
	ErrNoAnswer  = errors.New("upstream: what came is no answer")
)

// Request is what is sent to an endpoint.
type Request struct {
	Endpoint string // id
	Address  string
	Method   string
	Target   string // path and query as the caller sent them
	Host     string
	Header   http.Header
	Body     []byte
	HasBody  bool   // a body was sent, be it empty
	ID       string // that the answer must carry
	// Withdraw is asked when the connection is ready whether the request is not to be sent after
	// all; nil for never.
	Withdraw func() bool
}

// Names are the header fields by which answers are told apart. An answer belongs to
// the request whose id it carries; one that was not run may carry none.
type Names struct {
	RequestID string
	NotRun    string
}

// Answer is an endpoint's answer. Call exactly one of Finish, after its body was
// read to the end, Drain or Close. It belongs to one goroutine.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body, -1 for not known
	Body   io.Reader

	response *http.Response
	conn     *conn
	pool     *Pool
	request  *Request
	stop     func() bool
	written  *writing // the request on its way out
}

// Do sends the request and returns the head of its answer. The context bounds the
// whole exchange, its body included. The error is ErrUnreachable or ErrWithdrawn if nothing was
// sent, else ErrBroken or ErrNoAnswer: the endpoint may have run the request.
func (p *Pool) Do(ctx context.Context, names Names, r *Request) (*Answer, error) {
	c, err := p.connect(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) }) // a closed connection needs none
	w := c.send(r)
	a, err := c.receive(names, r)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	a.pool = p
	a.stop = stop
	a.written = w
	if !a.framed() {
		a.Body = unframedBody{a}
	}
	return a, nil
}

// connect returns a connection on which the request is to be sent.
func (p *Pool) connect(ctx context.Context, r *Request) (*conn, error) {
	c := p.takeIdle(r.Endpoint)
	idle := c != nil
	if !idle {
		var err error
		if c, err = p.dial(ctx, r.Address); err != nil {
			return nil, err
		}
	}
	switch {
	case r.Withdraw == nil || !r.Withdraw():
		return c, nil
	case idle:
		p.putIdle(r.Endpoint, c)
	default:
		c.close()
	}
	return nil, ErrWithdrawn
}

// writing is a request on its way out.
type writing struct {
	mu   sync.Mutex
	done bool
	err  error
}

func (w *writing) finish(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.err = err
}

// whole tells whether all of the request has been written.
func (w *writing) whole() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done && w.err == nil
}

// send writes the request. A long one is written beside the reading, since an
// endpoint may answer before it has read all.
func (c *conn) send(r *Request) *writing {
	w := &writing{}
	data := r.encode()
	if len(data) <= maxWriteFirst {
		_, err := c.Write(data)
		w.finish(err)
		return w
	}
	go func() {
		_, err := c.Write(data)
		w.finish(err)
	}()
	return w
}

// encode returns the request's bytes. Its parts have been checked by the
// server that read them.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + readBuffer)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // a buffer takes all
	if r.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// receive reads heads until that of the request's own answer.
func (c *conn) receive(names Names, r *Request) (*Answer, error) {
	for range maxSurplus {
		answer, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		id := answer.Header.Get(names.RequestID)
		if id == r.ID || (id == "" && answer.Header.Get(names.NotRun) != "") || answer.StatusCode == http.StatusMisdirectedRequest {
			return &Answer{
				Status:   answer.StatusCode,
				Header:   answer.Header,
				Length:   answer.ContentLength,
				Body:     answer.Body,
				response: answer,
				conn:     c,
				request:  r,
			}, nil
		}
		if id == "" || answer.ContentLength < 0 {
			return nil, fmt.Errorf("%w: it carries id %q", ErrNoAnswer, id)
		}
		if _, err := io.CopyN(io.Discard, answer.Body, min(answer.ContentLength, maxSurplusBody)); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		c.surplus = true
	}
	return nil, fmt.Errorf("%w: too many answers of other requests", ErrNoAnswer)
}

// readHead reads the head of the next final answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errorOf(err)
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
}

// errorOf tells a connection that failed from bytes that are no answer.
func errorOf(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout) {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

// framed tells whether the end of the body is known without the end of the
// connection.
func (a *Answer) framed() bool {
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
}

// unframedBody is the body of an answer whose end is that of its connection. It is whole unless the
// endpoint is gone then.
type unframedBody struct{ answer *Answer }

// Read implements io.Reader.
func (b unframedBody) Read(p []byte) (int, error) {
	a := b.answer
	n, err := a.response.Body.Read(p)
	if errors.Is(err, io.EOF) && a.pool.Crashed(a.request.Endpoint, a.request.Address, steady.Now()) {
		err = fmt.Errorf("%w: the endpoint is gone", ErrBroken)
	}
	return n, err
}

// Finish gives the connection back after the whole body was read.
func (a *Answer) Finish() {
	if !a.stop() {
		a.conn.close()
		return
	}
	reusable := a.framed() && !a.response.Close && !a.conn.surplus &&
		a.written.whole() && a.conn.reader.Buffered() == 0
	if !reusable {
		a.conn.close()
		return
	}
	a.conn.startIdle(steady.Now(), a.Header)
	a.pool.putIdle(a.request.Endpoint, a.conn)
}

// Close ends the exchange early: the endpoint is to stop its work.
func (a *Answer) Close() {
	a.stop()
	a.conn.close()
}

// Drain reads the rest of a short body and gives the connection back.
func (a *Answer) Drain() {
	if !a.framed() || a.Length > maxDrained {
		a.Close()
		return
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxDrained)); err != nil || n == maxDrained {
		a.Close()
		return
	}
	a.Finish()
}
