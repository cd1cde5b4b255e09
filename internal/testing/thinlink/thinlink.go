// Package thinlink stands in for a machine's link of small bandwidth: a relay of TCP
// connections on this machine whose bytes, in both directions and of all connections
// together, pass at a given rate.
package thinlink

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// chunk is how many bytes pass at once: about one Ethernet frame, so that small
// messages find their way between large ones.
const chunk = 1500

// Link is the relay. Create it with New.
type Link struct {
	listener net.Listener
	target   string
	perByte  time.Duration

	mu          sync.Mutex
	free        time.Time // when the link has carried all that was given to it
	connections map[net.Conn]bool
	closed      bool
}

// New opens a link to the target of so many bytes a second.
func New(target string, bytesPerSecond int) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("thinlink: %w", err)
	}
	l := &Link{
		listener:    listener,
		target:      target,
		perByte:     time.Second / time.Duration(bytesPerSecond),
		connections: map[net.Conn]bool{},
	}
	go l.serve()
	return l, nil
}

// Address returns the address at which the target is reached over the link.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close ends the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.listener.Close() // nobody is told
	for c := range l.connections {
		_ = c.Close() // nobody is told
	}
}

func (l *Link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close() // as the target's machine would
			continue
		}
		if !l.keep(near, far) {
			return
		}
		go l.carry(near, far)
		go l.carry(far, near)
	}
}

// keep remembers connections; it closes them if the link is closed.
func (l *Link) keep(all ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range all {
		if l.closed {
			_ = c.Close() // nobody is told
			continue
		}
		l.connections[c] = true
	}
	return !l.closed
}

// carry passes bytes on at the link's rate until one end is closed.
func (l *Link) carry(to, from net.Conn) {
	defer func() { _ = to.Close() }()   // the other direction ends, too
	defer func() { _ = from.Close() }() // the other direction ends, too
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Until(l.take(n)))
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

// take gives bytes to the link and returns when it has carried them.
func (l *Link) take(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * l.perByte)
	return l.free
}
