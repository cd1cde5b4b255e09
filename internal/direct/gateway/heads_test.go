package gateway

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/driver"
)

// TestHeadMeter guards against bytes of a head that are not counted, and bytes of a body that are.
func TestHeadMeter(t *testing.T) {
	for name, c := range map[string]struct {
		data         string
		bytes, lines int
		ended        bool
	}{
		"whole":                 {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 27, 3, true},
		"with a body":           {"GET / HTTP/1.1\r\n\r\nbody\r\n\r\n", 18, 2, true},
		"bare line feeds":       {"GET / HTTP/1.1\n\n", 16, 2, true},
		"empty lines before it": {"\r\n\r\n\r\n", 6, 3, false},
		"without an end":        {"GET / HTTP/1.1\r\nA:\r\n", 20, 2, false},
		"in a line":             {"GET / HT", 8, 0, false},
	} {
		for size := 1; size <= len(c.data); size++ {
			var m headMeter
			for rest := c.data; rest != ""; rest = rest[min(size, len(rest)):] {
				m.read([]byte(rest[:min(size, len(rest))]))
			}
			if m.bytes != c.bytes || m.lines != c.lines || m.ended != c.ended {
				t.Errorf("%s, %d bytes at once: %+v", name, size, m)
			}
		}
	}
}

// TestHeadsOfAllConnectionsShareOneAccount guards against a limit for one connection that is none for all.
func TestHeadsOfAllConnectionsShareOneAccount(t *testing.T) {
	var m headMemory
	m.init(driver.Limits{MemoryBytes: 8 << 20})
	const head = 100 << 10
	holds := make([]headHold, 40)
	held := 0
	for n := range holds {
		holds[n].account = &m
		if holds[n].grow(head) {
			held++
		}
		if small := (headHold{account: &m}); !small.grow(freeHeadBytes) {
			t.Fatalf("an ordinary head finds no memory beside %d large ones", held)
		}
	}
	if held == 0 || held == len(holds) || m.reserved() > m.maxBytes {
		t.Errorf("%d of %d heads, %d bytes", held, len(holds), m.reserved())
	}
	for n := range holds {
		holds[n].release()
		holds[n].release()
	}
	if m.reserved() != 0 {
		t.Errorf("%d bytes are reserved after all have ended", m.reserved())
	}
}

// readHead sends bytes over a connection whose heads may have 100 bytes, and returns the response.
func readHead(t *testing.T, account *headMemory, sent string) *http.Response {
	t.Helper()
	server, caller := net.Pipe()
	c := &callerConn{Conn: server, inHeader: true, head: newTestHead(account)}
	go func() {
		buffer := make([]byte, 64)
		for {
			if _, err := c.Read(buffer); err != nil {
				_ = c.Close() // the server does so after an error
				return
			}
		}
	}()
	go func() { _, _ = caller.Write([]byte(sent)) }() // ends with the connection
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func newTestHead(account *headMemory) headReader {
	return headReader{limit: func() int { return 100 }, hold: headHold{account: account}, countRefused: func(*result.Error) {}}
}

// TestHeadOverLimitIsRefusedBeforeItsEnd guards against heads that are read to an end that never comes.
func TestHeadOverLimitIsRefusedBeforeItsEnd(t *testing.T) {
	for name, piece := range map[string]string{"lines": "A:\r\n", "one line": "x", "empty lines": "\r\n"} {
		response := readHead(t, nil, strings.Repeat(piece, 2*headerSlack/len(piece)))
		if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge || response.Header.Get("X-Foxcross-Run") != "not run" || !response.Close {
			t.Errorf("%s: %v", name, response)
		}
	}
}

// TestHeadWithoutMemoryIsRefusedAsNotRun guards against connections that close without a promise.
func TestHeadWithoutMemoryIsRefusedAsNotRun(t *testing.T) {
	account := &headMemory{maxBytes: 1}
	response := readHead(t, account, "GET / HTTP/1.1\r\n"+strings.Repeat("A:\r\n", 60)+"\r\n")
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || response.Header.Get("X-Foxcross-Run") != "not run" || !response.Close {
		t.Errorf("%v", response)
	}
}
