// Limits the memory that the heads of callers' requests take, before and after they are parsed.
//
// Rule: the bytes of a head are counted as they arrive, from the first one on, also those of empty
// lines before it. A head may have as many as the settings allow. Each line counts lineBytes more, for
// a parsed field takes more memory than its bytes. What a head takes beyond freeHeadBytes is reserved
// from one account for all callers, a fraction of the process's memory, until its request has ended.
// A head that is too large gets 431. One that finds no memory gets 503, as not run, once it has arrived.
// Inputs: the bytes that arrive, the limit in the settings, the process's memory limit.
// Units: bytes.
// Never: a head waits for memory; a head up to freeHeadBytes finds none.

package gateway

import (
	"net/http"
	"sync"

	"foxcross.dev/foxcross/internal/direct/driver"
)

const (
	// lineBytes is the memory of a parsed field beside its bytes, here and in the request to the endpoint.
	lineBytes = 256
	// freeHeadBytes is the memory of a head that is not reserved. It covers some thirty short fields.
	freeHeadBytes = 8 << 10
	// headMemoryDivisor limits all heads to 1/headMemoryDivisor of the memory.
	headMemoryDivisor = 8
	// defaultHeadMemory limits all heads if the memory limit is unknown.
	defaultHeadMemory = 32 << 20
	// defaultHeaderLimit is the largest head before there are settings.
	defaultHeaderLimit = 64 << 10
	// headerSlack is added to the limit in the settings, which does not count spaces around values.
	headerSlack = 4 << 10
	// minFieldOverhead is the least number of bytes of a field in addition to its name and value: a colon
	// and a line feed.
	minFieldOverhead = 2
)

// headMemory is the memory of the heads of all callers. Call init before use.
type headMemory struct {
	maxBytes int64

	mu    sync.Mutex
	bytes int64
}

func (m *headMemory) init(l driver.Limits) {
	m.maxBytes = defaultHeadMemory
	if l.MemoryBytes > 0 {
		m.maxBytes = l.MemoryBytes / headMemoryDivisor
	}
}

// reserve reserves that many more bytes. It returns false if they are not available.
func (m *headMemory) reserve(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bytes+bytes > m.maxBytes {
		return false
	}
	m.bytes += bytes
	return true
}

func (m *headMemory) release(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes -= bytes
}

// reserved returns the number of reserved bytes.
func (m *headMemory) reserved() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes
}

// headMeter counts the bytes and lines of a head. The zero value is before its first byte.
type headMeter struct {
	bytes, lines int
	lineLength   int  // of the present line, without its end
	begun        bool // a line that is not empty has arrived
	ended        bool
}

// read counts bytes of the head, up to its end.
func (m *headMeter) read(data []byte) {
	for _, b := range data {
		if m.ended {
			return
		}
		m.bytes++
		switch b {
		case '\r':
		case '\n':
			m.lines++
			m.ended = m.begun && m.lineLength == 0
			m.lineLength = 0
		default:
			m.begun = true
			m.lineLength++
		}
	}
}

// memory returns the memory of the head.
func (m *headMeter) memory() int64 { return int64(m.bytes) + int64(m.lines)*lineBytes }

// headMemoryOf returns the memory of a parsed head.
func headMemoryOf(r *http.Request) int64 {
	lines := 1
	for _, values := range r.Header {
		lines += len(values)
	}
	return int64(headerBytes(r)) + int64(lines)*lineBytes
}

// headerBytes returns the least size that the head of a request can have had on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + minFieldOverhead
		}
	}
	return n
}

// headHold is the memory of the head of one connection's request. The zero value holds none and is used
// by one goroutine at a time.
type headHold struct {
	account *headMemory // nil for no limit
	bytes   int64
}

// grow reserves memory until it covers a head of that size. It returns false if there is not enough.
func (h *headHold) grow(bytes int64) bool {
	more := bytes - freeHeadBytes - h.bytes
	if h.account == nil || more <= 0 {
		return true
	}
	if !h.account.reserve(more) {
		return false
	}
	h.bytes += more
	return true
}

func (h *headHold) release() {
	if h.bytes > 0 {
		h.account.release(h.bytes)
		h.bytes = 0
	}
}
