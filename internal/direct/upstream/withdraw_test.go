package upstream

import (
	"context"
	"errors"
	"net"
	"testing"
)

func TestWithdrawnRequestIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	read := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n, _ := c.Read(make([]byte, 1))
		read <- n
	}()
	var p Pool
	r := request(l.Addr().String())
	r.Withdrawn = func() bool { return true }
	if _, err := p.Do(context.Background(), names, r); !errors.Is(err, ErrWithdrawn) {
		t.Errorf("got %v", err)
	}
	if n := <-read; n != 0 {
		t.Error("data was sent")
	}
}

func TestWithdrawnRequestKeepsIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		for buffer := make([]byte, 4096); ; {
			if _, err := c.Read(buffer); err != nil {
				return
			}
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"))
		}
	}()
	address := l.Addr().String()
	var p Pool
	a, err := p.Do(context.Background(), names, request(address))
	if err != nil {
		t.Fatal(err)
	}
	a.Drain()
	r := request(address)
	r.Withdrawn = func() bool { return true }
	if _, err := p.Do(context.Background(), names, r); !errors.Is(err, ErrWithdrawn) {
		t.Errorf("got %v", err)
	}
	if len(p.idle[r.Endpoint]) != 1 {
		t.Error("the idle connection was not kept")
	}
}
