package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/steady"
)

const (
	// reservationStep is the number of bytes by which the reservation of a body of unknown length
	// grows.
	reservationStep = 64 << 10
	// unreadBodyTimeout is how long the body of a request refused without reading it may take to
	// arrive. If it arrives in time, its connection can be reused.
	unreadBodyTimeout = 500 * time.Millisecond
)

// Reasons other than connection errors for which the reading of a body ends.
var (
	errNoMemory = errors.New("gateway: no memory left for a body")
	errEvicted  = errors.New("gateway: a slow body was evicted")
)

// upload reads the body of a request.
type upload struct {
	bodyMemory  *bodyMemory
	reservation *reservation
	control     *http.ResponseController
	reader      io.Reader
}

// readBody reads the body of a request until the request's deadline.
func (g *Gateway) readBody(w http.ResponseWriter, q *request, maxBytes int) ([]byte, *result.Error) {
	r := q.incoming
	q.reservation = &reservation{caller: callerOf(q)}
	if r.ContentLength == 0 {
		return nil, nil
	}
	u := &upload{bodyMemory: &g.bodyMemory, reservation: q.reservation, control: http.NewResponseController(w)}
	u.reader = http.MaxBytesReader(w, r.Body, int64(maxBytes))
	expected := min(max(r.ContentLength, 0), int64(maxBytes))
	if !g.bodyMemory.reserve(steady.Now(), q.reservation, expected) {
		return nil, entryFull("bodies take too much memory")
	}
	data, err := u.readAll(expected, q.deadline)
	r.Trailer = nil // not forwarded, and its memory is not reserved
	if err == nil {
		g.bodyMemory.resize(q.reservation, int64(len(data)))
		return data, nil
	}
	g.bodyMemory.release(q.reservation)
	return nil, u.failure(err, maxBytes)
}

// callerOf returns the caller to which a body's memory is charged: the team, or the remote host if
// there is no team.
func callerOf(q *request) string {
	if q.team != "" {
		return q.team
	}
	host, _, err := net.SplitHostPort(q.incoming.RemoteAddr)
	if err != nil {
		return q.incoming.RemoteAddr
	}
	return host
}

// readAll reads the body until it ends, the deadline passes or it is evicted.
func (u *upload) readAll(expected int64, deadline time.Time) ([]byte, error) {
	now := steady.Now()
	u.setDeadline(time.Now().Add(deadline.Sub(now)))
	u.bodyMemory.beginRead(now, u.reservation, func() { u.setDeadline(time.Unix(1, 0)) })
	data, err := u.copy(make([]byte, 0, expected+1))
	if !u.bodyMemory.endRead(u.reservation) {
		return nil, errEvicted
	}
	if err == nil {
		u.setDeadline(time.Time{})
	}
	return data, err
}

// setDeadline sets the read deadline. The zero time means no deadline.
func (u *upload) setDeadline(at time.Time) {
	_ = u.control.SetReadDeadline(at) // fails only without a connection, where reading the body does not block
}

// copy appends the rest of the body to data.
func (u *upload) copy(data []byte) ([]byte, error) {
	for {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := u.reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err == nil {
			err = u.grow(int64(len(data)))
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow reserves more memory until it covers the bytes received.
func (u *upload) grow(received int64) error {
	for received > u.reservation.bytes {
		if !u.bodyMemory.reserve(steady.Now(), u.reservation, reservationStep) {
			return errNoMemory
		}
	}
	return nil
}

// failure returns the response to a request whose body could not be read.
func (u *upload) failure(err error, maxBytes int) *result.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.Errorf(result.BodyTooLarge, "at most %d bytes", maxBytes)
	case errors.Is(err, errNoMemory):
		return entryFull("bodies take too much memory")
	case errors.Is(err, errEvicted):
		return entryFull("the body came too slowly for the room that is left")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.Errorf(result.BodyLate, "the body has not come within the time allowed")
	default:
		return result.Errorf(result.BadRequest, "body: %v", err)
	}
}

// limitUnreadBody sets a deadline for the rest of the body of a refused request. Without it the
// server would wait for the whole body before it answers.
func limitUnreadBody(w http.ResponseWriter, q *request) {
	if q.incoming.ContentLength == 0 {
		return
	}
	timeout := unreadBodyTimeout
	if q.reservation != nil {
		timeout = 0 // the body was already waited for
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)) // fails only without a connection
}

// entryFull returns the response to a request for which this entry has no capacity.
func entryFull(reason string) *result.Error {
	return &result.Error{Code: result.EntryFull, Run: result.NotRun, RetryAfter: fullRetryAfter, Reason: reason}
}
