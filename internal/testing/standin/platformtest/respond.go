package platformtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// resetDelay is the time in which bytes arrive before a reset, which would drop them.
const resetDelay = 50 * time.Millisecond

// awaitClose waits until the caller closes the connection.
func (r *Runner) awaitClose(reader *bufio.Reader, id string) {
	if _, err := reader.Peek(1); err != nil {
		r.abandoned <- id
	}
}

// stream sends the events after the last one that the caller has received.
func (r *Runner) stream(c net.Conn, reader *bufio.Reader, q *http.Request, a Events) bool {
	id := q.Header.Get(RequestIDField)
	from := 1
	if last, err := strconv.Atoi(q.Header.Get(LastEventField)); err == nil {
		from = last + 1 - a.Repeat
	}
	framing, send := "Transfer-Encoding: chunked\r\n", chunk
	if a.Unframed {
		framing, send = "Connection: close\r\n", func(c net.Conn, data string) { write(c, "%s", data) }
	}
	write(c, "%s", r.head(http.StatusOK, id, InstanceField+": "+r.ID+"\r\nContent-Type: text/event-stream\r\n"+framing))
	r.prefill(q.Header, r.slowed(a.Token))
	for n := from; n <= a.To; n++ {
		time.Sleep(r.slowed(a.Pause))
		if n == from && SharesPart(q.Header, a.CrashParts...) {
			r.Close()
			return false
		}
		send(c, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, r.ID, n))
		if n == from && a.Hold != nil {
			<-a.Hold
		}
	}
	if a.Crash {
		send(c, fmt.Sprintf("id: %d\nda", a.To+1))
		time.Sleep(resetDelay)
		r.Close()
		return false
	}
	if a.Broken {
		send(c, fmt.Sprintf("id: %d\nda", a.To+1))
		time.Sleep(resetDelay)
		return reset(c)
	}
	if a.Unframed {
		send(c, a.Cut)
		return false
	}
	write(c, "0\r\n\r\n")
	return true
}

// respondEarly responds to a request whose body has not been read. It returns false if the connection is to
// be closed.
func (r *Runner) respondEarly(c net.Conn, q *http.Request, e Early) bool {
	framing := e.Framing
	if framing == "" && e.Body == "" {
		framing = length("")
	}
	write(c, "%s%s", r.head(e.Status, q.Header.Get(RequestIDField), framing), e.Body)
	time.Sleep(e.Wait)
	switch e.End {
	case ResetUnread:
		return reset(c)
	case CloseUnread:
		return false
	case HalfCloseRead:
		closeWrite(c)
		_, _ = io.Copy(io.Discard, q.Body) // the caller may have disconnected
		return false
	case HalfCloseReset:
		closeWrite(c)
		time.Sleep(e.Wait)
		return reset(c)
	case HalfCloseStall:
		closeWrite(c)
		<-r.ended
		return false
	default:
		_, _ = io.Copy(io.Discard, q.Body) // the caller may have disconnected
		return true
	}
}

// closeWrite ends the bytes that the runner sends.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite() // the caller may have disconnected
	}
}

func (r *Runner) head(status int, id, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: seal-%s\r\n%s%s\r\n",
		status, http.StatusText(status), RequestIDField, id, SealField, id, r.signalFields(), more)
}

// signalFields returns the header lines that name the limit and announce the draining of the runner.
func (r *Runner) signalFields() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := headerLines(LimitField, r.limitValues) + headerLines(DrainingField, r.drainingValues)
	if len(r.drainingValues) > 0 {
		lines += headerLines(InstanceField, []string{r.ID})
	}
	return lines
}

// headerLines returns the header lines of a field, one for each value.
func headerLines(name string, values []string) string {
	var lines strings.Builder
	for _, v := range values {
		fmt.Fprintf(&lines, "%s: %s\r\n", name, v)
	}
	return lines.String()
}

func length(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

func chunk(c net.Conn, data string) { write(c, "%x\r\n%s\r\n", len(data), data) }

func write(c net.Conn, format string, values ...any) {
	_, _ = fmt.Fprintf(c, format, values...) // the caller may have disconnected
}

// floodWriteBytes is the size of one write of a flood.
const floodWriteBytes = 64 << 10

// flood sends start and then the piece until the connection is closed.
func flood(c net.Conn, start, piece string) {
	write(c, "%s", start)
	data := []byte(strings.Repeat(piece, floodWriteBytes/len(piece)))
	for {
		if _, err := c.Write(data); err != nil {
			return
		}
	}
}

// reset makes the close of a connection send a reset. It returns false, so that the connection is
// closed.
func reset(c net.Conn) bool {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a close then sends a reset
	}
	return false
}
