package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"

	"github.com/tmaxmax/go-sse"
)

const (
	chatPath      = "/v1/chat/completions"
	maxEventBytes = 1 << 20 // bytes per event
	doneEvent     = "[DONE]"
)

func init() { Drivers.Register("openai", newChat) }

// chat is the driver of a model engine with a chat completions API that streams
// server-sent events.
type chat struct {
	url    string
	host   string
	client *http.Client
}

func newChat(s Settings) (Driver, error) {
	base, err := baseURL(s)
	if err != nil {
		return nil, err
	}
	return &chat{url: base.JoinPath(chatPath).String(), host: hostOf(base), client: newClient(true)}, nil
}

// Run streams a response. The request holds the tier as the engine's priority and the
// text that the caller already has as the beginning of the response.
func (e *chat) Run(ctx context.Context, c Call, k Sink) message.End {
	body, err := chatBody(c)
	if errors.Is(err, errAnswerComplete) {
		return message.End{Code: result.OK, Run: result.Ran, FinishReason: finishLength}
	}
	if err != nil {
		return failed(result.NotRun, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url, bytes.NewReader(body))
	if err != nil {
		return failed(result.NotRun, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	var x exchange
	response, end := x.do(e.client, request)
	if response == nil {
		return end
	}
	defer func() { _ = response.Body.Close() }()
	if why := x.invalid(response); why != "" {
		return failed(result.Ran, why)
	}
	if response.StatusCode != http.StatusOK {
		return failed(result.Ran, fmt.Sprintf("engine answered %s", response.Status))
	}
	return readEvents(response, k)
}

// errAnswerComplete means that the caller already has as many tokens as it requested: only
// the end of the response was lost.
var errAnswerComplete = errors.New("endpoint: the answer has reached its token limit")

// finishLength is the finish reason of a response that reached its limit.
const finishLength = "length"

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody returns the caller's request body with only the router's own fields changed.
func chatBody(c Call) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(c.Start.Body, &fields); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["priority"] = json.RawMessage(fmt.Sprint(c.Terms.Tier))
	if c.Start.SentText != "" {
		if err := continueAnswer(fields, c.Start); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

// continueAnswer changes the request to continue from the text already sent.
func continueAnswer(fields map[string]json.RawMessage, m message.Start) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return fmt.Errorf("messages: %w", err)
	}
	sent, err := json.Marshal(chatMessage{Role: "assistant", Content: m.SentText})
	if err != nil {
		return err
	}
	joined, err := json.Marshal(append(messages, sent))
	if err != nil {
		return err
	}
	fields["messages"] = joined
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	return reduceLimit(fields, m.SentTokens)
}

// reduceLimit subtracts the tokens already sent from the caller's limit.
func reduceLimit(fields map[string]json.RawMessage, sent int) error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		raw, ok := fields[name]
		if !ok || string(raw) == "null" {
			continue
		}
		var limit int
		if err := json.Unmarshal(raw, &limit); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if limit <= sent {
			return errAnswerComplete
		}
		fields[name] = json.RawMessage(fmt.Sprint(limit - sent))
	}
	return nil
}

// chatEvent holds the fields of an event that the driver reads.
type chatEvent struct {
	Choices json.RawMessage `json:"choices"`
	Usage   *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// chatChoice is one choice of an event. A response is more than text if a choice has
// fields other than those that plainText reads.
type chatChoice map[string]json.RawMessage

func readEvents(response *http.Response, k Sink) message.End {
	end := message.End{Code: result.OK, Run: result.Ran}
	complete := false
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return failed(result.Ran, err.Error())
		}
		if event.Data == doneEvent {
			complete = true
			break
		}
		if err := readEvent([]byte(event.Data), k, &end); err != nil {
			return failed(result.Ran, err.Error())
		}
	}
	if !complete {
		return failed(result.Ran, "the engine broke off the answer")
	}
	return end
}

func readEvent(data []byte, k Sink, end *message.End) error {
	var e chatEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("event: %w", err)
	}
	if e.Error != nil {
		return fmt.Errorf("engine: %s", e.Error.Message)
	}
	if e.Usage != nil {
		end.PromptTokens = e.Usage.Prompt
		end.AnswerTokens = e.Usage.Completion
	}
	if text, finish, plain := plainText(e.Choices); plain {
		if finish != "" {
			end.FinishReason = finish
		}
		if text == "" {
			return nil
		}
		return k.Text(text, 1)
	}
	return k.Data(e.Choices, 1)
}

// plainText reports whether the choices are a single choice of text, or none.
func plainText(raw json.RawMessage) (text, finish string, plain bool) {
	if len(raw) == 0 {
		return "", "", true
	}
	var choices []chatChoice
	if err := json.Unmarshal(raw, &choices); err != nil || len(choices) > 1 {
		return "", "", false
	}
	if len(choices) == 0 {
		return "", "", true
	}
	c := choices[0]
	var delta chatChoice
	var index int
	ok := c.take("index", &index) && c.take("finish_reason", &finish) && c.take("delta", &delta) &&
		delta.take("content", &text) && delta.take("role", new(string))
	return text, finish, ok && index == 0 && c.empty() && delta.empty()
}

// take decodes a field into v and removes it. It leaves v unchanged if the field is
// missing or null.
func (c chatChoice) take(name string, v any) bool {
	raw, ok := c[name]
	delete(c, name)
	return !ok || json.Unmarshal(raw, v) == nil
}

// empty reports whether only null fields are left.
func (c chatChoice) empty() bool {
	for _, raw := range c {
		if string(raw) != "null" {
			return false
		}
	}
	return true
}
