package entry

import (
	"context"
	"strings"
	"sync"

	"foxcross.dev/coord/binding"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/result"

	"foxcross.dev/foxcross/internal/workers"
)

// maxPendingBytes is how many bytes of a response may wait for a slow caller before the entry stops
// reading the agent's stream.
const maxPendingBytes = 1 << 20

// fragment is what one write to the caller consists of: text, data, head or finished.
type fragment interface{ fragment() }

// text is answer text of a model.
type text string

// data is bytes from a service, or choices of a model that are not plain text.
type data []byte

// head is the status and the header of a service's response.
type head message.Head

// finished ends the response.
type finished struct{ binding.Finish }

func (text) fragment()     {}
func (data) fragment()     {}
func (head) fragment()     {}
func (finished) fragment() {}

// call is an accepted request and the response that is buffered for its caller.
type call struct {
	id      message.RequestID
	request binding.Request
	start   message.Start

	contentOnce sync.Once
	contentKey  quarantine.Key // set by content

	mu           sync.Mutex
	sentText     strings.Builder // text received so far, from which another attempt can continue
	sentTokens   int
	pending      []fragment
	pendingBytes int
	closed       bool             // the caller has disconnected or has the complete response
	run          result.Execution // as reported by finished
	ready        chan struct{}    // signalled when pending grows
	consumed     chan struct{}    // signalled when pending was read
}

func newCall(q binding.Request, s message.Start) *call {
	return &call{request: q, start: s, ready: make(chan struct{}, 1), consumed: make(chan struct{}, 1)}
}

// put adds a fragment to the pending ones. It never blocks.
func (c *call) put(p fragment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addLocked(p)
}

func (c *call) addLocked(p fragment) {
	if f, ok := p.(finished); ok {
		c.run = f.Run
	}
	c.pending = append(c.pending, p)
	c.pendingBytes += sizeOf(p)
	workers.Signal(c.ready)
}

// putChunk adds a chunk and records its text, so that another attempt can continue from it.
func (c *call) putChunk(m message.Chunk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentTokens += m.Tokens
	if m.Text != "" {
		c.sentText.WriteString(m.Text)
		c.addLocked(text(m.Text))
	}
	if len(m.Data) > 0 {
		c.addLocked(data(m.Data))
	}
}

func sizeOf(p fragment) int {
	switch p := p.(type) {
	case text:
		return len(p)
	case data:
		return len(p)
	default:
		return 0
	}
}

// next waits for pending fragments and returns them all.
func (c *call) next(ctx context.Context) ([]fragment, error) {
	for {
		c.mu.Lock()
		taken := c.pending
		c.pending = nil
		c.pendingBytes = 0
		c.mu.Unlock()
		workers.Signal(c.consumed)
		if len(taken) > 0 {
			return taken, nil
		}
		select {
		case <-c.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// waitForSpace blocks while more than maxPendingBytes are pending.
func (c *call) waitForSpace(done <-chan struct{}) {
	for {
		c.mu.Lock()
		full := c.pendingBytes > maxPendingBytes && !c.closed
		c.mu.Unlock()
		if !full {
			return
		}
		select {
		case <-c.consumed:
		case <-done:
			return
		}
	}
}

// close unblocks waitForSpace for good.
func (c *call) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	workers.Signal(c.consumed)
}

// notRun reports whether the request ended without having been run.
func (c *call) notRun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.run == result.NotRun
}

// startFor returns the start of an attempt, including the text that the caller already has.
func (c *call) startFor(a message.Attempt) message.Start {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.start
	m.Request = c.id
	m.Attempt = a
	m.SentText = c.sentText.String()
	m.SentTokens = c.sentTokens
	return m
}
