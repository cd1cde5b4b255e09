package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketState returns how many sent bytes the other end has not acknowledged, and whether the connection
// has failed. It takes the failure from the socket: no later call gets it. A connection that is no socket
// has neither.
func socketState(c net.Conn) (unacknowledged int, failed bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, true
	}
	var queueErr, optionErr error
	code := 0
	err = raw.Control(func(fd uintptr) {
		// A failure empties the queue, so it is read second.
		unacknowledged, queueErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		code, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	return unacknowledged, err != nil || queueErr != nil || optionErr != nil || code != 0
}
