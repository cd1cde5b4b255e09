// Package dispatch implements the decisions of an agent: one queue per target
// for the local endpoints, learned limits, held slots, preemption and the
// graceful shutdown. It does no I/O and starts no goroutine; the clock is passed in.
// The caller serialises the calls and executes the returned actions.
package dispatch

import (
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/queue"
	"foxcross.dev/coord/result"
)

// Action is an operation that the caller executes.
type Action interface{ action() }

// Reply sends a control message to the owner of an offer.
type Reply struct {
	Owner   uint64
	Message message.Message
}

// Run starts work on an endpoint. The caller must call Ended exactly once for
// the work, also after a Stop.
type Run struct {
	Key      queue.Key
	Endpoint string
	Terms    message.Terms
	Target   string
	Start    message.Start
}

// Stop cancels running work on its endpoint. The same actions hold a Finish for
// the owner, unless the owner is lost.
type Stop struct {
	Key      queue.Key
	Endpoint string
	Code     result.Code
}

// Finish sends the end of an attempt on the attempt's stream. Later chunks of
// the attempt must not be sent.
type Finish struct {
	Key queue.Key
	End message.End
}

func (Reply) action()  {}
func (Run) action()    {}
func (Stop) action()   {}
func (Finish) action() {}
