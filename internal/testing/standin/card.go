package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"foxcross.dev/coord/affinity"
	"foxcross.dev/foxcross/internal/workers"
)

// Card is an accelerator that batches: the more requests run, the longer a token
// takes. The zero value is a fast card without faults.
type Card struct {
	Step     time.Duration // between tokens with one request, 0 for 5 ms
	Batch    int           // number of requests at which a step takes twice as long, 0 for 16
	Prefill  float64       // prompt bytes a second, 0 for a million
	MaxBatch int           // requests in the batch, further ones queue by priority; 0 for no bound
	LoadLag  time.Duration // age of the reported load

	// OnStart, if set, is called with the prompt of each request that starts.
	OnStart func(prompt string)

	mu       sync.Mutex
	running  int
	slowdown float64 // factor, 0 for none
	broken   bool    // running responses are truncated and new requests fail
	frozen   chan struct{}
	cached   affinity.Table
	started  int
	tokens   int
	waiting  []*queuedRequest
	loads    []loadSample
}

// queuedRequest is a request that waits for a place in the batch.
type queuedRequest struct {
	priority int // lower is served first
	admitted chan struct{}
}

// loadSample is the number of running requests since a time.
type loadSample struct {
	at      time.Time
	running int
}

// SetSlowdown multiplies the time of every step by a factor.
func (c *Card) SetSlowdown(factor float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowdown = factor
}

// SetBroken makes the card fail, or work again if broken is false.
func (c *Card) SetBroken(broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = broken
}

// Freeze suspends the card until the returned function is called.
func (c *Card) Freeze() (thaw func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	frozen := make(chan struct{})
	c.frozen = frozen
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.frozen == frozen {
			c.frozen = nil
		}
		close(frozen)
	}
}

// Started returns the number of requests that have started.
func (c *Card) Started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// Tokens returns the number of generated tokens.
func (c *Card) Tokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}

// Running returns the number of running requests.
func (c *Card) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// begin adds a request to the batch and waits if the batch is full. It returns false
// if the card is broken or ctx is done.
func (c *Card) begin(ctx context.Context, prompt []string, priority int) bool {
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		return false
	}
	if c.MaxBatch > 0 && c.running >= c.MaxBatch {
		p := &queuedRequest{priority: priority, admitted: make(chan struct{})}
		c.waiting = append(c.waiting, p)
		slices.SortStableFunc(c.waiting, func(a, b *queuedRequest) int { return a.priority - b.priority })
		c.mu.Unlock()
		if !c.awaitAdmission(ctx, p) {
			return false
		}
		c.mu.Lock()
	} else {
		c.changeRunning(1)
	}
	defer c.mu.Unlock()
	c.started++
	if c.OnStart != nil && len(prompt) > 0 {
		c.OnStart(prompt[0])
	}
	return true
}

// awaitAdmission waits until a request that ends passes its place on.
func (c *Card) awaitAdmission(ctx context.Context, p *queuedRequest) bool {
	select {
	case <-p.admitted:
		return true
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := len(c.waiting)
	c.waiting = slices.DeleteFunc(c.waiting, func(o *queuedRequest) bool { return o == p })
	if len(c.waiting) == before {
		c.admitNext() // admitted at the same time
	}
	return false
}

func (c *Card) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admitNext()
}

// admitNext passes the place of a request to the first queued one, if any. Card.mu
// must be held.
func (c *Card) admitNext() {
	if len(c.waiting) == 0 {
		c.changeRunning(-1)
		return
	}
	close(c.waiting[0].admitted)
	c.waiting = c.waiting[1:]
}

// maxLoadSamples bounds the samples for a delayed load report.
const maxLoadSamples = 1024

// changeRunning changes the number of running requests. Card.mu must be held.
func (c *Card) changeRunning(by int) {
	c.running += by
	if c.LoadLag <= 0 {
		return
	}
	c.loads = append(c.loads, loadSample{time.Now(), c.running})
	if len(c.loads) > maxLoadSamples {
		c.loads = c.loads[1:]
	}
}

// Load returns the number of requests that were running LoadLag ago.
func (c *Card) Load() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.LoadLag <= 0 {
		return c.running
	}
	then := time.Now().Add(-c.LoadLag)
	load := 0
	for _, s := range c.loads {
		if s.at.After(then) {
			break
		}
		load = s.running
	}
	return load
}

// cacheHolder is the card's name in its own table of cached prompts.
const cacheHolder = "card"

// cachedPrefillShare is the fraction of the prefill time that a cached prefix takes.
const cachedPrefillShare = 0.1

// prefill returns the prefill time of a prompt. A recently used prefix takes a tenth.
func (c *Card) prefill(prompt []string) time.Duration {
	text := strings.Join(prompt, "\x00")
	chain := affinity.Chain([]byte(text))
	c.mu.Lock()
	defer c.mu.Unlock()
	rate := c.Prefill
	if rate <= 0 {
		rate = 1e6
	}
	cached := float64(c.cached.Longest(chain)[cacheHolder]) * affinity.BlockTokens * bytesPerToken
	c.cached.Put(chain, cacheHolder)
	bytes := float64(len(text)) - (1-cachedPrefillShare)*cached
	return c.slowed(time.Duration(bytes / rate * float64(time.Second)))
}

// bytesPerToken is the size of a token in package affinity.
const bytesPerToken = 4

func (c *Card) slowed(d time.Duration) time.Duration {
	if c.slowdown > 0 {
		return time.Duration(float64(d) * c.slowdown)
	}
	return d
}

// step returns the time of one token at the present batch size.
func (c *Card) step() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	step := c.Step
	if step <= 0 {
		step = 5 * time.Millisecond
	}
	batch := c.Batch
	if batch <= 0 {
		batch = 16
	}
	return c.slowed(step + step*time.Duration(c.running-1)/time.Duration(batch))
}

func (c *Card) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

func (c *Card) countToken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens++
}

// sleep waits for d and until the card is no longer frozen.
func (c *Card) sleep(ctx context.Context, d time.Duration) {
	if !workers.Sleep(ctx, d) {
		return
	}
	c.mu.Lock()
	frozen := c.frozen
	c.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-ctx.Done():
	}
}

// outcome is the result of generating a response.
type outcome uint8

const (
	completed outcome = iota
	cancelled
	failed
)

// generate generates the tokens from index from on and passes each to emit, until emit
// fails, ctx is done or the card breaks.
func (c *Card) generate(ctx context.Context, prompt, tokens []string, from int, emit func(string) error) outcome {
	c.sleep(ctx, c.prefill(prompt))
	for n := from; n < len(tokens); n++ {
		c.sleep(ctx, c.step())
		if ctx.Err() != nil {
			return cancelled
		}
		if c.isBroken() {
			return failed
		}
		c.countToken()
		if err := emit(tokens[n]); err != nil {
			return cancelled
		}
	}
	return completed
}

func totalLength(texts []string) int {
	sum := 0
	for _, t := range texts {
		sum += len(t)
	}
	return sum
}
