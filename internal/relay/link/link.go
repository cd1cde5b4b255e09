// Package link transports messages between entries and agents. A connection has one control
// stream, and one stream for each attempt. Processes use QUIC; tests in virtual time use
// internal/testing/memlink.
package link

import (
	"context"
	"time"

	"foxcross.dev/coord/message"
)

// Stream transports the messages of one attempt in order.
type Stream interface {
	// Send blocks while the peer does not read.
	Send(message.Message) error
	Receive() (message.Message, error)
	// CloseSend ends the sending direction.
	CloseSend() error
	// Reset aborts both directions immediately.
	Reset()
}

// Session is a connection.
type Session interface {
	// Control returns the stream of control messages.
	Control() Stream
	Open(context.Context) (Stream, error)
	Accept(context.Context) (Stream, error)
	// RTT returns the round-trip time, or 0 while it is unknown.
	RTT() time.Duration
	// Done returns a channel that is closed when the connection is closed.
	Done() <-chan struct{}
	Close()
}

// Listener accepts connections.
type Listener interface {
	Accept(context.Context) (Session, error)
	Address() string
	Close() error
}

// Dialer opens connections by address.
type Dialer interface {
	Dial(ctx context.Context, address string) (Session, error)
}
