// Package link carries messages between entries and agents: one connection
// with a control stream, and one stream per attempt. Processes use QUIC; tests in
// virtual time use internal/testing/memlink.
package link

import (
	"context"
	"time"

	"foxcross.dev/coord/message"
)

// Stream carries the messages of one attempt, in order.
type Stream interface {
	// Send blocks while the peer does not read.
	Send(message.Message) error
	Receive() (message.Message, error)
	// CloseSend says that nothing more is sent.
	CloseSend() error
	// Reset ends both directions at once.
	Reset()
}

// Session is one connection.
type Session interface {
	// Control is the stream of control messages.
	Control() Stream
	Open(context.Context) (Stream, error)
	Accept(context.Context) (Stream, error)
	// Trip is the round trip time, or 0 while unknown.
	Trip() time.Duration
	// Done is closed when the connection is gone.
	Done() <-chan struct{}
	Close()
}

// Listener takes connections.
type Listener interface {
	Accept(context.Context) (Session, error)
	Address() string
	Close() error
}

// Dialer opens connections by address.
type Dialer interface {
	Dial(ctx context.Context, address string) (Session, error)
}
