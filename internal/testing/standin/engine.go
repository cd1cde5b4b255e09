package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/relay/endpoint"

	"github.com/alexedwards/flow"
)

// Engine is a model engine on one card.
type Engine struct {
	Card
}

// Handler serves the chat-completions protocol.
func (e *Engine) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/v1/chat/completions", e.serve, http.MethodPost)
	mux.HandleFunc("/load", e.serveLoad, http.MethodGet)
	return mux
}

type engineMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type engineRequest struct {
	Model     string          `json:"model"`
	Messages  []engineMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Continue  bool            `json:"continue_final_message"`
	Priority  int             `json:"priority"`
}

const (
	minAnswer   = 8    // tokens
	answerRange = 32   // number of possible lengths, in tokens
	wordStep    = 7919 // a prime, so that neighbouring words differ
)

// Answer returns the tokens of the whole response to a list of messages: length tokens, or
// for 0 a number derived from the messages. It depends on nothing else, so every
// engine gives the same response.
func Answer(messages []string, length int) []string {
	h := fnv.New64a()
	for _, m := range messages {
		_, _ = h.Write([]byte(m + "\x00")) // a hash never fails
	}
	seed := h.Sum64()
	count := minAnswer + int(seed%answerRange)
	if length > 0 {
		count = length
	}
	tokens := make([]string, count)
	for n := range tokens {
		tokens[n] = fmt.Sprintf("w%x-%d ", (seed+uint64(n)*wordStep)%4096, n)
	}
	return tokens
}

// splitPrompt returns the prompt, the whole response, and the number of its tokens that
// were sent before.
func (q engineRequest) splitPrompt() (prompt, tokens []string, sentTokens int) {
	sentText := ""
	for n, m := range q.Messages {
		if q.Continue && n == len(q.Messages)-1 {
			sentText = m.Content
			continue
		}
		prompt = append(prompt, m.Content)
	}
	sentTokens = strings.Count(sentText, " ")
	length := q.MaxTokens
	if length > 0 {
		length += sentTokens
	}
	return prompt, Answer(prompt, length), sentTokens
}

// AnswerText returns the whole response as one text.
func AnswerText(messages []string, length int) string {
	return strings.Join(Answer(messages, length), "")
}

// Prompt returns a prompt of about size bytes that begins with the text.
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
	prompt, tokens, sentTokens := q.splitPrompt()
	if !e.begin(r.Context(), prompt, q.Priority) {
		http.Error(w, "engine is broken", http.StatusInternalServerError)
		return
	}
	defer e.finish()
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	ended := e.generate(r.Context(), prompt, tokens, sentTokens, func(token string) error {
		writeEvent(w, fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, token))
		return control.Flush()
	})
	switch ended {
	case failed:
		panic(http.ErrAbortHandler)
	case cancelled:
		return
	case completed:
	}
	writeEvent(w, `{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
	writeEvent(w, fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`,
		totalLength(prompt)/4, len(tokens)-sentTokens))
	writeEvent(w, "[DONE]")
}

func writeEvent(w http.ResponseWriter, data string) {
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data) // the caller may have disconnected
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]int{"running": e.Load()}) // the caller may have disconnected
}

// HasCrashed implements endpoint.CrashDetector.
func (e *Engine) HasCrashed(context.Context) bool { return e.isBroken() }

// Run implements endpoint.Driver for tests without a network.
func (e *Engine) Run(ctx context.Context, c endpoint.Call, k endpoint.Sink) message.End {
	var q engineRequest
	if err := json.Unmarshal(c.Start.Body, &q); err != nil {
		return message.End{Code: result.EndpointFailed, Run: result.NotRun, Reason: err.Error()}
	}
	if c.Start.SentText != "" {
		q.Messages = append(q.Messages, engineMessage{Role: "assistant", Content: c.Start.SentText})
		q.Continue = true
		if q.MaxTokens > 0 && q.MaxTokens <= c.Start.SentTokens {
			return message.End{Code: result.OK, Run: result.Ran, FinishReason: "length"}
		}
		if q.MaxTokens > 0 {
			q.MaxTokens -= c.Start.SentTokens
		}
	}
	prompt, tokens, sentTokens := q.splitPrompt()
	if !e.begin(ctx, prompt, c.Terms.Tier) {
		return message.End{Code: result.EndpointFailed, Run: result.Ran, Reason: "engine is broken"}
	}
	defer e.finish()
	if e.generate(ctx, prompt, tokens, sentTokens, func(token string) error { return k.Text(token, 1) }) != completed {
		return message.End{Code: result.EndpointFailed, Run: result.Ran, Reason: "the answer broke off"}
	}
	return message.End{Code: result.OK, Run: result.Ran, FinishReason: "stop", AnswerTokens: len(tokens) - sentTokens}
}
