// Limits the memory of bodies: those of callers' requests, and responses that are buffered whole
// before they are relayed.
//
// Rule: all bodies together may use a fraction of the process's memory, and those of one caller a
// fraction of that, unless the caller has only one body. The whole size of a body of known length
// is reserved before it is read; for a body of unknown length memory is reserved as it arrives. If
// memory is short, in total or for one caller, bodies that have been read for at least
// minEvictionAge are evicted, the one with the earliest start first; a new body is refused only if
// none can be evicted. A response that can't be reserved is relayed unbuffered.
// Inputs: the process's memory limit, the reserved bytes, the time at which the reading of each
// body started.
// Units: bytes.
// Never: a body that was read completely is evicted.

package gateway

import (
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
)

const (
	// defaultBodyMemory limits the bytes of bodies if the memory limit is unknown.
	defaultBodyMemory = 256 << 20
	// memoryDivisor limits bodies to 1/memoryDivisor of the memory.
	memoryDivisor = 4
	// callerDivisor limits one caller to 1/callerDivisor of the memory for bodies.
	callerDivisor = 2
	// maxSmallBody is the size in bytes up to which a body counts as small. 1/smallBodyDivisor of
	// the memory is reserved for small bodies: few requests are large, and callers that send many
	// large ones at once would leave no memory for the others.
	maxSmallBody     = 64 << 10
	smallBodyDivisor = 4
	// minEvictionAge is how long a body must have been read before it can be evicted.
	minEvictionAge = time.Second
)

// bodyMemory tracks the memory reserved for bodies. Call init before use.
type bodyMemory struct {
	maxBytes int64

	mu       sync.Mutex
	bytes    int64
	byCaller map[string]int64
	reading  map[*reservation]bool // reservations whose bodies are not complete
}

// reservation is the memory reserved for one body.
type reservation struct {
	caller    string
	bytes     int64
	readSince time.Time // when the reading of the body started
	abortRead func()    // makes the pending read fail
	evicted   bool      // its memory was given to another body
}

func (b *bodyMemory) init(l driver.Limits) {
	b.maxBytes = defaultBodyMemory
	if l.MemoryBytes > 0 {
		b.maxBytes = l.MemoryBytes / memoryDivisor
	}
	b.byCaller = map[string]int64{}
	b.reading = map[*reservation]bool{}
}

// reserve reserves that many more bytes for a body. It returns false if they are not available.
func (b *bodyMemory) reserve(now time.Time, r *reservation, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted {
		return false
	}
	ofCaller := func(c *reservation) bool { return c.caller == r.caller }
	for b.exceedsCallerLimit(r, bytes) {
		if !b.evictSlowest(now, r, ofCaller) {
			return false
		}
	}
	ofAny := func(*reservation) bool { return true }
	for b.bytes+bytes > limitFor(b.maxBytes, r.bytes+bytes) {
		if !b.evictSlowest(now, r, ofAny) {
			return false
		}
	}
	b.add(r, bytes)
	return true
}

// exceedsCallerLimit reports whether a body that grows by that many bytes would exceed its caller's
// limit. bodyMemory.mu is held.
func (b *bodyMemory) exceedsCallerLimit(r *reservation, bytes int64) bool {
	others := b.byCaller[r.caller] - r.bytes
	return others > 0 && others+r.bytes+bytes > limitFor(b.maxBytes/callerDivisor, r.bytes+bytes)
}

// limitFor returns how much of total a body of that many bytes and all others may use together.
func limitFor(total, bytes int64) int64 {
	if bytes > maxSmallBody {
		return total - total/smallBodyDivisor
	}
	return total
}

// beginRead records that the body is being read. abort makes the read fail.
func (b *bodyMemory) beginRead(now time.Time, r *reservation, abort func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.readSince = now
	r.abortRead = abort
	b.reading[r] = true
}

// endRead records that the reading of the body ended. It returns false if the body was evicted.
func (b *bodyMemory) endRead(r *reservation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, r)
	return !r.evicted
}

// resize changes the reservation to the number of bytes read.
func (b *bodyMemory) resize(r *reservation, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.evicted {
		b.add(r, bytes-r.bytes)
	}
}

// release frees the reservation.
func (b *bodyMemory) release(r *reservation) { b.resize(r, 0) }

// reserved returns the number of reserved bytes.
func (b *bodyMemory) reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// evictSlowest evicts the body with the earliest start among the eligible ones, other than r, that
// are old enough. It returns false if there is none. bodyMemory.mu is held.
func (b *bodyMemory) evictSlowest(now time.Time, r *reservation, eligible func(*reservation) bool) bool {
	var slowest *reservation
	for c := range b.reading {
		if c == r || c.bytes == 0 || now.Sub(c.readSince) < minEvictionAge || !eligible(c) {
			continue
		}
		if slowest == nil || c.readSince.Before(slowest.readSince) {
			slowest = c
		}
	}
	if slowest == nil {
		return false
	}
	b.add(slowest, -slowest.bytes)
	slowest.evicted = true
	delete(b.reading, slowest)
	slowest.abortRead()
	return true
}

// add adds to the reserved bytes. bodyMemory.mu is held.
func (b *bodyMemory) add(r *reservation, bytes int64) {
	r.bytes += bytes
	b.bytes += bytes
	b.byCaller[r.caller] += bytes
	if b.byCaller[r.caller] == 0 {
		delete(b.byCaller, r.caller)
	}
}
