package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
)

// connection is one of a caller to an entry. It is opened when it is needed, and repeats
// nothing. Only one request goes over it at a time.
type connection struct {
	entry   *entry
	conn    net.Conn // nil for none
	answers *bufio.Reader
}

// exchange sends a request and reads its answer; the answer is nil if none began. The
// connection is closed when either failed, or the answer says so.
func (c *connection) exchange(ctx context.Context, q *http.Request) (*http.Response, []byte, error) {
	if err := c.open(ctx); err != nil {
		return nil, nil, err
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // the read ends
	defer stop()
	if err := q.Write(conn); err != nil {
		c.close()
		return nil, nil, err
	}
	answer, err := http.ReadResponse(c.answers, q)
	if err != nil {
		c.close()
		return nil, nil, err
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close() // it was read or broke off
	if err != nil || answer.Close {
		c.close()
	}
	return answer, body, err
}

func (c *connection) open(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.entry.callers())
	if err != nil {
		return err
	}
	c.conn = conn
	c.answers = bufio.NewReader(conn)
	return nil
}

// close closes the connection, if it is open.
func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close() // the entry may have closed it
		c.conn = nil
	}
}
