package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

const (
	// largePath is the path prefix of a route with answers of largeResponseBytes, which slow callers
	// do not read.
	largePath          = "/large/"
	largeResponseBytes = 4 << 20
	// slowBodyBytes is the part of an unfinished body that a slow caller sends.
	slowBodyBytes = 900 << 10
	// slowCallerPause is the time between two reads of the memory of the entries, and the time until
	// a slow caller connects again after its connection was closed.
	slowCallerPause = 200 * time.Millisecond
	// memoryPageKB is the unit of /proc/PID/statm.
	memoryPageKB = 4
)

// runSlowCaller keeps a connection open whose answer it does not read, or over which it sends an
// unfinished body, until ctx is done.
func (d *deployment) runSlowCaller(ctx context.Context, number int) {
	for ctx.Err() == nil {
		e := d.entries[number%len(d.entries)]
		if c, err := (&net.Dialer{}).DialContext(ctx, "tcp", e.callerAddress()); err == nil {
			d.sendSlowRequest(ctx, c, number)
		}
		select {
		case <-ctx.Done():
		case <-time.After(slowCallerPause):
		}
	}
}

// sendSlowRequest sends, for even numbers, a request whose answer it does not read for twice
// requestTimeout, else an unfinished request, after which it waits until the entry closes the
// connection.
func (d *deployment) sendSlowRequest(ctx context.Context, c net.Conn, number int) {
	end := func() { _ = c.Close() } // it may be closed
	stop := context.AfterFunc(ctx, end)
	defer stop()
	defer end()
	id := fmt.Sprintf("%016x", requestCount.Add(1))
	head := fmt.Sprintf("Host: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n",
		host, platformtest.RequestIDField, id, platformtest.DeadlineField, requestTimeout.Milliseconds(), platformtest.KeyField, teamKey)
	if number%2 == 0 {
		_, _ = io.WriteString(c, "GET "+largePath+id+" HTTP/1.1\r\n"+head+"\r\n") // the entry may have ended
		<-time.After(2 * requestTimeout)
		return
	}
	body := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", slowBodyBytes, strings.Repeat("x", slowBodyBytes))
	_, _ = io.WriteString(c, "POST /page/"+id+" HTTP/1.1\r\n"+head+body) // the entry may have ended
	_, _ = io.Copy(io.Discard, c)                                        // until it is closed
}

// recordMemory records the largest memory of an entry, and the most bytes of request bodies that one
// entry held, until ctx is done.
func (d *deployment) recordMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range d.entries {
			mb := e.memoryMB()
			s, _ := e.fetchState(ctx)
			d.mu.Lock()
			d.memoryMB = max(d.memoryMB, mb)
			d.bodyBytes = max(d.bodyBytes, s.BodyBytes)
			d.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(slowCallerPause):
		}
	}
}

// memoryMB returns the resident memory of the process, or 0 if it does not run.
func (e *entry) memoryMB() int {
	e.mu.Lock()
	pid := e.command.Process.Pid
	e.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * memoryPageKB / 1024
}
