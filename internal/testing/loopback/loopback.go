// Package loopback has addresses at which stand-ins and entries of a test listen.
//
// Each process has a loopback address of its own. At an address that processes share, another one may
// get a port between the choice of it and the listening, or right after an endpoint has crashed.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// shared is the address of systems that have only one.
const shared = "127.0.0.1"

// Host returns the loopback address of this process.
var Host = sync.OnceValue(func() string {
	id := os.Getpid()
	own := fmt.Sprintf("127.%d.%d.%d", id>>16&0x7f, id>>8&0xff, id&0xff)
	l, err := net.Listen("tcp", net.JoinHostPort(own, "0"))
	if err != nil {
		return shared
	}
	_ = l.Close() // only tried
	return own
})

// maxTries bounds the search for a port. A process that has used up most ports gets one again.
const maxTries = 64

var (
	usedMu sync.Mutex
	used   = map[string]bool{} // addresses that Listen has returned
)

// Listen listens at the address of this process, on a port that it has not returned before: who still
// connects to an endpoint that has ended must not reach another one.
func Listen() (net.Listener, error) {
	usedMu.Lock()
	defer usedMu.Unlock()
	var occupied []net.Listener // until a new port is found
	defer func() {
		for _, l := range occupied {
			_ = l.Close() // nobody knows it
		}
	}()
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(Host(), "0"))
		if err != nil {
			return nil, err
		}
		if address := l.Addr().String(); !used[address] || len(occupied) == maxTries {
			used[address] = true
			return l, nil
		}
		occupied = append(occupied, l)
	}
}

// FreeAddress returns an address with a port at which nothing listens.
func FreeAddress() (string, error) {
	l, err := Listen()
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
