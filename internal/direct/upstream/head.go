// Limits the heads of responses: status lines and header fields, of interim and final responses.
//
// Rule: the heads of all responses that are read for one request have a size of at most maxHeadBytes
// and the size of the request's own head, since a response may repeat fields of the request. What
// exceeds the read buffer is also reserved in the pool's Buffers. A connection is closed as soon as
// either limit is exceeded; at most one read buffer is read beyond it.
// Units: bytes; each line counts as fieldOverhead bytes more than it has, which its parsed field takes.
// Never: a body is limited here.

package upstream

import (
	"errors"
	"fmt"
	"io"
)

const (
	// maxHeadBytes limits the heads read for one request, beyond what they may repeat of it.
	maxHeadBytes = 64 << 10
	// fieldOverhead is the memory that a header field takes beyond its bytes.
	fieldOverhead = 128
	// maxExcerptBytes limits the bytes of an endpoint that are logged or returned in an error.
	maxExcerptBytes = 64
)

// OversizedError is returned for a response that would take more memory than an endpoint may use. It
// is an ErrInvalidResponse.
type OversizedError struct {
	Limit string // the limit that is exceeded
	Start []byte // first bytes of the head, at most maxExcerptBytes; empty if a body is too large
}

// Error implements error.
func (e *OversizedError) Error() string {
	if len(e.Start) == 0 {
		return fmt.Sprintf("%v: it exceeds %s", ErrInvalidResponse, e.Limit)
	}
	return fmt.Sprintf("%v: it exceeds %s and begins with %q", ErrInvalidResponse, e.Limit, e.Start)
}

// Is reports whether target is ErrInvalidResponse.
func (e *OversizedError) Is(target error) bool { return target == ErrInvalidResponse }

// excerpt returns the text of an error, escaped and at most twice maxExcerptBytes long. Errors of
// net/http repeat the line that is malformed.
func excerpt(err error) string {
	text := err.Error()
	if len(text) > 2*maxExcerptBytes {
		text = text[:2*maxExcerptBytes] + "..."
	}
	quoted := fmt.Sprintf("%+q", text)
	return quoted[1 : len(quoted)-1]
}

// headReader reads from a connection and limits the bytes of heads. Other bytes pass unlimited. The
// zero value with a source is ready to use.
type headReader struct {
	source io.Reader

	inHead    bool
	lineEmpty bool // the present line has no byte yet, but for a CR
	afterCR   bool
	size      int // of the heads for the present request
	maxSize   int
	start     []byte // of the present head
	reserve   func(bytes int) bool
	reserved  int
	err       error // after a limit was exceeded
}

// beginRequest starts to count the heads for a request. They may have a size of maxSize; what exceeds
// the read buffer is reserved.
func (r *headReader) beginRequest(maxSize int, reserve func(bytes int) bool) {
	*r = headReader{source: r.source, maxSize: maxSize, reserve: reserve, reserved: readBufferSize}
}

// beginHead expects a head as the next bytes. Those that were read before are passed in.
func (r *headReader) beginHead(buffered []byte) error {
	r.inHead, r.lineEmpty, r.afterCR = true, true, false
	r.start = nil
	return r.count(buffered)
}

// endHead ends a head that has no blank line.
func (r *headReader) endHead() { r.inHead = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p)
	if r.err = r.count(p[:n]); r.err != nil {
		return 0, r.err
	}
	return n, err
}

// count adds the bytes that belong to the present head.
func (r *headReader) count(data []byte) error {
	if !r.inHead {
		return nil
	}
	if missing := maxExcerptBytes - len(r.start); missing > 0 {
		r.start = append(r.start, data[:min(missing, len(data))]...)
	}
	for _, b := range data {
		r.countByte(b)
		if !r.inHead {
			break
		}
	}
	if r.size > r.maxSize {
		return &OversizedError{Limit: fmt.Sprintf("%d bytes of header", r.maxSize), Start: r.start}
	}
	if r.size > r.reserved {
		if !r.reserve(r.size - r.reserved) {
			return &OversizedError{Limit: bufferLimit, Start: r.start}
		}
		r.reserved = r.size
	}
	return nil
}

// countByte adds a byte of a head. The head ends with a blank line.
func (r *headReader) countByte(b byte) {
	r.size++
	switch {
	case b == '\n' && r.lineEmpty:
		r.inHead = false
	case b == '\n':
		r.size += fieldOverhead
		r.lineEmpty, r.afterCR = true, false
	case b == '\r' && r.lineEmpty && !r.afterCR:
		r.afterCR = true
	default:
		r.lineEmpty = false
	}
}

// parseError returns the error for a head that can't be read.
func (r *headReader) parseError(err error) error {
	var oversized *OversizedError
	if errors.As(err, &oversized) {
		return err
	}
	return classifyReadError(err)
}
