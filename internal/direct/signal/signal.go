// Package signal reads what the head of a response says of the endpoint that sent it, apart from
// the request: typed signals, in one place for every send. docs/design/endpoint-signals.md lists
// all fields and statuses that a response may carry, and who reads each.
//
// A response of 421 comes from another endpoint and says nothing. Nothing here keeps state.
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

// retryAfter is the field of RFC 9110, 10.2.3. Only its form in seconds is read, with fractions.
const retryAfter = "Retry-After"

// drains is the only value of the sign of draining.
const drains = "1"

// Signal is what a response says of its endpoint.
type Signal interface{ signal() }

type (
	// RateLimit is the advertised rate limit, in requests a second from all entries together; 0 in
	// a success that advertises none.
	RateLimit struct{ PerSecond float64 }
	// Backoff is the delay in which this entry is to send the endpoint nothing.
	Backoff struct{ Delay time.Duration }
	// Draining is that the endpoint drains.
	Draining struct{}
	// Invalid is a field that can't be applied.
	Invalid struct {
		Field, Value string
		Err          error
	}
	// Unread is a field that looks like a signal and is none that is known.
	Unread struct{ Field string }
)

func (RateLimit) signal() {}
func (Backoff) signal()   {}
func (Draining) signal()  {}
func (Invalid) signal()   {}
func (Unread) signal()    {}

// Why a field can't be applied.
var (
	errNumber   = errors.New("not one decimal number that is not negative")
	errTooLong  = errors.New("a longer delay than is valid")
	errStatus   = errors.New("only a 503 asks for a backoff")
	errDraining = errors.New("not the value that stands for draining")
)

// Parse returns the signals of a response.
func Parse(f driver.Fields, status int, h http.Header) []Signal {
	if status == http.StatusMisdirectedRequest {
		return nil
	}
	var all []Signal
	if s := rateLimit(f, status, h); s != nil {
		all = append(all, s)
	}
	if s := backoff(status, h); s != nil {
		all = append(all, s)
	}
	if s := draining(f, h); s != nil {
		all = append(all, s)
	}
	return append(all, unread(f, h)...)
}

// rateLimit returns what is said of a rate limit; nil for nothing. That none is advertised counts
// only in a success of the endpoint's own.
func rateLimit(f driver.Fields, status int, h http.Header) Signal {
	values := h.Values(f.Limit)
	if len(values) == 0 {
		if status/100 == 2 && h.Get(f.Seal) != "" {
			return RateLimit{}
		}
		return nil
	}
	limit, err := number(values)
	if err != nil {
		return invalid(f.Limit, values, err)
	}
	return RateLimit{PerSecond: max(limit, eligibility.MinLimit)}
}

// backoff returns what is said of a backoff; nil for nothing.
func backoff(status int, h http.Header) Signal {
	values := h.Values(retryAfter)
	if len(values) == 0 {
		return nil
	}
	if status != http.StatusServiceUnavailable {
		return invalid(retryAfter, values, errStatus)
	}
	seconds, err := number(values)
	switch {
	case err != nil:
		return invalid(retryAfter, values, err)
	case seconds > eligibility.MaxBackoff.Seconds():
		return invalid(retryAfter, values, errTooLong)
	default:
		return Backoff{Delay: time.Duration(seconds * float64(time.Second))}
	}
}

// draining returns what is said of draining; nil for nothing.
func draining(f driver.Fields, h http.Header) Signal {
	values := h.Values(f.Draining)
	switch {
	case len(values) == 0:
		return nil
	case len(values) == 1 && strings.TrimSpace(values[0]) == drains:
		return Draining{}
	default:
		return invalid(f.Draining, values, errDraining)
	}
}

// unread returns the fields that begin as the platform's signals do and are none that is known.
func unread(f driver.Fields, h http.Header) []Signal {
	if f.SignalPrefix == "" {
		return nil
	}
	var all []Signal
	for name := range h {
		if strings.HasPrefix(name, f.SignalPrefix) && name != f.Limit && name != f.Draining {
			all = append(all, Unread{Field: name})
		}
	}
	return all
}

// number returns the one decimal number that a field holds.
func number(values []string) (float64, error) {
	v, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || len(values) > 1 || !(v >= 0) || math.IsInf(v, 0) {
		return 0, errNumber
	}
	return v, nil
}

func invalid(field string, values []string, err error) Invalid {
	return Invalid{Field: field, Value: Logged(values), Err: err}
}

// maxLogged bounds what is logged of a field, in bytes.
const maxLogged = 32

// Logged returns a field as it stands in the response, cut to what is logged.
func Logged(values []string) string {
	text := strings.Join(values, ", ")
	return text[:min(len(text), maxLogged)]
}

// LoggedRetryAfter returns the Retry-After of a response as it is logged.
func LoggedRetryAfter(h http.Header) string { return Logged(h.Values(retryAfter)) }
