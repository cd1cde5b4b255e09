package socket

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
)

// readerConn is a connection on which the bytes of a reader arrive.
type readerConn struct {
	net.Conn
	reader io.Reader
}

func (c *readerConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// TestCoded checks which heads have a transfer coding, in any pieces.
func TestCoded(t *testing.T) {
	for text, want := range map[string]bool{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                                   true,
		"HTTP/1.0 200 OK\nA: b\ntransfer-encoding:chunked\n\n":                                    true,
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: x\r\n\r\n": true,
		"HTTP/1.0 200 OK\r\nA: b\r\n\r\nTransfer-Encoding: chunked\r\n\r\n":                       false, // in the body
		"HTTP/1.0 200 OK\r\nA: Transfer-Encoding: chunked\r\n\r\n":                                false,
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\n\r\n":                                  false,
		"HTTP/1.0 200 OK\r\n\r\n":                                                                 false,
	} {
		for _, inPieces := range []bool{false, true} {
			var source io.Reader = strings.NewReader(text)
			if inPieces {
				source = iotest.OneByteReader(source)
			}
			c := New(&readerConn{reader: source})
			c.BeginRequest()
			c.EndRequest(nil)
			if _, err := io.Copy(io.Discard, c); err != nil {
				t.Fatal(err)
			}
			if got := c.Coded(); got != want {
				t.Errorf("%q, in pieces %t: %t", text, inPieces, got)
			}
			c.BeginRequest()
			if c.Coded() {
				t.Errorf("%q: the next request has the coding of this one's response", text)
			}
		}
	}
}
