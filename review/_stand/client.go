package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got. The status is 0 if the connection ended without a whole answer.
type answer struct {
	id         string
	sent, done time.Time
	status     int
	body       string
	err        error
}

// client keeps a connection to an entry.
type client struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// call sends a request and reads the answer.
func (c *client) call(method, path, key string, limit time.Duration, body string) answer {
	a := answer{id: newID(), sent: time.Now()}
	defer func() { a.done = time.Now() }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.err, a.done = err, time.Now()
			return a
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
		a.sent = time.Now()
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, a.id, limit.Milliseconds())
	if key != "" {
		head += "X-Api-Key: " + key + "\r\n"
	}
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"+body); err != nil {
		a.err = err
		c.close()
		a.done = time.Now()
		return a
	}
	r, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		a.err = err
		c.close()
		a.done = time.Now()
		return a
	}
	data, err := io.ReadAll(r.Body)
	a.done = time.Now()
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, a.body = r.StatusCode, string(data)
	if r.Close {
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
