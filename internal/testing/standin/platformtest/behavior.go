package platformtest

import (
	"strings"
	"time"
)

// Behavior is the reaction of a runner to a request.
type Behavior interface{ behavior() }

// The behaviors of a runner.
type (
	// Answer sends a complete response with a length.
	Answer struct {
		Status int
		Body   string
	}
	// Refuse responds that the request is not run, with one Retry-After field for each value of
	// RetryAfter.
	Refuse struct {
		Status     int
		RetryAfter []string
	}
	// Fail responds with a failure that does not say that the request has not run.
	Fail struct {
		Status     int
		RetryAfter []string
	}
	// Delayed performs Then after a time.
	Delayed struct {
		By   time.Duration
		Then Behavior
	}
	// ResetConnection runs the request and resets the connection without a response.
	ResetConnection struct{}
	// Crash runs the request and ends the runner with all its connections when After is
	// closed, or at once if After is nil. Partial is the part of a response without a length that it
	// sends before, empty for none. The close of the connection looks like the end of that response.
	Crash struct {
		After   chan struct{}
		Partial string
	}
	// Truncate truncates the response within its body.
	Truncate struct{}
	// Unframed sends a response that ends when its connection is closed, by a reset if Broken. If
	// Interim, "100 Continue" precedes it.
	Unframed struct {
		Body    string
		Broken  bool
		Interim bool
	}
	// WrongResponseFirst sends a response to another request before the right one.
	WrongResponseFirst struct{}
	// ExtraResponse sends the right response and a second one after it.
	ExtraResponse struct{}
	// Garbage sends bytes that are no response.
	Garbage struct{}
	// Flood sends Start, in which %s is the id of the request, and then Piece until the caller closes the
	// connection.
	Flood struct{ Start, Piece string }
	// Stall sends Start, in which %s is the id of the request, and then that many bytes, and waits until
	// the caller closes the connection.
	Stall struct {
		Start string
		Bytes int
	}
	// Unsealed responds without the runner's seal.
	Unsealed struct{}
	// Hang runs the request and never responds.
	Hang struct{}
	// Early responds before it reads the body. Framing has the header lines that frame Body; both are
	// empty for a body without bytes. After Wait it ends the exchange.
	Early struct {
		Status  int
		Framing string
		Body    string
		Wait    time.Duration
		End     EarlyEnd
	}
	// Events streams events up to the id To, from the one after the caller's last event. If
	// Broken, it stops within the event after To. If Crash, the runner ends there. If Cut, it sends
	// the first bytes of that event and closes the connection in order.
	Events struct {
		To     int
		Broken bool
		Crash  bool
		Cut    string // first bytes of the event after To, with Unframed; empty for none
		// Unframed sends the events neither with a length nor in chunks, so that they end with the
		// connection.
		Unframed bool
		// CrashParts are the IDs of parts of prompts, other than the last one, on which the runner ends
		// when it is to write the first event.
		CrashParts []string
		Repeat     int           // number of events from the caller's last one on that it sends again
		Hold       chan struct{} // holds back the events after the first until it is closed, nil for no hold
		Pause      time.Duration // before each event
		Token      time.Duration // prefill time of a token of the prompt, before the first event
	}
	// ByPath performs Then for requests whose path has one of the prefixes, and Else for others.
	ByPath struct {
		Prefix []string
		Then   Behavior
		Else   Behavior
	}
)

// EarlyEnd is how a runner ends an exchange whose response it sent before it read the request's body.
type EarlyEnd uint8

// The ends.
const (
	ReadOn         EarlyEnd = iota // reads the body and keeps the connection
	ResetUnread                    // resets the connection
	CloseUnread                    // closes the connection, which resets it if bytes of the body have arrived
	HalfCloseRead                  // closes its own direction and reads the body
	HalfCloseReset                 // closes its own direction, and resets the connection after as long again
	HalfCloseStall                 // closes its own direction and reads nothing more
)

// String implements fmt.Stringer.
func (e EarlyEnd) String() string {
	return [...]string{"reads on", "resets", "closes", "half-closes and reads on", "half-closes and resets", "half-closes and stalls"}[e]
}

func (Answer) behavior()             {}
func (Refuse) behavior()             {}
func (Fail) behavior()               {}
func (Delayed) behavior()            {}
func (ResetConnection) behavior()    {}
func (Crash) behavior()              {}
func (Truncate) behavior()           {}
func (Unframed) behavior()           {}
func (WrongResponseFirst) behavior() {}
func (ExtraResponse) behavior()      {}
func (Garbage) behavior()            {}
func (Flood) behavior()              {}
func (Stall) behavior()              {}
func (Unsealed) behavior()           {}
func (Hang) behavior()               {}
func (Early) behavior()              {}
func (Events) behavior()             {}
func (ByPath) behavior()             {}

// choose returns the behavior for a path.
func (b ByPath) choose(path string) Behavior {
	chosen := b.Else
	for _, prefix := range b.Prefix {
		if strings.HasPrefix(path, prefix) {
			chosen = b.Then
			break
		}
	}
	if further, ok := chosen.(ByPath); ok {
		return further.choose(path)
	}
	return chosen
}
