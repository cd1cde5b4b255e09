// Package memlink implements link.Dialer and link.Listener within one process, so that
// entries and agents can run in virtual time. It can cut connections, as a network
// does, and freeze names, as a paused process does.
package memlink

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/foxcross/internal/relay/link"
)

// streamBuffer is the number of messages that a stream buffers.
const streamBuffer = 256

// Network is a network within one process. The zero value is ready for use.
// Connections are lost in the same ways as in a real network.
type Network struct {
	Delay time.Duration // one way, for opening a connection and each message

	mu        sync.Mutex
	listeners map[string]*listener
	sessions  []*session
	frozen    map[string]chan struct{}
}

// Listen accepts connections to a name.
func (n *Network) Listen(address string) link.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{network: n, address: address, incoming: make(chan *session), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// From returns a dialer whose connections can be frozen and cut by its name.
func (n *Network) From(name string) link.Dialer { return dialer{n, name} }

type dialer struct {
	network *Network
	name    string
}

// Dial connects to the listener of a name.
func (d dialer) Dial(ctx context.Context, address string) (link.Session, error) {
	return d.network.dial(ctx, d.name, address)
}

func (n *Network) dial(ctx context.Context, from, address string) (link.Session, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("memlink: no listener on %s", address)
	}
	n.awaitThaw(from, ctx.Done())
	near, far := n.newPair(from, address)
	select {
	case l.incoming <- far:
	case <-l.closed:
		return nil, fmt.Errorf("link: %s is closed", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.sessions = append(n.sessions, near)
	n.mu.Unlock()
	return near, nil
}

// Cut closes all connections from and to a name.
func (n *Network) Cut(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.sessions {
		if s.address == address || s.from == address {
			s.Close()
		}
	}
}

// Freeze delays all messages to and from a name for a time, as if its process were
// paused. Connections are lost if that is longer than the idle timeout of QUIC.
func (n *Network) Freeze(address string, length time.Duration) {
	thawed := make(chan struct{})
	n.mu.Lock()
	if n.frozen == nil {
		n.frozen = map[string]chan struct{}{}
	}
	if n.frozen[address] != nil {
		n.mu.Unlock()
		return
	}
	n.frozen[address] = thawed
	n.mu.Unlock()
	time.Sleep(min(length, link.IdleTimeout))
	if length > link.IdleTimeout {
		n.Cut(address)
		time.Sleep(length - link.IdleTimeout)
	}
	n.mu.Lock()
	delete(n.frozen, address)
	n.mu.Unlock()
	close(thawed)
}

// awaitThaw waits until the name is not frozen or done is closed.
func (n *Network) awaitThaw(address string, done <-chan struct{}) {
	n.mu.Lock()
	thawed := n.frozen[address]
	n.mu.Unlock()
	if thawed == nil {
		return
	}
	select {
	case <-thawed:
	case <-done:
	}
}

type listener struct {
	network  *Network
	address  string
	incoming chan *session
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept(ctx context.Context) (link.Session, error) {
	select {
	case s := <-l.incoming:
		return s, nil
	case <-l.closed:
		return nil, io.EOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *listener) Address() string { return l.address }

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

type session struct {
	network *Network
	from    string // the name that dialled
	address string // the name that was dialled
	control *stream
	streams chan *stream // opened by the peer
	peer    *session
	done    chan struct{}
	once    *sync.Once
}

func (n *Network) newPair(from, address string) (near, far *session) {
	done := make(chan struct{})
	once := new(sync.Once)
	near = &session{network: n, from: from, address: address, done: done, once: once, streams: make(chan *stream, streamBuffer)}
	far = &session{network: n, from: from, address: address, done: done, once: once, streams: make(chan *stream, streamBuffer)}
	near.peer = far
	far.peer = near
	near.control, far.control = near.newStreams()
	return near, far
}

func (s *session) newStreams() (own, remote *stream) {
	outgoing := make(chan delivery, streamBuffer)
	incoming := make(chan delivery, streamBuffer)
	reset := make(chan struct{})
	once := new(sync.Once)
	own = &stream{session: s, in: incoming, out: outgoing, reset: reset, once: once}
	remote = &stream{session: s, in: outgoing, out: incoming, reset: reset, once: once}
	return own, remote
}

func (s *session) Control() link.Stream { return s.control }
func (s *session) RTT() time.Duration   { return 2 * s.network.Delay }

func (s *session) Done() <-chan struct{} { return s.done }
func (s *session) Close()                { s.once.Do(func() { close(s.done) }) }

func (s *session) Open(ctx context.Context) (link.Stream, error) {
	own, remote := s.newStreams()
	select {
	case s.peer.streams <- remote:
		return own, nil
	case <-s.done:
		return nil, io.ErrClosedPipe
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *session) Accept(ctx context.Context) (link.Stream, error) {
	select {
	case st := <-s.streams:
		return st, nil
	case <-s.done:
		return nil, io.ErrClosedPipe
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// delivery is a message and its time of arrival. A nil message is the end of the stream.
type delivery struct {
	message   message.Message
	arrivesAt time.Time
}

type stream struct {
	session *session
	in      <-chan delivery
	out     chan<- delivery
	reset   chan struct{}
	once    *sync.Once
}

func (s *stream) Send(m message.Message) error {
	select {
	case s.out <- delivery{m, time.Now().Add(s.session.network.Delay)}:
		return nil
	case <-s.reset:
		return io.ErrClosedPipe
	case <-s.session.done:
		return io.ErrClosedPipe
	}
}

func (s *stream) CloseSend() error { return s.Send(nil) }

func (s *stream) Receive() (message.Message, error) {
	select {
	case t := <-s.in:
		time.Sleep(time.Until(t.arrivesAt))
		s.session.network.awaitThaw(s.session.from, s.session.done)
		s.session.network.awaitThaw(s.session.address, s.session.done)
		if t.message == nil {
			return nil, io.EOF
		}
		return t.message, nil
	case <-s.reset:
		return nil, io.ErrUnexpectedEOF
	case <-s.session.done:
		return nil, io.ErrUnexpectedEOF
	}
}

func (s *stream) Reset() { s.once.Do(func() { close(s.reset) }) }
