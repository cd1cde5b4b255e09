package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
)

// TestCrashIsSeenAfterOwnPause guards against a crash that counts nothing as this process stood still.
func TestCrashIsSeenAfterOwnPause(t *testing.T) {
	connectionRefused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	timedOut := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	for name, c := range map[string]struct {
		results []error
		want    bool
	}{
		"refused":              {[]error{connectionRefused}, true},
		"timeout, refused":     {[]error{timedOut, connectionRefused}, true},
		"two timeouts":         {[]error{timedOut, timedOut, connectionRefused}, false},
		"timeout, accepted":    {[]error{timedOut, nil}, false},
		"accepted":             {[]error{nil}, false},
		"no route to the host": {[]error{syscall.EHOSTUNREACH}, false},
	} {
		dials := 0
		got := refused(func(context.Context) error {
			dials++
			return c.results[dials-1]
		})
		if got != c.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}
