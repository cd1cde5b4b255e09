// Limits the memory that heads of responses and events of streams take. Bodies that are buffered whole
// have a limit of their own in package gateway.
//
// Rule: all responses together may use a fraction of the process's memory, and those of one endpoint
// a fraction of that, so that a faulty endpoint leaves memory to the others. What fits into the read
// buffer of a connection is not counted; it is bounded by the number of connections.
// Inputs: the memory limit, the bytes reserved by endpoint.
// Units: bytes.
// Never: a response waits for memory.

package upstream

import "sync"

// bufferLimit names the limit in errors.
const bufferLimit = "the memory for responses of the endpoint"

var errBuffersFull = &OversizedError{Limit: bufferLimit}

const (
	// defaultBufferMemory limits all responses if the memory limit is unknown.
	defaultBufferMemory = 32 << 20
	// bufferDivisor limits all responses to 1/bufferDivisor of the memory.
	bufferDivisor = 8
	// endpointDivisor limits the responses of one endpoint to 1/endpointDivisor of those of all.
	endpointDivisor = 4
)

// Buffers tracks the memory of responses. The zero value has the default limit. It is safe for
// concurrent use.
type Buffers struct {
	mu         sync.Mutex
	maxBytes   int64 // 0 for defaultBufferMemory
	bytes      int64
	byEndpoint map[string]int64
}

// SetMemoryLimit sets the limit of the process's memory, in bytes; 0 if unknown.
func (b *Buffers) SetMemoryLimit(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxBytes = bytes / bufferDivisor
}

// Reserved returns the number of reserved bytes.
func (b *Buffers) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// reserve reserves memory for a response of an endpoint. It returns false if there is not enough.
func (b *Buffers) reserve(endpoint string, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := b.maxBytes
	if most == 0 {
		most = defaultBufferMemory
	}
	if b.bytes+bytes > most || b.byEndpoint[endpoint]+bytes > most/endpointDivisor {
		return false
	}
	if b.byEndpoint == nil {
		b.byEndpoint = map[string]int64{}
	}
	b.bytes += bytes
	b.byEndpoint[endpoint] += bytes
	return true
}

// release frees memory that was reserved for an endpoint.
func (b *Buffers) release(endpoint string, bytes int64) {
	if bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= bytes
	b.byEndpoint[endpoint] -= bytes
	if b.byEndpoint[endpoint] == 0 {
		delete(b.byEndpoint, endpoint)
	}
}

// bufferHold is the memory of one exchange. It is used by one goroutine.
type bufferHold struct {
	buffers  *Buffers
	endpoint string
	bytes    int64
}

func (h *bufferHold) reserve(bytes int) bool {
	if !h.buffers.reserve(h.endpoint, int64(bytes)) {
		return false
	}
	h.bytes += int64(bytes)
	return true
}

func (h *bufferHold) release() { h.releaseDownTo(0) }

// releaseDownTo frees what exceeds that many bytes.
func (h *bufferHold) releaseDownTo(bytes int64) {
	h.buffers.release(h.endpoint, h.bytes-bytes)
	h.bytes = bytes
}
