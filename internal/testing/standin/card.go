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

// Card is an accelerator that batches: every token takes longer the more
// requests run. The zero value is a fast card without faults.
type Card struct {
	Step    time.Duration // between tokens with one request, 0 for 5 ms
	Batch   int           // requests at which a step takes twice as long, 0 for 16
	Prefill float64       // prompt bytes a second, 0 for a million
	Most    int           // requests in the batch, the others wait by priority; 0 for no bound
	Lag     time.Duration // age of the load that is reported

	// OnStart, if set, is called with the prompt of each request that is begun.
	OnStart func(prompt string)

	mu      sync.Mutex
	running int
	slow    float64 // factor, 0 for none
	broken  bool    // answers break off and new requests fail
	frozen  chan struct{}
	cached  affinity.Table
	started int
	tokens  int
	waiting []*place
	loads   []loadSample
}

// place is a request that waits for room in the batch.
type place struct {
	priority int // lower is served first
	room     chan struct{}
}

// loadSample is how much ran from a time on.
type loadSample struct {
	at      time.Time
	running int
}

// Slow makes every step take so many times as long.
func (c *Card) Slow(factor float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = factor
}

// Break makes the card fail, or work again.
func (c *Card) Break(broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = broken
}

// Freeze makes the card stand still until the returned function is called.
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

// Started returns how many requests were begun.
func (c *Card) Started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// Tokens returns how many tokens were made.
func (c *Card) Tokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}

// Running returns how many requests run.
func (c *Card) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// begin takes a request in, after a wait if the batch is full. It fails if the
// card is broken or ctx is done.
func (c *Card) begin(ctx context.Context, prompt []string, priority int) bool {
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		return false
	}
	if c.Most > 0 && c.running >= c.Most {
		p := &place{priority: priority, room: make(chan struct{})}
		c.waiting = append(c.waiting, p)
		slices.SortStableFunc(c.waiting, func(a, b *place) int { return a.priority - b.priority })
		c.mu.Unlock()
		if !c.wait(ctx, p) {
			return false
		}
		c.mu.Lock()
	} else {
		c.change(1)
	}
	defer c.mu.Unlock()
	c.started++
	if c.OnStart != nil && len(prompt) > 0 {
		c.OnStart(prompt[0])
	}
	return true
}

// wait waits for room; whoever ends gives its room to the first that waits.
func (c *Card) wait(ctx context.Context, p *place) bool {
	select {
	case <-p.room:
		return true
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := len(c.waiting)
	c.waiting = slices.DeleteFunc(c.waiting, func(o *place) bool { return o == p })
	if len(c.waiting) == before {
		c.handOn() // the room came at the same time
	}
	return false
}

func (c *Card) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handOn()
}

// handOn gives the room of a request to the next, if one waits. The lock is
// held.
func (c *Card) handOn() {
	if len(c.waiting) == 0 {
		c.change(-1)
		return
	}
	close(c.waiting[0].room)
	c.waiting = c.waiting[1:]
}

// keptLoads bounds the samples that a lagged report needs.
const keptLoads = 1024

// change notes how much runs. The lock is held.
func (c *Card) change(by int) {
	c.running += by
	if c.Lag <= 0 {
		return
	}
	c.loads = append(c.loads, loadSample{time.Now(), c.running})
	if len(c.loads) > keptLoads {
		c.loads = c.loads[1:]
	}
}

// Load returns how much ran so long ago as the lag says.
func (c *Card) Load() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Lag <= 0 {
		return c.running
	}
	then := time.Now().Add(-c.Lag)
	load := 0
	for _, s := range c.loads {
		if s.at.After(then) {
			break
		}
		load = s.running
	}
	return load
}

// cardHolder is the card's name in its own table of prompts.
const cardHolder = "card"

// cachedShare is the part of the prefill time that a cached beginning takes.
const cachedShare = 0.1

// prefill is the time for a prompt; a beginning seen lately takes a tenth.
func (c *Card) prefill(prompt []string) time.Duration {
	text := strings.Join(prompt, "\x00")
	chain := affinity.Chain([]byte(text))
	c.mu.Lock()
	defer c.mu.Unlock()
	rate := c.Prefill
	if rate <= 0 {
		rate = 1e6
	}
	cached := float64(c.cached.Longest(chain)[cardHolder]) * affinity.BlockTokens * bytesPerToken
	c.cached.Put(chain, cardHolder)
	bytes := float64(len(text)) - (1-cachedShare)*cached
	return c.slowed(time.Duration(bytes / rate * float64(time.Second)))
}

// bytesPerToken is what package affinity takes a token for.
const bytesPerToken = 4

func (c *Card) slowed(d time.Duration) time.Duration {
	if c.slow > 0 {
		return time.Duration(float64(d) * c.slow)
	}
	return d
}

// step is the time of one token with what runs now.
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

func (c *Card) count() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens++
}

// sleep waits, longer while the card is frozen.
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

// outcome is how the making of an answer ended.
type outcome uint8

const (
	whole outcome = iota
	cancelled
	broke
)

// generate makes the tokens from a place on and passes each to put, until put
// fails, ctx is done or the card breaks.
func (c *Card) generate(ctx context.Context, prompt, tokens []string, from int, put func(string) error) outcome {
	c.sleep(ctx, c.prefill(prompt))
	for n := from; n < len(tokens); n++ {
		c.sleep(ctx, c.step())
		if ctx.Err() != nil {
			return cancelled
		}
		if c.isBroken() {
			return broke
		}
		c.count()
		if err := put(tokens[n]); err != nil {
			return cancelled
		}
	}
	return whole
}

func size(texts []string) int {
	sum := 0
	for _, t := range texts {
		sum += len(t)
	}
	return sum
}
