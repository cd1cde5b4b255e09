package upstream

import (
	"context"
	"io"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// TestUnreadBytesOfConnectionAreBounded guards against unread bytes that fill the memory of an entry.
func TestUnreadBytesOfConnectionAreBounded(t *testing.T) {
	const (
		bodyBytes    = 64 << 20 // lets the kernel enlarge the buffers
		kernelFactor = 2        // the kernel doubles the size that is set, socket(7)
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: "+strconv.Itoa(bodyBytes)+"\r\n\r\n")
		piece := make([]byte, 1<<20)
		for {
			if err := c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
				return
			}
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
	}()
	var p Pool
	response, err := p.Do(context.Background(), names, request(l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.CopyN(io.Discard, response.Body, bodyBytes); err != nil {
		t.Fatal(err)
	}
	<-stopped // the other end can send no more
	if unread := unreadBytes(t, response.conn.Conn.Conn); unread > kernelFactor*receiveBufferSize {
		t.Errorf("%d bytes wait in the receive buffer, more than %d", unread, kernelFactor*receiveBufferSize)
	}
	response.Close()
}

// unreadBytes returns the number of bytes in a connection's receive buffer.
func unreadBytes(t *testing.T, c net.Conn) int {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var n int32
	err = raw.Control(func(fd uintptr) {
		_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&n)))
		if errno != 0 {
			t.Errorf("ioctl: %v", errno)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return int(n)
}
