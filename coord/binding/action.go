// Package binding implements the decisions of an entry: the agents to which a request is
// offered, the agent that starts it, retries, and refusals.
// It does no I/O and starts no goroutine; clock and randomness are passed in.
// The caller serialises the calls and executes the returned actions.
package binding

import (
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
)

// Action is an operation that the caller executes.
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

// Cancel stops a started attempt.
type Cancel struct {
	Agent   string
	Request message.RequestID
	Attempt message.Attempt
}

// Finish returns the final result of a request to the caller.
type Finish struct {
	Request    message.RequestID
	Code       result.Code
	Run        result.Execution
	RetryAfter time.Duration
	End        message.End // of the attempt that ended the request, if any
}

func (Send) action()   {}
func (Start) action()  {}
func (Cancel) action() {}
func (Finish) action() {}
