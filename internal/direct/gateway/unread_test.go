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

// writeResponse writes a response over a caller's connection that reader reads.
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

// TestSlowReaderIsServed reads part of a response from time to time, for a minute.
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

// TestUnreadResponseIsAborted reads the beginning of a response and nothing more.
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
