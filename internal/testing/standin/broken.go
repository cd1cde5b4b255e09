package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"foxcross.dev/foxcross/internal/testing/loopback"
)

// Broken is a response that no client may take for an answer.
type Broken struct {
	Name  string // of what is wrong
	Text  string // all that is sent
	Reset bool   // the connection is reset behind it, not closed
}

// NoLastChunk is the name of a response in chunks whose last one is missing.
const NoLastChunk = "no last chunk"

// head returns the head of a response with a length.
func head(status, fields, lineEnd string, length int) string {
	lines := []string{"HTTP/1.1 " + status, "Connection: close", fmt.Sprintf("Content-Length: %d", length)}
	if fields != "" {
		lines = append(lines, fields)
	}
	return strings.Join(append(lines, "", ""), lineEnd)
}

// CutHeads returns the head of a response to a request, cut at each byte, with both line ends, behind an
// interim response and without one. Fields is a line of the head, empty for none.
func CutHeads(status, fields string, length int) []Broken {
	var all []Broken
	for _, lineEnd := range []string{"\r\n", "\n"} {
		for _, interim := range []string{"", "HTTP/1.1 100 Continue" + lineEnd + lineEnd} {
			whole := interim + head(status, fields, lineEnd, length)
			for n := range len(whole) {
				for _, reset := range []bool{false, true} {
					all = append(all, Broken{fmt.Sprintf("head cut at %d of %q, reset %t", n, whole, reset), whole[:n], reset})
				}
			}
		}
	}
	return all
}

// InvalidStatuses returns responses whose status is none, with a body. Fields is as for CutHeads.
func InvalidStatuses(fields, body string) []Broken {
	var all []Broken
	for _, status := range []string{"000", "001", "012", "099", "600", "999"} {
		all = append(all, Broken{"status " + status, head(status+" x", fields, "\r\n", len(body)) + body, false})
	}
	return all
}

// CutBodies returns responses with the status 200 that break off in their body. Fields is as for CutHeads.
func CutBodies(fields, body string) []Broken {
	var all []Broken
	for n := range len(body) {
		for _, reset := range []bool{false, true} {
			name := fmt.Sprintf("cut at %d of %d bytes of a body, reset %t", n, len(body), reset)
			all = append(all, Broken{name, head("200 OK", fields, "\r\n", len(body)) + body[:n], reset})
		}
	}
	lines := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	if fields != "" {
		lines += fields + "\r\n"
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	all = append(all, Broken{NoLastChunk, lines + "Transfer-Encoding: chunked\r\n\r\n" + chunk, false})
	return append(all, Broken{"a blank behind the name of the transfer coding", lines + "Transfer-Encoding : chunked\r\n\r\n" + chunk + "0\r\n\r\n", false})
}

// RawServer sends the same bytes on each connection once it has read a request, and closes it. Responses have to
// say so: a client that keeps the connection may send the next request on it.
type RawServer struct {
	listener net.Listener

	mu       sync.Mutex
	response Broken
}

// NewRawServer starts a server on a free port of the loopback address of this process.
func NewRawServer() *RawServer {
	l, err := loopback.Listen()
	if err != nil {
		panic("standin: " + err.Error())
	}
	s := &RawServer{listener: l}
	go s.accept()
	return s
}

// Address returns the address on which the server listens.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Respond sets the response to the next requests.
func (s *RawServer) Respond(b Broken) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response = b
}

// Close ends the server.
func (s *RawServer) Close() { _ = s.listener.Close() } // it has ended

func (s *RawServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *RawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // the other end sees what it got
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	s.mu.Lock()
	b := s.response
	s.mu.Unlock()
	if _, err := c.Write([]byte(b.Text)); err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok && b.Reset {
		_ = t.SetLinger(0) // the close then sends a reset
	}
}
