package link

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"foxcross.dev/coord/message"
)

// memoryWindow is how many messages a stream in memory holds.
const memoryWindow = 256

// Memory is a network within one process. Its zero value is ready. Cutting it
// loses connections in the ways a real network does.
type Memory struct {
	Delay time.Duration // one way, for opening a connection and each message

	mu        sync.Mutex
	listeners map[string]*memoryListener
	sessions  []*memorySession
	frozen    map[string]chan struct{}
}

// Listen takes connections to a name.
func (n *Memory) Listen(address string) Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*memoryListener{}
	}
	l := &memoryListener{network: n, address: address, incoming: make(chan *memorySession), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// From returns a dialer whose connections bear its name, so that they can be
// frozen and cut by it.
func (n *Memory) From(name string) Dialer { return memoryDialer{n, name} }

type memoryDialer struct {
	network *Memory
	name    string
}

// Dial connects to a name that is listened on.
func (d memoryDialer) Dial(ctx context.Context, address string) (Session, error) {
	return d.network.dial(ctx, d.name, address)
}

func (n *Memory) dial(ctx context.Context, from, address string) (Session, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("link: nobody listens on %s", address)
	}
	n.pass(from, ctx.Done())
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

// Cut ends all connections from and to a name.
func (n *Memory) Cut(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.sessions {
		if s.address == address || s.from == address {
			s.Close()
		}
	}
}

// Freeze holds up all messages to and from a name for a time, as when its
// process is paused. Connections are lost if that is longer than a QUIC
// connection may be idle.
func (n *Memory) Freeze(address string, length time.Duration) {
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
	time.Sleep(min(length, idleTimeout))
	if length > idleTimeout {
		n.Cut(address)
		time.Sleep(length - idleTimeout)
	}
	n.mu.Lock()
	delete(n.frozen, address)
	n.mu.Unlock()
	close(thawed)
}

// pass waits until the name is not frozen.
func (n *Memory) pass(address string, done <-chan struct{}) {
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

type memoryListener struct {
	network  *Memory
	address  string
	incoming chan *memorySession
	closed   chan struct{}
	once     sync.Once
}

func (l *memoryListener) Accept(ctx context.Context) (Session, error) {
	select {
	case s := <-l.incoming:
		return s, nil
	case <-l.closed:
		return nil, io.EOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memoryListener) Address() string { return l.address }

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

type memorySession struct {
	network *Memory
	from    string // the name that dialled
	address string // the name that was dialled
	control *memoryStream
	streams chan *memoryStream // opened by the peer
	peer    *memorySession
	done    chan struct{}
	once    *sync.Once
}

func (n *Memory) newPair(from, address string) (near, far *memorySession) {
	done := make(chan struct{})
	once := new(sync.Once)
	near = &memorySession{network: n, from: from, address: address, done: done, once: once, streams: make(chan *memoryStream, memoryWindow)}
	far = &memorySession{network: n, from: from, address: address, done: done, once: once, streams: make(chan *memoryStream, memoryWindow)}
	near.peer = far
	far.peer = near
	near.control, far.control = near.pair()
	return near, far
}

func (s *memorySession) pair() (own, other *memoryStream) {
	there := make(chan timed, memoryWindow)
	back := make(chan timed, memoryWindow)
	reset := make(chan struct{})
	once := new(sync.Once)
	own = &memoryStream{session: s, in: back, out: there, reset: reset, once: once}
	other = &memoryStream{session: s, in: there, out: back, reset: reset, once: once}
	return own, other
}

func (s *memorySession) Control() Stream                { return s.control }
func (s *memorySession) Trip() time.Duration            { return 2 * s.network.Delay }
func (s *memorySession) Bytes() (sent, received uint64) { return 0, 0 }

func (s *memorySession) Done() <-chan struct{} { return s.done }
func (s *memorySession) Close()                { s.once.Do(func() { close(s.done) }) }

func (s *memorySession) Open(ctx context.Context) (Stream, error) {
	own, other := s.pair()
	select {
	case s.peer.streams <- other:
		return own, nil
	case <-s.done:
		return nil, io.ErrClosedPipe
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *memorySession) Accept(ctx context.Context) (Stream, error) {
	select {
	case st := <-s.streams:
		return st, nil
	case <-s.done:
		return nil, io.ErrClosedPipe
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// timed is a message and the time at which it arrives. Nil is the end.
type timed struct {
	message message.Message
	at      time.Time
}

type memoryStream struct {
	session *memorySession
	in      <-chan timed
	out     chan<- timed
	reset   chan struct{}
	once    *sync.Once
}

func (s *memoryStream) Send(m message.Message) error {
	select {
	case s.out <- timed{m, time.Now().Add(s.session.network.Delay)}:
		return nil
	case <-s.reset:
		return io.ErrClosedPipe
	case <-s.session.done:
		return io.ErrClosedPipe
	}
}

func (s *memoryStream) CloseSend() error { return s.Send(nil) }

func (s *memoryStream) Receive() (message.Message, error) {
	select {
	case t := <-s.in:
		time.Sleep(time.Until(t.at))
		s.session.network.pass(s.session.from, s.session.done)
		s.session.network.pass(s.session.address, s.session.done)
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

func (s *memoryStream) Reset() { s.once.Do(func() { close(s.reset) }) }
