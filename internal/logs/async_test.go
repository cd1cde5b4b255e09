package logs_test

import (
	"strings"
	"testing"

	"foxcross.dev/foxcross/internal/logs"
)

// stuck is a reader that stops until it is let go.
type stuck struct {
	free  chan struct{}
	lines chan string
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.free
	s.lines <- string(line)
	return len(line), nil
}

func TestAsyncNeverBlocks(t *testing.T) {
	s := &stuck{free: make(chan struct{}), lines: make(chan string, 10_000)}
	a := logs.NewAsync(s)
	const written = 9000
	for range written {
		if n, err := a.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("wrote %d: %v", n, err)
		}
	}
	close(s.free)
	got := 0
	for line := range s.lines {
		if strings.Contains(line, "left out") {
			break
		}
		got++
	}
	if got == 0 || got >= written {
		t.Errorf("%d lines before the count of those left out", got)
	}
}
