package socket

import (
	"errors"
	"io"
	"net"
	"testing"

	"foxcross.dev/coord/completeness"
)

const (
	// longRequest is the size of a request, in bytes, that socket buffers do not hold.
	longRequest = 16 << 20
	// bufferedRequest is the size of one, in bytes, that a send buffer holds and a receive buffer does not.
	bufferedRequest = 256 << 10
)

// pair returns a connection, on which the head of a response arrives, and its other end.
func pair(t *testing.T) (c *Conn, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	n, err := Dialer(&net.Dialer{})(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = n.Close(), accepted.Close() })
	_, err = io.WriteString(accepted, "HTTP/1.1 200 OK\r\n\r\n")
	mustSucceed(t, err)
	return Of(n), accepted.(*net.TCPConn)
}

// write writes a request of that size and returns a channel that is closed once it has ended.
func write(c *Conn, bytes int) <-chan struct{} {
	ended := make(chan struct{})
	c.BeginRequest()
	go func() {
		defer close(ended)
		_, err := c.Write(make([]byte, bytes))
		c.EndRequest(err)
	}()
	return ended
}

func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// expectEnd reads to the end of data, in order, and compares the state of the request.
func expectEnd(t *testing.T, c *Conn, want completeness.Upload) {
	t.Helper()
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Fatalf("the end of data is not in order: %v", err)
	}
	if got := c.Upload(); got != want {
		t.Errorf("the request is %v, want %v", got, want)
	}
}

// TestResetSeenByWriteOnly guards against an end of data that hides a reset.
func TestResetSeenByWriteOnly(t *testing.T) {
	c, server := pair(t)
	ended := write(c, longRequest)
	mustSucceed(t, server.SetLinger(0))
	mustSucceed(t, server.Close())
	<-ended
	expectEnd(t, c, completeness.CutOff)
	if c.Written() {
		t.Error("the request counts as written")
	}
}

// TestResetSeenByFailingWrite guards against an end of data that overtakes the error of a write.
func TestResetSeenByFailingWrite(t *testing.T) {
	for range 50 {
		c, server := pair(t)
		write(c, longRequest)
		mustSucceed(t, server.SetLinger(0))
		mustSucceed(t, server.Close())
		if _, err := io.Copy(io.Discard, c); err == nil && c.Upload() != completeness.CutOff {
			t.Fatalf("an end of data in order, with the request %v", c.Upload())
		}
	}
}

// TestResetBehindEnd guards against a server that closes its direction and then resets the connection.
func TestResetBehindEnd(t *testing.T) {
	for name, bytes := range map[string]int{"written": bufferedRequest, "being written": longRequest} {
		t.Run(name, func(t *testing.T) {
			c, server := pair(t)
			mustSucceed(t, server.SetReadBuffer(4<<10))
			ended := write(c, bytes)
			if bytes < longRequest {
				<-ended
			}
			mustSucceed(t, server.CloseWrite())
			mustSucceed(t, server.SetLinger(0))
			mustSucceed(t, server.Close()) // sends the reset
			expectEnd(t, c, completeness.CutOff)
		})
	}
}

func TestEndAfterWholeRequest(t *testing.T) {
	for range 50 {
		c, server := pair(t)
		write(c, 1<<20)
		_, err := io.CopyN(io.Discard, server, 1<<20)
		mustSucceed(t, err)
		mustSucceed(t, server.Close())
		expectEnd(t, c, completeness.Accepted)
		if !c.Written() {
			t.Fatal("the request does not count as written")
		}
	}
}

// TestEndBeforeServerReadsOn checks that a request goes on after the end of its response.
func TestEndBeforeServerReadsOn(t *testing.T) {
	c, server := pair(t)
	write(c, bufferedRequest)
	mustSucceed(t, server.CloseWrite())
	go func() { _, _ = io.CopyN(io.Discard, server, bufferedRequest) }() // the other end checks what was read
	expectEnd(t, c, completeness.Accepted)
}

func TestEndBeforeServerStalls(t *testing.T) {
	for name, bytes := range map[string]int{"written": bufferedRequest, "being written": longRequest} {
		t.Run(name, func(t *testing.T) {
			c, server := pair(t)
			mustSucceed(t, server.SetReadBuffer(4<<10))
			ended := write(c, bytes)
			mustSucceed(t, server.CloseWrite())
			expectEnd(t, c, completeness.Unread)
			<-ended // a write in progress is interrupted
		})
	}
}

func TestEndWithoutRequest(t *testing.T) {
	c, server := pair(t)
	mustSucceed(t, server.Close())
	expectEnd(t, c, completeness.Accepted)
	if c.Written() {
		t.Error("a request counts as written")
	}
}

// TestEndWithinHead guards against a wait before a request is sent elsewhere.
func TestEndWithinHead(t *testing.T) {
	c, server := pair(t)
	_, err := io.CopyN(io.Discard, c, int64(len("HTTP/1.1 200 OK\r\n\r\n"))) // of the request before
	mustSucceed(t, err)
	write(c, longRequest)
	mustSucceed(t, server.CloseWrite())
	expectEnd(t, c, completeness.Accepted)
	if err := c.writeError(); err != nil {
		t.Errorf("the end within a head waited and interrupted the request: %v", err)
	}
}

// TestAbortEndsWait guards against a request that is held beyond its deadline.
func TestAbortEndsWait(t *testing.T) {
	c, server := pair(t)
	mustSucceed(t, server.SetReadBuffer(4<<10))
	<-write(c, bufferedRequest)
	c.Abort()
	if got := c.awaitAcknowledgement(nil); got != completeness.Unread {
		t.Errorf("the request is %v, want unread", got)
	}
}

// TestCloseEndsRequest guards against a wait for a request that nobody writes any more.
func TestCloseEndsRequest(t *testing.T) {
	c, _ := pair(t)
	c.BeginRequest()
	mustSucceed(t, c.Close())
	<-c.requestEnded()
	c.EndRequest(nil) // has no effect
	if c.Written() {
		t.Error("the request counts as written")
	}
}

// TestConnectionWithoutSocket checks connections whose socket can't be asked.
func TestConnectionWithoutSocket(t *testing.T) {
	local, remote := net.Pipe()
	c := New(local)
	if Of(local) != nil || Of(c) != c {
		t.Error("Of does not recognise connections")
	}
	mustSucceed(t, remote.Close())
	expectEnd(t, c, completeness.Accepted)
	c.BeginRequest()
	_, err := c.Write([]byte("x"))
	if !errors.Is(err, io.ErrClosedPipe) {
		t.Fatal(err)
	}
	c.EndRequest(nil)
	c.inHead = false
	expectEnd(t, c, completeness.CutOff)
}
