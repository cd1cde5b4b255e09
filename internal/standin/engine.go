package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/alexedwards/flow"
)

// Engine is a model engine that batches: every token takes longer the more
// requests run. The zero value is a fast card without faults.
type Engine struct {
	Step    time.Duration // between tokens with one request, 0 for 5 ms
	Batch   int           // requests at which a step takes twice as long, 0 for 16
	Prefill float64       // prompt bytes a second, 0 for a million

	// OnStart, if set, is called with the prompt of each request that is begun.
	OnStart func(prompt string)

	mu      sync.Mutex
	running int
	slow    float64 // factor, 0 for none
	broken  bool    // answers break off and new requests fail
	frozen  chan struct{}
	cached  map[uint64]bool
	started int
	tokens  int
}

// Handler serves the chat-completions protocol.
func (e *Engine) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/v1/chat/completions", e.serve, http.MethodPost)
	mux.HandleFunc("/load", e.serveLoad, http.MethodGet)
	return mux
}

// Slow makes every step take so many times as long.
func (e *Engine) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// Break makes the engine fail, or work again.
func (e *Engine) Break(broken bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.broken = broken
}

// Freeze makes the engine stand still until the returned function is called.
func (e *Engine) Freeze() (thaw func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	frozen := make(chan struct{})
	e.frozen = frozen
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.frozen == frozen {
			e.frozen = nil
		}
		close(frozen)
	}
}

// Started returns how many requests were begun.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// Tokens returns how many tokens were made.
func (e *Engine) Tokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

type engineMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type engineRequest struct {
	Model    string          `json:"model"`
	Messages []engineMessage `json:"messages"`
	Most     int             `json:"max_tokens"`
	Continue bool            `json:"continue_final_message"`
}

const (
	leastAnswer = 8
	answerRange = 32
	otherWord   = 7919 // a prime, to make neighbouring words differ
)

// Answer returns the tokens of the whole answer to a list of messages. It
// depends on nothing else, so every engine gives the same answer.
func Answer(messages []string, most int) []string {
	h := fnv.New64a()
	for _, m := range messages {
		_, _ = h.Write([]byte(m + "\x00")) // a hash never fails
	}
	seed := h.Sum64()
	count := leastAnswer + int(seed%answerRange)
	if most > 0 {
		count = min(count, most)
	}
	tokens := make([]string, count)
	for n := range tokens {
		tokens[n] = fmt.Sprintf("w%x-%d ", (seed+uint64(n)*otherWord)%4096, n)
	}
	return tokens
}

// AnswerText returns the whole answer as one text.
func AnswerText(messages []string, most int) string {
	return strings.Join(Answer(messages, most), "")
}

// Prompt returns a prompt of about so many bytes that begins with the text.
func Prompt(text string, size int) string {
	const filler = " lorem"
	return text + strings.Repeat(filler, max(0, size-len(text))/len(filler))
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	var q engineRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.begin() {
		http.Error(w, "engine is broken", http.StatusInternalServerError)
		return
	}
	defer e.end()
	if e.OnStart != nil && len(q.Messages) > 0 {
		e.OnStart(q.Messages[0].Content)
	}
	var prompt []string
	sent := ""
	for n, m := range q.Messages {
		if q.Continue && n == len(q.Messages)-1 {
			sent = m.Content
			continue
		}
		prompt = append(prompt, m.Content)
	}
	done := strings.Count(sent, " ")
	most := q.Most
	if most > 0 {
		most += done
	}
	e.stream(w, r, prompt, Answer(prompt, most), done)
}

func (e *Engine) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.broken {
		return false
	}
	e.running++
	e.started++
	return true
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, prompt, tokens []string, done int) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	e.sleep(r, e.prefill(prompt))
	for n := done; n < len(tokens); n++ {
		e.sleep(r, e.step())
		if r.Context().Err() != nil {
			return
		}
		if e.isBroken() {
			panic(http.ErrAbortHandler)
		}
		event(w, fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, tokens[n]))
		if err := control.Flush(); err != nil {
			return
		}
	}
	event(w, `{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
	event(w, fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`,
		size(prompt)/4, len(tokens)-done))
	event(w, "[DONE]")
}

func event(w http.ResponseWriter, data string) {
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data) // the caller may be gone
}

func size(texts []string) int {
	sum := 0
	for _, t := range texts {
		sum += len(t)
	}
	return sum
}

// prefill is the time for a prompt; a prompt seen before takes a tenth.
func (e *Engine) prefill(prompt []string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(strings.Join(prompt, "\x00"))) // a hash never fails
	e.mu.Lock()
	defer e.mu.Unlock()
	rate := e.Prefill
	if rate <= 0 {
		rate = 1e6
	}
	took := time.Duration(float64(size(prompt)) / rate * float64(time.Second))
	if e.cached == nil {
		e.cached = map[uint64]bool{}
	}
	if e.cached[h.Sum64()] {
		took /= 10
	}
	e.cached[h.Sum64()] = true
	return e.slowed(took)
}

func (e *Engine) slowed(d time.Duration) time.Duration {
	if e.slow > 0 {
		return time.Duration(float64(d) * e.slow)
	}
	return d
}

// step is the time of one token with what runs now.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	step := e.Step
	if step <= 0 {
		step = 5 * time.Millisecond
	}
	batch := e.Batch
	if batch <= 0 {
		batch = 16
	}
	e.tokens++
	return e.slowed(step + step*time.Duration(e.running-1)/time.Duration(batch))
}

func (e *Engine) isBroken() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken
}

// sleep waits, longer while the engine is frozen.
func (e *Engine) sleep(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	e.mu.Lock()
	frozen := e.frozen
	e.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-r.Context().Done():
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int{"running": e.running}) // the caller may be gone
}
