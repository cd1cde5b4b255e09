// Package failure writes error responses with a numbered code in place of an endpoint's
// response.
package failure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"foxcross.dev/coord/result"
)

// Header fields of responses that don't come from an endpoint.
const (
	CodeField  = "X-Foxcross-Code"
	RunField   = "X-Foxcross-Run"
	retryField = "Retry-After"
)

// Body is the JSON body of an error response.
type Body struct {
	Error Detail `json:"error"`
}

// Detail describes the error and says whether the request was run.
type Detail struct {
	Code         result.Code `json:"code"`
	Type         string      `json:"type"`
	Message      string      `json:"message"`
	Run          string      `json:"run"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

// BodyOf returns the body for an error.
func BodyOf(f *result.Error) Body {
	e := f.Code.Entry()
	message := e.Text
	if f.Reason != "" {
		message = fmt.Sprintf("%s: %s", e.Text, f.Reason)
	}
	return Body{Detail{
		Code:         f.Code,
		Type:         e.Name,
		Message:      message,
		Run:          f.Run.String(),
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	}}
}

// Write writes an error response. Nothing may have been written to w before. retryAfter
// is the value of the Retry-After header in seconds, in the format of the caller's
// protocol; empty for none.
func Write(w http.ResponseWriter, f *result.Error, retryAfter string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	SetCode(h, f.Code, f.Run)
	if retryAfter != "" {
		h.Set(retryField, retryAfter)
	}
	w.WriteHeader(f.Code.Entry().Status)
	_ = json.NewEncoder(w).Encode(BodyOf(f)) // the caller may have disconnected
}

// SetCode sets the header fields for a code.
func SetCode(h http.Header, c result.Code, r result.Execution) {
	h.Set(CodeField, strconv.Itoa(int(c)))
	h.Set(RunField, r.String())
}
