package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// writeTo writes an answer over a caller's connection, which reader reads.
func writeResponse(t *testing.T, response []byte, reader func(net.Conn)) (c *callerConn, elapsed time.Duration, err error) {
	t.Helper()
	server, caller := net.Pipe()
	c = &callerConn{Conn: server}
	go reader(caller)
	start := time.Now()
	_, err = c.Write(response)
	elapsed = time.Since(start)
	_ = server.Close()
	_ = caller.Close()
	return c, elapsed, err
}

// TestSlowReadersAreServed reads some of an answer now and then, for a minute.
func TestSlowReaderIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, elapsed, err := writeResponse(t, make([]byte, 16*maxWriteBytes), func(caller net.Conn) {
			for range 16 {
				time.Sleep(unreadTimeout - time.Second)
				_, _ = io.CopyN(io.Discard, caller, maxWriteBytes)
			}
		})
		if err != nil || c.unread() || elapsed < time.Minute {
			t.Errorf("after %v: %v", elapsed, err)
		}
	})
}

// TestUnreadAnswersEnd reads the beginning of an answer and nothing more.
func TestUnreadResponseIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, elapsed, err := writeResponse(t, make([]byte, 16*maxWriteBytes), func(caller net.Conn) {
			_, _ = io.CopyN(io.Discard, caller, maxWriteBytes/2)
		})
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.unread() || elapsed > unreadTimeout {
			t.Errorf("after %v: %v", elapsed, err)
		}
	})
}
