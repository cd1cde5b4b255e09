// Package thinlink simulates a link of low bandwidth: a relay of TCP connections on this
// machine that forwards the bytes of all connections together, in both directions, at a
// given rate.
package thinlink

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// chunkBytes is the number of bytes that are forwarded at once. It is about one Ethernet frame,
// so that small messages pass between large ones.
const chunkBytes = 1500

// Link is the relay. Create it with New.
type Link struct {
	listener net.Listener
	target   string
	perByte  time.Duration

	mu          sync.Mutex
	freeAt      time.Time // when all scheduled bytes will have been forwarded
	connections map[net.Conn]bool
	closed      bool
}

// New opens a link to the target with a rate in bytes a second.
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
	_ = l.listener.Close() // no caller uses the error
	for c := range l.connections {
		_ = c.Close() // no caller uses the error
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
			_ = near.Close() // like a target that refuses connections
			continue
		}
		if !l.track(near, far) {
			return
		}
		go l.forward(near, far)
		go l.forward(far, near)
	}
}

// track adds connections to those that Close closes. If the link is closed, it closes them
// and returns false.
func (l *Link) track(all ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range all {
		if l.closed {
			_ = c.Close() // no caller uses the error
			continue
		}
		l.connections[c] = true
	}
	return !l.closed
}

// forward copies bytes at the link's rate until one end is closed.
func (l *Link) forward(to, from net.Conn) {
	defer func() { _ = to.Close() }()   // ends the other direction
	defer func() { _ = from.Close() }() // ends the other direction
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Until(l.schedule(n)))
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

// schedule reserves the link for n bytes and returns the time at which it has forwarded them.
func (l *Link) schedule(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n) * l.perByte)
	return l.freeAt
}
