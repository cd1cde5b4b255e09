package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"foxcross.dev/coord/result"
)

// Header fields of every answer.
const (
	codeField = "X-Foxcross-Code"
	runField  = "X-Foxcross-Run"
)

var errNoHello = errors.New("entry: the agent did not say hello")

// Failure is the body of an answer that is not OK.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail says what went wrong and whether the request was run.
type FailureDetail struct {
	Code         result.Code `json:"code"`
	Type         string      `json:"type"`
	Message      string      `json:"message"`
	Run          string      `json:"run"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

func failureOf(f *result.Error) Failure {
	e := f.Code.Entry()
	text := e.Text
	if f.Reason != "" {
		text = fmt.Sprintf("%s: %s", e.Text, f.Reason)
	}
	return Failure{FailureDetail{
		Code:         f.Code,
		Type:         e.Name,
		Message:      text,
		Run:          f.Run.String(),
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	}}
}

// writeFailure answers with a code. Nothing may have been written before.
func writeFailure(w http.ResponseWriter, f *result.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	setCode(h, f.Code, f.Run)
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds(f.RetryAfter)))
	}
	w.WriteHeader(f.Code.Entry().Status)
	_ = json.NewEncoder(w).Encode(failureOf(f)) // the caller may be gone
}

func setCode(h http.Header, c result.Code, r result.Run) {
	h.Set(codeField, strconv.Itoa(int(c)))
	h.Set(runField, r.String())
}

func seconds(d time.Duration) int { return max(1, int(math.Ceil(d.Seconds()))) }

func (f finished) failure() *result.Error {
	return &result.Error{Code: f.Code, Run: f.Run, Reason: f.End.Reason, RetryAfter: f.RetryAfter}
}
