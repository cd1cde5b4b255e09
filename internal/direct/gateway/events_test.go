package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"foxcross.dev/coord/completeness"
)

// readAllEvents returns the events of a stream, and what its last bytes are.
func readAllEvents(t *testing.T, r io.Reader) (events []string, rest string, tail completeness.Tail) {
	t.Helper()
	reader := newEventReader(r, &fixedMemory{left: 1 << 20})
	for {
		event, err := reader.next()
		if err == nil {
			events = append(events, string(event))
			continue
		}
		if !errors.Is(err, io.EOF) {
			t.Fatal(err)
		}
		return events, string(event), reader.tailOf(event)
	}
}

func TestEventsEndWithAnyLineEnd(t *testing.T) {
	for name, c := range map[string]struct {
		stream string
		events int
		tail   completeness.Tail
	}{
		"LF":                          {"id: 1\ndata: a\n\nid: 2\n\n", 2, completeness.BetweenEvents},
		"CR":                          {"id: 1\rdata: a\r\rid: 2\r\r", 2, completeness.BetweenEvents},
		"CRLF":                        {"id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", 2, completeness.BetweenEvents},
		"byte order mark":             {"\xef\xbb\xbfid: 1\n\n", 1, completeness.BetweenEvents},
		"only a byte order mark":      {"\xef\xbb\xbf", 0, completeness.NoEvent},
		"comments":                    {": a\n\nid: 1\n\n: b\n", 2, completeness.BetweenEvents},
		"only comments":               {": a\n\n: b\n\n", 2, completeness.NoEvent},
		"nothing":                     {"", 0, completeness.NoEvent},
		"cut in a line":               {"id: 1\n\nid: 2\nda", 1, completeness.InsideEvent},
		"cut after a line":            {"id: 1\n\nid: 2\n", 1, completeness.InsideEvent},
		"cut in a comment":            {"id: 1\n\n: b", 1, completeness.InsideEvent},
		"cut in the first event":      {"id: 1", 0, completeness.InsideEvent},
		"cut before the LF of a CRLF": {"id: 1\r\n\r", 1, completeness.BetweenEvents},
	} {
		t.Run(name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(c.stream), iotest.OneByteReader(strings.NewReader(c.stream))} {
				events, rest, tail := readAllEvents(t, r)
				if len(events) != c.events || tail != c.tail {
					t.Errorf("%d events and %v, want %d and %v", len(events), tail, c.events, c.tail)
				}
				if got := strings.Join(events, "") + rest; got != c.stream {
					t.Errorf("the bytes changed: %q", got)
				}
			}
		})
	}
}

func TestTooLongEventIsAnError(t *testing.T) {
	_, err := newEventReader(strings.NewReader("data: "+strings.Repeat("x", maxEventBytes)), &fixedMemory{left: 8 << 20}).next()
	if !errors.Is(err, errEventTooLong) {
		t.Errorf("error %v", err)
	}
}

// FuzzEventReader checks that no byte of a stream is lost or changed, and that a stream cut inside
// an event is never taken for one that ended between two.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\r\ndata: a\r\n\r\n: c\n\nid: 2\rdata\r\r", 9)
	f.Add("\xef\xbb\xbfid: 1\n\n", 4)
	f.Fuzz(func(t *testing.T, stream string, cut int) {
		if cut < 0 || cut > len(stream) || len(stream) > maxEventBytes {
			t.Skip()
		}
		stream = stream[:cut]
		events, rest, tail := readAllEvents(t, strings.NewReader(stream))
		if got := strings.Join(events, "") + rest; got != stream {
			t.Errorf("the bytes changed: %q", got)
		}
		if holdsField([]byte(rest)) && tail != completeness.InsideEvent {
			t.Errorf("%q counts as %v", rest, tail)
		}
	})
}

// fixedMemory is a fixed amount of memory for events.
type fixedMemory struct{ left, reserved int }

func (m *fixedMemory) Reserve(bytes int) error {
	if bytes > m.left {
		return io.ErrShortBuffer
	}
	m.left -= bytes
	m.reserved += bytes
	return nil
}

func (m *fixedMemory) ReleaseBody() {
	m.left += m.reserved
	m.reserved = 0
}

// TestEventWithoutEndIsBoundedByMemory guards against many streams at once that fill the memory of an entry.
func TestEventWithoutEndIsBoundedByMemory(t *testing.T) {
	const available = 64 << 10
	m := &fixedMemory{left: available}
	whole := "data: " + strings.Repeat("x", available/4) + "\n\n"
	source := strings.NewReader(strings.Repeat(whole, 3) + "data: " + strings.Repeat("x", 8*available))
	reader := newEventReader(source, m)
	for range 3 { // the memory of one event is used for the next one
		if event, err := reader.next(); err != nil || string(event) != whole {
			t.Fatalf("got an event of %d bytes, %v", len(event), err)
		}
	}
	if _, err := reader.next(); !errors.Is(err, io.ErrShortBuffer) {
		t.Errorf("got the error %v", err)
	}
	if read := 8*available - source.Len(); read > available {
		t.Errorf("%d bytes of the last event were read, of %d available", read, available)
	}
}
