package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"foxcross.dev/foxcross/internal/socket"
)

// readBufferSize is the size of a connection's read buffer, in bytes. Typical response headers
// fit.
const readBufferSize = 4 << 10

// conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	*socket.Conn
	hold       bufferHold // of the present exchange
	head       headReader
	reader     *bufio.Reader // of head
	mismatched bool          // a response to another request was read from it
	// unidentified is set after a response without an ID. A second copy of it that arrives late can't
	// be distinguished from the response to the next request.
	unidentified bool
	usableUntil  time.Time // when idle
	process      string    // at the other end, empty if it was not asked for
}

func newConn(n net.Conn, hold bufferHold) *conn {
	s := socket.New(n)
	c := &conn{Conn: s, hold: hold, head: headReader{source: s}}
	c.reader = bufio.NewReaderSize(&c.head, readBufferSize)
	return c
}

func (c *conn) close() {
	c.hold.release()
	_ = c.Conn.Close() // the connection is not used again
}

// beginExchange expects the response to a request whose head has that size.
func (c *conn) beginExchange(requestHead int) {
	c.hold.release()
	c.head.beginRequest(maxHeadBytes+requestHead, c.hold.reserve)
}

// openWithoutData reports whether an idle connection is open and has received no
// unsolicited data. It peeks at the socket without blocking.
func (c *conn) openWithoutData() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// setUsableUntil sets how long the connection may stay idle, from the Keep-Alive header of
// the last response.
func (c *conn) setUsableUntil(now time.Time, h http.Header) {
	timeout := defaultIdleTimeout
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			timeout = time.Duration(idleTimeoutFactor * float64(seconds) * float64(time.Second))
		}
	}
	c.usableUntil = now.Add(timeout)
}
