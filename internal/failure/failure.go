// Package failure writes answers that carry a numbered code in place of an
// endpoint's answer.
package failure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"foxcross.dev/coord/result"
)

// Header fields of every answer of the system's own.
const (
	CodeField  = "X-Foxcross-Code"
	RunField   = "X-Foxcross-Run"
	retryField = "Retry-After"
)

// Body is the body of an answer that is not OK.
type Body struct {
	Error Detail `json:"error"`
}

// Detail says what went wrong and whether the request was run.
type Detail struct {
	Code         result.Code `json:"code"`
	Type         string      `json:"type"`
	Message      string      `json:"message"`
	Run          string      `json:"run"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

// BodyOf returns the body for a failure.
func BodyOf(f *result.Error) Body {
	e := f.Code.Entry()
	text := e.Text
	if f.Reason != "" {
		text = fmt.Sprintf("%s: %s", e.Text, f.Reason)
	}
	return Body{Detail{
		Code:         f.Code,
		Type:         e.Name,
		Message:      text,
		Run:          f.Run.String(),
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	}}
}

// Write answers with a code. Nothing may have been written before. The time to
// come back, empty for none, is in seconds as the caller's protocol wants them.
func Write(w http.ResponseWriter, f *result.Error, retryAfter string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	SetCode(h, f.Code, f.Run)
	if retryAfter != "" {
		h.Set(retryField, retryAfter)
	}
	w.WriteHeader(f.Code.Entry().Status)
	_ = json.NewEncoder(w).Encode(BodyOf(f)) // the caller may be gone
}

// SetCode sets the header fields of a code.
func SetCode(h http.Header, c result.Code, r result.Run) {
	h.Set(CodeField, strconv.Itoa(int(c)))
	h.Set(RunField, r.String())
}
