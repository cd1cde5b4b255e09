// Package binding is the decision part of an entry: which agents a request is
// offered to, which one starts it, what is tried again, and what is refused.
// It does no I/O and starts no goroutine; clock and randomness are passed in.
// The caller serialises the calls and carries out the returned actions.
package binding

import (
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
)

// Action is something the caller has to do.
type Action interface{ action() }

// Send sends a control message to an agent.
type Send struct {
	Agent   string
	Message message.Message
}

// Start opens a stream to the agent and sends the body of the request. It is
// the only action after which the request may have been run.
type Start struct {
	Agent   string
	Request message.RequestID
	Attempt message.Attempt
}

// Cancel stops an attempt that was started.
type Cancel struct {
	Agent   string
	Request message.RequestID
	Attempt message.Attempt
}

// Finish gives the caller the final answer of a request.
type Finish struct {
	Request    message.RequestID
	Code       result.Code
	Run        result.Run
	RetryAfter time.Duration
	End        message.End // of the attempt that ended it, if one did
}

func (Send) action()   {}
func (Start) action()  {}
func (Cancel) action() {}
func (Finish) action() {}
