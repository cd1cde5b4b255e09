package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"foxcross.dev/coord/message"

	"github.com/quic-go/quic-go"
)

// IdleTimeout is how long a connection stays open without any packet from the peer, keep-alives
// included. It covers two lost keep-alives and a delayed one.
const IdleTimeout = 5 * time.Second

const (
	alpnProtocol = "foxcross/1" // for ALPN, the TLS negotiation of the application protocol
	// keepAlive is the time between two keep-alives of a connection without traffic.
	keepAlive = 2 * time.Second
	// handshakeTimeout bounds setting up a connection.
	handshakeTimeout = 3 * time.Second
	// maxStreams is the maximum number of open attempts from one entry at one agent.
	maxStreams = 1 << 14
	// Application error codes.
	closeNormal     = quic.ApplicationErrorCode(0)
	streamCancelled = quic.StreamErrorCode(1)
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       handshakeTimeout,
		MaxIdleTimeout:             IdleTimeout,
		KeepAlivePeriod:            keepAlive,
		MaxIncomingStreams:         maxStreams,
		MaxIncomingUniStreams:      -1,
		InitialStreamReceiveWindow: 64 << 10,
	}
}

func withProtocol(c *tls.Config) *tls.Config {
	own := c.Clone()
	own.NextProtos = []string{alpnProtocol}
	return own
}

// QUICListener accepts QUIC connections with mutual TLS.
type QUICListener struct {
	listener *quic.Listener
}

// ListenQUIC listens on a UDP address.
func ListenQUIC(address string, c *tls.Config) (*QUICListener, error) {
	l, err := quic.ListenAddr(address, withProtocol(c), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("link: listen on %s: %w", address, err)
	}
	return &QUICListener{l}, nil
}

// Accept returns the next connection with an open control stream.
func (l *QUICListener) Accept(ctx context.Context) (Session, error) {
	for {
		conn, err := l.listener.Accept(ctx)
		if err != nil {
			return nil, fmt.Errorf("link: accept: %w", err)
		}
		acceptCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		control, err := conn.AcceptStream(acceptCtx)
		cancel()
		if err != nil {
			_ = conn.CloseWithError(closeNormal, "no control stream") // the connection is discarded anyway
			continue
		}
		return &quicSession{conn: conn, control: newQUICStream(control)}, nil
	}
}

// Address returns the listener's local address.
func (l *QUICListener) Address() string { return l.listener.Addr().String() }

// Close stops listening. Open connections stay open.
func (l *QUICListener) Close() error { return l.listener.Close() }

// QUICDialer opens QUIC connections from one UDP socket.
type QUICDialer struct {
	transport *quic.Transport
	tls       *tls.Config
}

// NewQUICDialer returns a dialer with a new UDP socket.
func NewQUICDialer(c *tls.Config) (*QUICDialer, error) {
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, fmt.Errorf("link: socket: %w", err)
	}
	return &QUICDialer{transport: &quic.Transport{Conn: socket}, tls: withProtocol(c)}, nil
}

// Dial opens a connection and its control stream. The peer accepts the control stream
// when the first message arrives.
func (d *QUICDialer) Dial(ctx context.Context, address string) (Session, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("link: address %s: %w", address, err)
	}
	conn, err := d.transport.Dial(ctx, udpAddress, d.tls, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("link: dial %s: %w", address, err)
	}
	control, err := conn.OpenStreamSync(ctx)
	if err != nil {
		_ = conn.CloseWithError(closeNormal, "no control stream") // the connection is discarded anyway
		return nil, fmt.Errorf("link: control stream to %s: %w", address, err)
	}
	return &quicSession{conn: conn, control: newQUICStream(control)}, nil
}

// Close closes the dialer's socket and all its connections.
func (d *QUICDialer) Close() error {
	err := d.transport.Close()
	_ = d.transport.Conn.Close() // the transport no longer uses the socket
	return err
}

type quicSession struct {
	conn    *quic.Conn
	control *quicStream
}

func (s *quicSession) Control() Stream { return s.control }

func (s *quicSession) Open(ctx context.Context) (Stream, error) {
	st, err := s.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("link: open stream: %w", err)
	}
	return newQUICStream(st), nil
}

func (s *quicSession) Accept(ctx context.Context) (Stream, error) {
	st, err := s.conn.AcceptStream(ctx)
	if err != nil {
		return nil, fmt.Errorf("link: accept stream: %w", err)
	}
	return newQUICStream(st), nil
}

func (s *quicSession) RTT() time.Duration    { return s.conn.ConnectionStats().SmoothedRTT }
func (s *quicSession) Done() <-chan struct{} { return s.conn.Context().Done() }
func (s *quicSession) Close()                { _ = s.conn.CloseWithError(closeNormal, "") } // the connection may be closed already

type quicStream struct {
	stream  *quic.Stream
	decoder *decoder
	sendMu  sync.Mutex // serialises frames
}

func newQUICStream(s *quic.Stream) *quicStream {
	return &quicStream{stream: s, decoder: newDecoder(s)}
}

func (s *quicStream) Send(m message.Message) error {
	data, err := Encode(m)
	if err != nil {
		return err
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if _, err := s.stream.Write(data); err != nil {
		return fmt.Errorf("link: send %T: %w", m, err)
	}
	return nil
}

func (s *quicStream) Receive() (message.Message, error) { return s.decoder.next() }

func (s *quicStream) CloseSend() error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return s.stream.Close()
}

func (s *quicStream) Reset() {
	s.stream.CancelRead(streamCancelled)
	s.stream.CancelWrite(streamCancelled)
}
