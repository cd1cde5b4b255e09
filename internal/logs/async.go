package logs

import (
	"fmt"
	"io"
	"sync/atomic"
)

// maxPendingLines bounds the lines that wait for a slow reader of the log. They take some half a
// megabyte.
const maxPendingLines = 2048

// Async is a writer that never blocks. It drops and counts lines beyond its bound.
// Create it with NewAsync.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsync returns a writer that writes lines to w in a separate goroutine.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, maxPendingLines)}
	go a.run(w)
	return a
}

// Write implements io.Writer. Each call must pass whole lines.
func (a *Async) Write(line []byte) (int, error) {
	lineCopy := make([]byte, len(line))
	copy(lineCopy, line)
	select {
	case a.lines <- lineCopy:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *Async) run(w io.Writer) {
	for line := range a.lines {
		_, _ = w.Write(line) // a write error can't be reported
		if n := a.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w, "{\"message\":\"logs: Lines were dropped.\",\"lines\":%d}\n", n) // a write error can't be reported
		}
	}
}
