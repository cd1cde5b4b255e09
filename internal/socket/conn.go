// Package socket has connections to HTTP servers that keep the failure of a request apart from the end of
// its response.
//
// The kernel reports a reset once, to a read or a write, whichever comes first. If a write gets it, a read
// sees an end of data, as if the server had closed its direction in order. A read therefore returns an end
// of data only after the state of the request is known.
//
// Rule: the request is accepted if all its bytes are written and acknowledged; it is cut off if the
// connection failed before. A server that has closed its direction may read on, so the end of data waits
// for either, at most uploadTimeout and no longer than the exchange.
//
// A connection also records whether the head of a response has a transfer coding, which net/http drops in
// HTTP/1.0.
package socket

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"foxcross.dev/coord/completeness"
)

const (
	// uploadTimeout bounds the wait of an end of data for the rest of the request. A server that does not
	// read on sends a reset within a round trip.
	uploadTimeout = 500 * time.Millisecond
	// acknowledgementInterval is the interval at which the socket is asked for unacknowledged bytes.
	acknowledgementInterval = time.Millisecond
)

// Conn is a connection to an HTTP server. It carries one request at a time. Create it with New.
type Conn struct {
	net.Conn

	writing sync.Mutex // held during a write, taken before mu

	abortOnce sync.Once
	aborted   chan struct{} // closed by Abort

	mu     sync.Mutex
	ended  chan struct{}       // closed when the request is written or given up; nil before the first one
	err    error               // of writing the request
	upload completeness.Upload // at the end of data
	head   headScanner         // of the response
	inHead bool                // the head has not been read whole
}

// New returns a connection that does not lose resets.
func New(c net.Conn) *Conn { return &Conn{Conn: c, aborted: make(chan struct{})} }

// Dialer returns a dial function, as http.Transport has it, whose connections are of type Conn.
func Dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// Of returns the connection below a connection of net/http, nil if it is not of type Conn.
func Of(c net.Conn) *Conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	own, _ := c.(*Conn) // nil for any other type
	return own
}

// BeginRequest is called before a request is written.
func (c *Conn) BeginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = make(chan struct{})
	c.err = nil
	c.upload = completeness.Accepted
	c.head, c.inHead = headScanner{}, true
}

// EndRequest is called when the request has been written, or with the error. Later calls for the same
// request have no effect.
func (c *Conn) EndRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == nil || isClosed(c.ended) {
		return
	}
	if c.err == nil {
		c.err = err
	}
	close(c.ended)
}

// Written reports whether the whole request has been written. The server may not have received it.
func (c *Conn) Written() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended != nil && isClosed(c.ended) && c.err == nil
}

// Upload returns the state of the request when a read after the head of its response returned io.EOF.
func (c *Conn) Upload() completeness.Upload {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upload
}

// Coded reports whether the head of the first response to the request has a transfer coding. Heads of
// interim responses before it count.
func (c *Conn) Coded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.coded
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	return n, err
}

// Read implements net.Conn. After the head of a response it returns io.EOF once Upload is known.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	inHead := c.scanHead(b[:n])
	if errors.Is(err, io.EOF) && !inHead { // a truncated head is invalid in any case
		upload := c.awaitUpload()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.upload = upload
	}
	return n, err
}

// scanHead reads the bytes that belong to the head of the response, and reports whether more are missing.
func (c *Conn) scanHead(data []byte) (inHead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range data {
		if !c.inHead {
			break
		}
		if c.head.next(b) {
			c.inHead = c.head.interim
			c.head = headScanner{coded: c.head.coded}
		}
	}
	return c.inHead
}

// Abort ends reads and writes in progress, and the wait of an end of data for the request.
func (c *Conn) Abort() {
	c.abortOnce.Do(func() { close(c.aborted) })
	_ = c.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.EndRequest(net.ErrClosed)
	return err
}

// awaitUpload waits until the request is accepted or cut off, at most uploadTimeout or until Abort.
func (c *Conn) awaitUpload() completeness.Upload {
	timeout := time.NewTimer(uploadTimeout)
	defer timeout.Stop()
	select {
	case <-c.requestEnded():
		if c.writeError() != nil {
			return completeness.CutOff
		}
		return c.awaitAcknowledgement(timeout.C)
	case <-timeout.C:
		return c.interruptWrite()
	}
}

// awaitAcknowledgement waits until the server has acknowledged a request that is written.
func (c *Conn) awaitAcknowledgement(timeout <-chan time.Time) completeness.Upload {
	for {
		unacknowledged, failed := socketState(c.Conn)
		switch {
		case failed:
			return completeness.CutOff
		case unacknowledged == 0:
			return completeness.Accepted
		}
		select {
		case <-timeout:
			return completeness.Unread
		case <-c.aborted:
			return completeness.Unread
		case <-time.After(acknowledgementInterval):
		}
	}
}

// interruptWrite ends a write in progress, which may have failed without having returned yet.
func (c *Conn) interruptWrite() completeness.Upload {
	_, failed := socketState(c.Conn)        // before the writer sees its error, after which it may close the connection
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	c.writing.Lock()
	defer c.writing.Unlock()
	err := c.writeError()
	if failed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return completeness.CutOff
	}
	return completeness.Unread
}

// requestEnded returns a channel that is closed when no request is being written.
func (c *Conn) requestEnded() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == nil {
		return closedChannel
	}
	return c.ended
}

func (c *Conn) writeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
