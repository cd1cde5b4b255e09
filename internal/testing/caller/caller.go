// Package caller sends requests to entries as an application does and measures the
// answers, for examples, the load tool and tests.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"

	"github.com/tmaxmax/go-sse"
)

// maxEventBytes bounds an event of a stream and the body of an error response.
const maxEventBytes = 1 << 20

// Caller sends requests to one entry. A nil Client means a shared default client.
type Caller struct {
	URL            string
	Key            string // bearer key of the team
	Class          string // empty: the entry chooses
	IdempotencyKey string // empty for none
	MaxTokens      int    // largest number of tokens of a chat's answer, 0 for no limit
	Client         *http.Client
}

// Answer is the result of a request.
type Answer struct {
	Code       result.Code // 0 if the connection broke
	Run        result.Execution
	Body       string
	Tokens     int
	First      time.Duration   // to the first token or byte
	Total      time.Duration   // to the end
	Gaps       []time.Duration // between tokens
	RetryAfter string          // Retry-After
	Err        error
}

// errorBody is the body of a response with an error.
type errorBody struct {
	Error struct {
		Code result.Code `json:"code"`
		Run  string      `json:"run"`
	} `json:"error"`
}

func (c Caller) send(ctx context.Context, method, path, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.URL+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if c.Class != "" {
		request.Header.Set("X-Foxcross-Class", c.Class)
	}
	if c.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	client := c.Client
	if client == nil {
		client = defaultClient
	}
	return client.Do(request)
}

// maxIdleConnections allows connections to be reused for bursts.
const maxIdleConnections = 512

var defaultClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}

// Chat sends a prompt and reads the streamed response.
func (c Caller) Chat(ctx context.Context, model, prompt string) Answer {
	body, err := json.Marshal(chatBody{
		Model:     model,
		Stream:    true,
		MaxTokens: c.MaxTokens,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return Answer{Err: err}
	}
	began := time.Now()
	response, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", string(body))
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readFailure(response)
	}
	return readChat(response.Body, began)
}

func readFailure(response *http.Response) Answer {
	a := Answer{Code: result.BadRequest, RetryAfter: response.Header.Get("Retry-After")}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
	if err != nil {
		return Answer{Err: err}
	}
	a.setFailure(data)
	return a
}

func (a *Answer) setFailure(data []byte) {
	var f errorBody
	if err := json.Unmarshal(data, &f); err != nil {
		a.Err = err
		return
	}
	a.Code = f.Error.Code
	a.Run = parseRun(f.Error.Run)
}

func parseRun(text string) result.Execution {
	for _, r := range []result.Execution{result.Ran, result.NotRun} {
		if r.String() == text {
			return r
		}
	}
	return result.Unknown
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *json.RawMessage `json:"error"`
}

func readChat(body io.Reader, began time.Time) Answer {
	var a Answer
	var text strings.Builder
	last := began
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			a.Err = err
			break
		}
		if event.Data == "[DONE]" {
			a.Code = result.OK
			a.Run = result.Ran
			break
		}
		var e chatEvent
		if err := json.Unmarshal([]byte(event.Data), &e); err != nil {
			a.Err = err
			break
		}
		if e.Error != nil {
			a.setFailure([]byte(event.Data))
			break
		}
		if len(e.Choices) > 0 && e.Choices[0].Delta.Content != "" {
			text.WriteString(e.Choices[0].Delta.Content)
			last = a.addToken(began, last)
		}
	}
	a.Body = text.String()
	a.Total = time.Since(began)
	return a
}

// addToken records the arrival of a token and returns its time.
func (a *Answer) addToken(began, last time.Time) time.Time {
	now := time.Now()
	if a.Tokens == 0 {
		a.First = now.Sub(began)
	} else {
		a.Gaps = append(a.Gaps, now.Sub(last))
	}
	a.Tokens++
	return now
}

// Service calls a plain service.
func (c Caller) Service(ctx context.Context, service, method, path string) Answer {
	began := time.Now()
	response, err := c.send(ctx, method, "/services/"+service+path, "")
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	code, err := strconv.Atoi(response.Header.Get("X-Foxcross-Code"))
	if err != nil {
		return Answer{Err: fmt.Errorf("no code: %w", err)}
	}
	if result.Code(code) != result.OK {
		return readFailure(response)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Err: err}
	}
	took := time.Since(began)
	return Answer{Code: result.OK, Run: result.Ran, Body: string(data), First: took, Total: took}
}

// Meets reports whether the response met the targets of its class.
func (a Answer) Meets(c settings.ClassInfo) bool {
	if a.Code != result.OK || a.First > c.Terms.FirstToken || a.Total > c.Complete {
		return false
	}
	return c.Terms.BetweenTokens == 0 || Quantile(a.Gaps, 0.95) <= c.Terms.BetweenTokens
}

// Quantile returns the element at a share, from 0 to 1, of the sorted durations: the smallest for 0,
// the largest for 1. It returns 0 if there are none.
func Quantile(all []time.Duration, share float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	index := int(share * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)]
}
