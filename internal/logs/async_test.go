package logs_test

import (
	"strings"
	"testing"

	"foxcross.dev/foxcross/internal/logs"
)

// blockedWriter blocks until unblock is closed, then passes on its lines.
type blockedWriter struct {
	unblock chan struct{}
	lines   chan string
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.unblock
	s.lines <- string(line)
	return len(line), nil
}

func TestAsyncNeverBlocks(t *testing.T) {
	s := &blockedWriter{unblock: make(chan struct{}), lines: make(chan string, 10_000)}
	a := logs.NewAsync(s)
	const writes = 9000
	for range writes {
		if n, err := a.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("wrote %d: %v", n, err)
		}
	}
	close(s.unblock)
	got := 0
	for line := range s.lines {
		if strings.Contains(line, "were dropped") {
			break
		}
		got++
	}
	if got == 0 || got >= writes {
		t.Errorf("%d lines before the count of dropped lines", got)
	}
}
