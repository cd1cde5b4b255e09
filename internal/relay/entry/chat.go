package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"foxcross.dev/coord/affinity"
	"foxcross.dev/coord/binding"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/failure"
)

// bytesPerToken is a rough size of a token, for choosing agents only.
const bytesPerToken = 4

// chatRequest is the part of a chat request that the entry reads.
type chatRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

// serveChat answers a chat completion.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) *result.Error {
	c, failure := e.identify(r)
	if failure != nil {
		return failure
	}
	body, failure := e.readBody(w, r)
	if failure != nil {
		return failure
	}
	q, failure := parseChat(body)
	if failure != nil {
		return failure
	}
	k, failure := c.chatClass(r, q.Model)
	if failure != nil {
		return failure
	}
	a, done, failure := e.submit(r, c, k, chatBinding(c, k, q), message.Start{Body: body})
	if failure != nil {
		return failure
	}
	defer done()
	answer := chatAnswer{model: q.Model, created: time.Now().Unix(), id: fmt.Sprintf("chatcmpl-%s-%d", e.options.Name, a.id)}
	if q.Stream {
		answer.stream(w, r, a)
		return nil
	}
	answer.whole(w, r, a)
	return nil
}

func parseChat(body []byte) (chatRequest, *result.Error) {
	var q chatRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return q, result.Errorf(result.BadRequest, "body is not a chat request: %v", err)
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(q.Messages, &messages); err != nil || len(messages) == 0 {
		return q, result.Errorf(result.BadRequest, "messages must be a list that is not empty")
	}
	return q, nil
}

// chatClass finds the class: named by the header, else the team's default if it
// serves the model, else the first class of the model that the team may use.
func (c caller) chatClass(r *http.Request, model string) (settings.ClassInfo, *result.Error) {
	k, named, failure := c.named(r)
	if failure != nil {
		return k, failure
	}
	if !c.snapshot.ServesModel(model) {
		return k, result.Errorf(result.UnknownModel, "%q", model)
	}
	if named {
		if k.Model != model {
			return k, result.Errorf(result.UnknownModel, "class %s does not serve %q", k.Name, model)
		}
		return k, c.allow(k)
	}
	if k, ok := c.snapshot.Class(c.team.DefaultClass); ok && k.Model == model {
		return k, nil
	}
	for _, k := range c.snapshot.ModelClasses(model) {
		if c.team.MayUse(k.Name) {
			return k, nil
		}
	}
	return k, result.Errorf(result.UnknownClass, "team %s may use no class of %q", c.team.Name, model)
}

func chatBinding(c caller, k settings.ClassInfo, q chatRequest) binding.Request {
	return binding.Request{
		Target:        k.Target(),
		Terms:         c.terms(k),
		GiveUp:        k.GiveUp,
		RetryPermille: k.RetryPermille,
		PromptTokens:  len(q.Messages) / bytesPerToken,
		Prefix:        affinity.Chain(q.Messages),
	}
}

// chatAnswer writes an answer in the shape of the chat-completions protocol.
type chatAnswer struct {
	id      string
	model   string
	created int64
}

// chatBody is a chunk of a streamed answer, or a whole one.
type chatBody struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices json.RawMessage `json:"choices"`
	Usage   *chatUsage      `json:"usage,omitempty"`
}

type chatUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type chatDelta struct {
	Index  int          `json:"index"`
	Delta  *chatContent `json:"delta,omitempty"`
	Whole  *chatContent `json:"message,omitempty"`
	Finish *string      `json:"finish_reason"`
}

type chatContent struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

func (a chatAnswer) body(object string, choices any) chatBody {
	raw, ok := choices.(json.RawMessage)
	if !ok {
		raw, _ = json.Marshal(choices) // plain structs always have a JSON form
	}
	return chatBody{ID: a.id, Object: object, Created: a.created, Model: a.model, Choices: raw}
}

// whole collects the answer and writes it at once.
func (a chatAnswer) whole(w http.ResponseWriter, r *http.Request, c *call) {
	var all strings.Builder
	var choices json.RawMessage
	for {
		pieces, err := c.next(r.Context())
		if err != nil {
			return // the caller is gone
		}
		for _, p := range pieces {
			switch p := p.(type) {
			case text:
				all.WriteString(string(p))
			case data:
				choices = json.RawMessage(p)
			case finished:
				a.writeWhole(w, p, all.String(), choices, c)
				return
			}
		}
	}
}

func (a chatAnswer) writeWhole(w http.ResponseWriter, f finished, all string, choices json.RawMessage, c *call) {
	if f.Code == result.OK && choices != nil {
		writeFailure(w, &result.Error{Code: result.Unresumable, Run: result.Ran, Reason: "this answer can only be streamed"})
		return
	}
	if f.Code != result.OK {
		writeFailure(w, f.failure())
		return
	}
	b := a.body("chat.completion", []chatDelta{{
		Whole:  &chatContent{Role: "assistant", Content: &all},
		Finish: finishReason(f),
	}})
	b.Usage = usageOf(f, c)
	w.Header().Set("Content-Type", "application/json")
	failure.SetCode(w.Header(), f.Code, f.Run)
	_ = json.NewEncoder(w).Encode(b) // the caller may be gone
}

func finishReason(f finished) *string {
	reason := f.End.FinishReason
	if reason == "" {
		reason = "stop"
	}
	return &reason
}

func usageOf(f finished, c *call) *chatUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &chatUsage{Prompt: f.End.PromptTokens, Completion: c.tokens, Total: f.End.PromptTokens + c.tokens}
}

// stream writes the answer as it comes.
func (a chatAnswer) stream(w http.ResponseWriter, r *http.Request, c *call) {
	s := eventStream{writer: w, control: http.NewResponseController(w)}
	for {
		pieces, err := c.next(r.Context())
		if err != nil {
			return // the caller is gone
		}
		for _, p := range pieces {
			if over := a.streamPiece(&s, p, c); over {
				return
			}
		}
		if err := s.flush(); err != nil {
			return
		}
	}
}

func (a chatAnswer) streamPiece(s *eventStream, p piece, c *call) (over bool) {
	const object = "chat.completion.chunk"
	switch p := p.(type) {
	case text:
		content := string(p)
		s.event(a.body(object, []chatDelta{{Delta: &chatContent{Role: "assistant", Content: &content}}}))
	case data:
		s.event(a.body(object, json.RawMessage(p)))
	case finished:
		if p.Code != result.OK {
			s.fail(p.failure())
			return true
		}
		last := a.body(object, []chatDelta{{Delta: &chatContent{}, Finish: finishReason(p)}})
		last.Usage = usageOf(p, c)
		s.event(last)
		s.done(p)
		return true
	}
	return false
}
