package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"

	"foxcross.dev/coord/completeness"
	"foxcross.dev/foxcross/internal/direct/upstream"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// freeEventBytes is the size up to which no memory is reserved for an event.
	freeEventBytes = 4 << 10
	// eventCopies is how often an event is in memory while it is read and relayed.
	eventCopies = 2
)

var errEventTooLong = &upstream.OversizedError{Limit: fmt.Sprintf("%d bytes of one event", maxEventBytes)}

// eventMemory limits the memory of the events that are read at once.
type eventMemory interface {
	Reserve(bytes int) error
	ReleaseBody()
}

// byteOrderMark may stand at the beginning of a stream.
const byteOrderMark = "\xef\xbb\xbf"

// eventReader splits a stream into events. Lines end with LF, CR or CRLF.
type eventReader struct {
	reader   *bufio.Reader
	memory   eventMemory
	reserved int  // size that the present event may have without reserving more memory
	afterCR  bool // the last byte read is a CR; an LF that follows belongs to the same line end
	began    bool // an event with a field was returned
}

func newEventReader(r io.Reader, m eventMemory) *eventReader {
	return &eventReader{reader: bufio.NewReader(r), memory: m, reserved: freeEventBytes}
}

// buffered reports whether a part of the next event has arrived.
func (r *eventReader) buffered() bool { return r.reader.Buffered() > 0 }

// next returns the next event, or block of comments, including the blank line that ends it. With an
// error it returns the bytes after the last one. An LF after the CR that ended an event is returned with the next one,
// so that no event waits for it. The event before is not used any more.
func (r *eventReader) next() ([]byte, error) {
	var event []byte
	lineLength := 0
	r.releaseEvent()
	for {
		b, err := r.reader.ReadByte()
		if err != nil {
			return event, err
		}
		event = append(event, b)
		if err := r.reserve(len(event)); err != nil {
			return nil, err
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

// reserve reserves memory for an event of that size.
func (r *eventReader) reserve(size int) error {
	if size > maxEventBytes {
		return errEventTooLong
	}
	if size <= r.reserved {
		return nil
	}
	if err := r.memory.Reserve(eventCopies * r.reserved); err != nil {
		return err
	}
	r.reserved *= 2
	return nil
}

// releaseEvent frees the memory of the last event.
func (r *eventReader) releaseEvent() {
	if r.reserved > freeEventBytes {
		r.memory.ReleaseBody()
		r.reserved = freeEventBytes
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
