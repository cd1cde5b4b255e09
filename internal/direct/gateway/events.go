package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"

	"foxcross.dev/coord/completeness"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("gateway: an event is longer than allowed")

// byteOrderMark may stand at the beginning of a stream.
const byteOrderMark = "\xef\xbb\xbf"

// eventReader splits a stream into events. Lines end with LF, CR or CRLF.
type eventReader struct {
	reader  *bufio.Reader
	afterCR bool // the last byte read is a CR; an LF that follows belongs to the same line end
	began   bool // an event with a field was returned
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{reader: bufio.NewReader(r)} }

// buffered reports whether a part of the next event has arrived.
func (r *eventReader) buffered() bool { return r.reader.Buffered() > 0 }

// next returns the next event, or block of comments, including the blank line that ends it. With an
// error it returns the bytes after the last one. An LF after the CR that ended an event is returned with the next one,
// so that no event waits for it.
func (r *eventReader) next() ([]byte, error) {
	var event []byte
	lineLength := 0
	for {
		b, err := r.reader.ReadByte()
		if err != nil {
			return event, err
		}
		event = append(event, b)
		if len(event) > maxEventBytes {
			return nil, errEventTooLong
		}
		endsCRLF := b == '\n' && r.afterCR
		r.afterCR = b == '\r'
		switch {
		case endsCRLF:
		case b != '\n' && b != '\r':
			lineLength++
		case lineLength > 0:
			lineLength = 0
		default:
			r.began = r.began || holdsField(event)
			return r.withLF(event), nil
		}
	}
}

// withLF adds the LF of a CRLF that ends an event, if it has arrived.
func (r *eventReader) withLF(event []byte) []byte {
	if !r.afterCR || r.reader.Buffered() == 0 {
		return event
	}
	next, err := r.reader.Peek(1)
	if err != nil || next[0] != '\n' {
		return event
	}
	_, _ = r.reader.Discard(1) // it is buffered
	r.afterCR = false
	return append(event, '\n')
}

// holdsField reports whether a block has a line that is neither blank nor a comment.
func holdsField(block []byte) bool {
	text := strings.TrimPrefix(string(block), byteOrderMark)
	for line := range strings.FieldsFuncSeq(text, isLineEnd) {
		if !strings.HasPrefix(line, ":") {
			return true
		}
	}
	return false
}

func isLineEnd(c rune) bool { return c == '\n' || c == '\r' }

// tailOf returns what the bytes after the last event are. Whole comment lines are no part of an event.
func (r *eventReader) tailOf(rest []byte) completeness.Tail {
	cut := bytes.TrimPrefix(rest, []byte(byteOrderMark))
	endsLine := len(cut) == 0 || isLineEnd(rune(cut[len(cut)-1]))
	switch {
	case !endsLine || holdsField(rest):
		return completeness.InsideEvent
	case !r.began:
		return completeness.NoEvent
	default:
		return completeness.BetweenEvents
	}
}

// eventID returns the ID of an event.
func eventID(event []byte) (string, bool) {
	for line := range strings.FieldsFuncSeq(string(event), isLineEnd) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(value), true
		}
	}
	return "", false
}
