package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"foxcross.dev/foxcross/internal/steady"
)

// ErrOtherProcess means that nothing was sent, since another process than the required one runs at the
// endpoint, or the endpoint did not name its process.
var ErrOtherProcess = errors.New("upstream: the connection does not lead to the required process")

// maxProcessBody bounds the answer that names a process, in bytes.
const maxProcessBody = 64 << 10

// ProcessQuery is how an endpoint is asked for its process. A connection leads to one process for as long
// as it is open.
type ProcessQuery struct {
	Target string                          // path and query of a GET request
	Parse  func(io.Reader) (string, error) // returns the process that an answer names
}

// ProcessCheck is the process that a request has to reach.
type ProcessCheck struct {
	ProcessQuery
	Process string
}

// Process asks an endpoint for its process, over a new connection that is kept for the next request.
func (p *Pool) Process(ctx context.Context, endpoint, address string, q ProcessQuery) (string, error) {
	c, err := p.dial(ctx, endpoint, address)
	if err != nil {
		return "", err
	}
	name, err := c.askProcess(ctx, address, q)
	if err != nil {
		c.close()
		return "", err
	}
	c.setUsableUntil(steady.Now(), http.Header{})
	p.putIdle(endpoint, c)
	return name, nil
}

// verify returns an error unless the connection leads to the required process.
func (c *conn) verify(ctx context.Context, address string, check *ProcessCheck) error {
	if check == nil {
		return nil
	}
	name, err := c.askProcess(ctx, address, check.ProcessQuery)
	if err != nil {
		return err
	}
	if name != check.Process {
		return fmt.Errorf("%w: it is %q, not %q", ErrOtherProcess, name, check.Process)
	}
	return nil
}

// askProcess returns the process at the other end. It asks once for each connection.
func (c *conn) askProcess(ctx context.Context, address string, q ProcessQuery) (string, error) {
	if c.process != "" {
		return c.process, nil
	}
	stop := context.AfterFunc(ctx, c.Abort)
	defer stop()
	defer c.hold.release()
	c.beginExchange(0)
	c.send(&Request{Method: http.MethodGet, Target: q.Target, Host: address, Header: http.Header{}})
	response, err := c.readHead(http.MethodGet)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrOtherProcess, err)
	}
	if response.StatusCode != http.StatusOK || response.Close || response.ContentLength < 0 || response.ContentLength > maxProcessBody {
		return "", fmt.Errorf("%w: status %d", ErrOtherProcess, response.StatusCode)
	}
	if !c.hold.reserve(int(response.ContentLength)) {
		return "", fmt.Errorf("%w: %w", ErrOtherProcess, errBuffersFull)
	}
	name, err := q.Parse(response.Body)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrOtherProcess, err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || !c.Written() {
		return "", fmt.Errorf("%w: the answer that names it broke off", ErrOtherProcess)
	}
	c.process = name
	return name, nil
}
