package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
)

// connection is a connection of a caller to an entry. It is opened when it is needed and sends
// no request twice. It carries one request at a time.
type connection struct {
	entry     *entry
	conn      net.Conn // nil for none
	responses *bufio.Reader
}

// exchange sends a request and reads its response. The response is nil if none began. The connection
// is closed if either failed, or if the response asks for it.
func (c *connection) exchange(ctx context.Context, q *http.Request) (*http.Response, []byte, error) {
	if err := c.open(ctx); err != nil {
		return nil, nil, err
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the read
	defer stop()
	if err := q.Write(conn); err != nil {
		c.close()
		return nil, nil, err
	}
	response, err := http.ReadResponse(c.responses, q)
	if err != nil {
		c.close()
		return nil, nil, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it has been read or was truncated
	if err != nil || response.Close {
		c.close()
	}
	return response, body, err
}

func (c *connection) open(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.entry.callerAddress())
	if err != nil {
		return err
	}
	c.conn = conn
	c.responses = bufio.NewReader(conn)
	return nil
}

func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close() // the entry may have closed it
		c.conn = nil
	}
}
