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

// bytesPerToken is a rough size of a token. It is only used to choose agents.
const bytesPerToken = 4

// chatRequest holds the fields of a chat completion request that the entry reads.
type chatRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

// serveChat serves a chat completion request.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) *result.Error {
	c, failure := e.authenticate(r)
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
	a, done, failure := e.submit(r, c, k, bindingRequest(c, k, q), message.Start{Body: body})
	if failure != nil {
		return failure
	}
	defer done()
	cw := chatWriter{model: q.Model, created: time.Now().Unix(), id: fmt.Sprintf("chatcmpl-%s-%d", e.options.Name, a.id)}
	if q.Stream {
		cw.stream(w, r, a)
		return nil
	}
	cw.writeAll(w, r, a)
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

// chatClass returns the class of a request: the one that the header names, else the team's
// default if it serves the model, else the first class of the model that the team may use.
func (c caller) chatClass(r *http.Request, model string) (settings.ClassInfo, *result.Error) {
	k, found, failure := c.headerClass(r)
	if failure != nil {
		return k, failure
	}
	if !c.snapshot.ServesModel(model) {
		return k, result.Errorf(result.UnknownModel, "%q", model)
	}
	if found {
		if k.Model != model {
			return k, result.Errorf(result.UnknownModel, "class %s does not serve %q", k.Name, model)
		}
		return k, c.checkClass(k)
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

func bindingRequest(c caller, k settings.ClassInfo, q chatRequest) binding.Request {
	return binding.Request{
		Target:        k.Target(),
		Terms:         c.terms(k),
		GiveUp:        k.GiveUp,
		RetryPermille: k.RetryPermille,
		PromptTokens:  len(q.Messages) / bytesPerToken,
		Prefix:        affinity.Chain(q.Messages),
	}
}

// chatWriter writes a response in the format of the chat completions API.
type chatWriter struct {
	id      string
	model   string
	created int64
}

// chatCompletion is a complete response or a chunk of a streamed one.
type chatCompletion struct {
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

// chatChoice is a choice of a chatCompletion.
type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

func (cw chatWriter) completion(object string, choices any) chatCompletion {
	raw, ok := choices.(json.RawMessage)
	if !ok {
		raw, _ = json.Marshal(choices) // plain structs can always be marshalled
	}
	return chatCompletion{ID: cw.id, Object: object, Created: cw.created, Model: cw.model, Choices: raw}
}

// writeAll collects the response and writes it in one piece.
func (cw chatWriter) writeAll(w http.ResponseWriter, r *http.Request, c *call) {
	var content strings.Builder
	var choices json.RawMessage
	for {
		fragments, err := c.next(r.Context())
		if err != nil {
			return // the caller has disconnected
		}
		for _, p := range fragments {
			switch p := p.(type) {
			case text:
				content.WriteString(string(p))
			case data:
				choices = json.RawMessage(p)
			case finished:
				cw.writeCompletion(w, p, content.String(), choices, c)
				return
			}
		}
	}
}

func (cw chatWriter) writeCompletion(w http.ResponseWriter, f finished, content string, choices json.RawMessage, c *call) {
	if f.Code == result.OK && choices != nil {
		writeFailure(w, &result.Error{Code: result.Unresumable, Run: result.Ran, Reason: "this answer can only be streamed"})
		return
	}
	if f.Code != result.OK {
		writeFailure(w, f.failure())
		return
	}
	b := cw.completion("chat.completion", []chatChoice{{
		Message:      &chatMessage{Role: "assistant", Content: &content},
		FinishReason: finishReason(f),
	}})
	b.Usage = usageOf(f, c)
	w.Header().Set("Content-Type", "application/json")
	failure.SetCode(w.Header(), f.Code, f.Run)
	_ = json.NewEncoder(w).Encode(b) // the caller may have disconnected
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
	return &chatUsage{Prompt: f.End.PromptTokens, Completion: c.sentTokens, Total: f.End.PromptTokens + c.sentTokens}
}

// stream writes the response as server-sent events while it is received.
func (cw chatWriter) stream(w http.ResponseWriter, r *http.Request, c *call) {
	s := eventStream{writer: w, controller: http.NewResponseController(w)}
	for {
		fragments, err := c.next(r.Context())
		if err != nil {
			return // the caller has disconnected
		}
		for _, p := range fragments {
			if ended := cw.streamFragment(&s, p, c); ended {
				return
			}
		}
		if err := s.flush(); err != nil {
			return
		}
	}
}

func (cw chatWriter) streamFragment(s *eventStream, p fragment, c *call) (ended bool) {
	const object = "chat.completion.chunk"
	switch p := p.(type) {
	case text:
		content := string(p)
		s.event(cw.completion(object, []chatChoice{{Delta: &chatMessage{Role: "assistant", Content: &content}}}))
	case data:
		s.event(cw.completion(object, json.RawMessage(p)))
	case finished:
		if p.Code != result.OK {
			s.fail(p.failure())
			return true
		}
		last := cw.completion(object, []chatChoice{{Delta: &chatMessage{}, FinishReason: finishReason(p)}})
		last.Usage = usageOf(p, c)
		s.event(last)
		s.done(p)
		return true
	}
	return false
}
