// Package signal parses what the header of a response says about the endpoint itself rather than
// about the request. It returns typed signals, in one place for all attempts.
// docs/design/endpoint-signals.md lists all fields and statuses that a response may carry, and
// which code reads each.
//
// A response with status 421 comes from another endpoint and yields no signals. The package keeps
// no state.
package signal

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/foxcross/internal/direct/driver"
)

// retryAfter is the field of RFC 9110, section 10.2.3. Only the form in seconds is read; fractions
// are allowed.
const retryAfter = "Retry-After"

// drainingValue is the only valid value of the draining field.
const drainingValue = "1"

// Signal is a statement of a response about its endpoint.
type Signal interface{ signal() }

type (
	// RateLimit is the advertised rate limit, in requests per second from all entries together; 0
	// for a successful response that advertises none.
	RateLimit struct{ PerSecond float64 }
	// Backoff is the delay during which this entry must not send requests to the endpoint.
	Backoff struct{ Delay time.Duration }
	// Draining means that the endpoint is draining.
	Draining struct{}
	// Invalid is a field with a value that can't be applied.
	Invalid struct {
		Field, Value string
		Err          error
	}
	// Unknown is an unknown field that has the prefix of signals.
	Unknown struct{ Field string }
)

func (RateLimit) signal() {}
func (Backoff) signal()   {}
func (Draining) signal()  {}
func (Invalid) signal()   {}
func (Unknown) signal()   {}

// Reasons why a field can't be applied.
var (
	errNotNumber     = errors.New("want a single non-negative decimal number")
	errDelayTooLong  = errors.New("delay exceeds the maximum")
	errStatus        = errors.New("backoff is valid only in a 503 response")
	errDrainingValue = errors.New("value does not mean draining")
)

// Parse returns the signals of a response.
func Parse(f driver.HeaderFields, status int, h http.Header) []Signal {
	if status == http.StatusMisdirectedRequest {
		return nil
	}
	var signals []Signal
	if s := rateLimit(f, status, h); s != nil {
		signals = append(signals, s)
	}
	if s := backoff(status, h); s != nil {
		signals = append(signals, s)
	}
	if s := draining(f, h); s != nil {
		signals = append(signals, s)
	}
	return append(signals, unknownSignals(f, h)...)
}

// rateLimit returns the signal about the rate limit, or nil. A missing field means that there is no
// limit only in a successful response with the endpoint's seal.
func rateLimit(f driver.HeaderFields, status int, h http.Header) Signal {
	values := h.Values(f.Limit)
	if len(values) == 0 {
		if status/100 == 2 && h.Get(f.Seal) != "" {
			return RateLimit{}
		}
		return nil
	}
	limit, err := parseNumber(values)
	if err != nil {
		return invalid(f.Limit, values, err)
	}
	return RateLimit{PerSecond: max(limit, eligibility.MinLimit)}
}

// backoff returns the signal about a backoff, or nil.
func backoff(status int, h http.Header) Signal {
	values := h.Values(retryAfter)
	if len(values) == 0 {
		return nil
	}
	if status != http.StatusServiceUnavailable {
		return invalid(retryAfter, values, errStatus)
	}
	seconds, err := parseNumber(values)
	switch {
	case err != nil:
		return invalid(retryAfter, values, err)
	case seconds > eligibility.MaxBackoff.Seconds():
		return invalid(retryAfter, values, errDelayTooLong)
	default:
		return Backoff{Delay: time.Duration(seconds * float64(time.Second))}
	}
}

// draining returns the signal about draining, or nil.
func draining(f driver.HeaderFields, h http.Header) Signal {
	values := h.Values(f.Draining)
	switch {
	case len(values) == 0:
		return nil
	case len(values) == 1 && strings.TrimSpace(values[0]) == drainingValue:
		return Draining{}
	default:
		return invalid(f.Draining, values, errDrainingValue)
	}
}

// unknownSignals returns the unknown fields that have the platform's prefix of signals.
func unknownSignals(f driver.HeaderFields, h http.Header) []Signal {
	if f.SignalPrefix == "" {
		return nil
	}
	var signals []Signal
	for name := range h {
		if strings.HasPrefix(name, f.SignalPrefix) && name != f.Limit && name != f.Draining {
			signals = append(signals, Unknown{Field: name})
		}
	}
	return signals
}

// parseNumber returns the value of a field that holds a single non-negative decimal number.
func parseNumber(values []string) (float64, error) {
	v, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || len(values) > 1 || !(v >= 0) || math.IsInf(v, 0) {
		return 0, errNotNumber
	}
	return v, nil
}

func invalid(field string, values []string, err error) Invalid {
	return Invalid{Field: field, Value: Logged(values), Err: err}
}

// maxLogged bounds the logged text of a field, in bytes.
const maxLogged = 32

// Logged returns the values of a field as received, truncated for the log.
func Logged(values []string) string {
	text := strings.Join(values, ", ")
	return text[:min(len(text), maxLogged)]
}

// LoggedRetryAfter returns the Retry-After field of a response, truncated for the log.
func LoggedRetryAfter(h http.Header) string { return Logged(h.Values(retryAfter)) }
