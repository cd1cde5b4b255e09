package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"foxcross.dev/coord/completeness"
)

// endlessConn is a connection whose other end sends a prefix and then repeats a piece, up to floodBytes.
type endlessConn struct {
	net.Conn
	reader io.Reader
	read   int
}

// repeated reads a piece again and again.
type repeated struct {
	piece string
	next  int
}

func (r *repeated) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.piece[r.next]
		r.next = (r.next + 1) % len(r.piece)
	}
	return len(p), nil
}

// floodBytes bounds what a test reads if nothing else does.
const floodBytes = 16 << 20

func newEndlessConn(prefix, piece string) *endlessConn {
	rest := io.LimitReader(&repeated{piece: piece}, floodBytes)
	return &endlessConn{reader: io.MultiReader(strings.NewReader(prefix), rest)}
}

func (c *endlessConn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.read += n
	return n, err
}

func (c *endlessConn) Close() error { return nil }

func (c *endlessConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *endlessConn) SetDeadline(time.Time) error { return nil }

// TestHeadWithoutEndIsBounded guards against an entry that runs out of memory while it reads a response.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	for name, flood := range map[string]struct{ prefix, piece string }{
		"status line":         {"", "x"},
		"reason":              {"HTTP/1.1 200 ", "x"},
		"field line":          {"HTTP/1.1 200 OK\r\nX-Id: ", "x"},
		"folded field":        {"HTTP/1.1 200 OK\r\nX-Id: a", "\r\n x"},
		"many fields":         {"HTTP/1.1 200 OK\r\n", "A:\r\n"},
		"interim responses":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"responses to others": {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: b\r\nX-More: " + strings.Repeat("x", 30<<10) + "\r\n\r\n"},
		"blank lines":         {"HTTP/1.1 200 OK\r\nX-Id: a", "\n \n"},
	} {
		t.Run(name, func(t *testing.T) {
			source := newEndlessConn(flood.prefix, flood.piece)
			c := newConn(source, bufferHold{buffers: &Buffers{}})
			if _, err := c.receive(names, request("")); !errors.Is(err, ErrInvalidResponse) {
				t.Errorf("got the error %.200v", err)
			} else if len(err.Error()) > 8*maxExcerptBytes {
				t.Errorf("the error has %d bytes", len(err.Error()))
			}
			if most := maxHeadBytes + headSize(request("")) + readBufferSize; source.read > most {
				t.Errorf("%d bytes were read, more than %d", source.read, most)
			}
		})
	}
}

// TestLargeHeadsAtOnceAreBounded guards against many responses that are allowed each, but not together.
func TestLargeHeadsAtOnceAreBounded(t *testing.T) {
	const connections, memoryLimit = 2000, 144 << 20
	b := &Buffers{}
	b.SetMemoryLimit(memoryLimit)
	large := "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-More: " + strings.Repeat("x", 60<<10) + "\r\nContent-Length: 1\r\n\r\n"
	accepted := 0
	for range connections {
		c := newConn(newEndlessConn(large, "x"), bufferHold{buffers: b, endpoint: "faulty"})
		_, err := c.receive(names, request(""))
		switch {
		case err == nil:
			accepted++
		case errors.Is(err, ErrInvalidResponse):
			c.close()
		default:
			t.Fatal(err)
		}
	}
	if most := memoryLimit / bufferDivisor / endpointDivisor / (60<<10 - readBufferSize); accepted == 0 || accepted > most {
		t.Errorf("%d large heads of one endpoint are kept at once, of at most %d", accepted, most)
	}
	c := newConn(newEndlessConn(large, "x"), bufferHold{buffers: b, endpoint: "sound"})
	if _, err := c.receive(names, request("")); err != nil {
		t.Errorf("the response of another endpoint: %v", err)
	}
	c.close()
	if left := b.Reserved(); left > memoryLimit/bufferDivisor/endpointDivisor {
		t.Errorf("%d bytes stay reserved", left)
	}
}

// TestHeadMayRepeatTheRequest guards against refusing the response to a request with a large head.
func TestHeadMayRepeatTheRequest(t *testing.T) {
	r := request("")
	r.ID = strings.Repeat("i", 200<<10)
	r.Header.Set("X-Id", r.ID)
	c := newConn(newEndlessConn("HTTP/1.1 200 OK\r\nX-Id: "+r.ID+"\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok", "\n"), bufferHold{buffers: &Buffers{}})
	response, err := c.receive(names, r)
	if err != nil {
		t.Fatalf("%.200v", err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
}

// TestOversizedErrorShowsEscapedStart guards against logs that an endpoint can fill or forge.
func TestOversizedErrorShowsEscapedStart(t *testing.T) {
	c := newConn(newEndlessConn("\x1b[2J", "\"xx"), bufferHold{buffers: &Buffers{}})
	_, err := c.receive(names, request(""))
	var oversized *OversizedError
	if !errors.As(err, &oversized) {
		t.Fatalf("got the error %.200v", err)
	}
	if text := oversized.Error(); len(text) > 6*maxExcerptBytes || !strings.Contains(text, `\x1b[2J\"xx`) {
		t.Errorf("the text is %.500s", text)
	}
}

// FuzzHead compares limited heads with net/http's own reading of them, in any pieces.
func FuzzHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\nX-Id: a\n\n\n\n",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\n \r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 103 x\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\r\n\r\n", "\r\n\r\n", "HTTP/1.1 700 x\r\n\r\n", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nT: 1\r\n\r\n",
	} {
		f.Add([]byte(head), false)
		f.Add([]byte(head), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, inPieces bool) {
		var source io.Reader = bytes.NewReader(data)
		if inPieces {
			source = iotest.OneByteReader(source)
		}
		b := &Buffers{}
		c := newConn(&endlessConn{reader: source}, bufferHold{buffers: b})
		c.beginExchange(0)
		got, err := c.readHead(http.MethodGet)
		if c.head.size > maxHeadBytes && err == nil {
			t.Errorf("a head of %d bytes was accepted", c.head.size)
		}
		if over := (*OversizedError)(nil); errors.As(err, &over) {
			return
		}
		want, wantErr := readFinal(data)
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("got the error %v, want %v", err, wantErr)
		}
		if err != nil {
			return
		}
		gotBody, gotErr := io.ReadAll(got.Body)
		wantBody, wantBodyErr := io.ReadAll(want.Body)
		if fmt.Sprint(got.Header, gotErr) != fmt.Sprint(want.Header, wantBodyErr) || !bytes.Equal(gotBody, wantBody) {
			t.Errorf("got %v %q %v, want %v %q %v", got.Header, gotBody, gotErr, want.Header, wantBody, wantBodyErr)
		}
		c.close()
		if b.Reserved() != 0 {
			t.Errorf("%d bytes stay reserved", b.Reserved())
		}
	})
}

// readFinal returns the first final response, as net/http reads it. Names that are no tokens and statuses
// that are none are errors.
func readFinal(data []byte) (*http.Response, error) {
	reader := bufio.NewReaderSize(bytes.NewReader(data), readBufferSize)
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return nil, err
		}
		if name, found := completeness.InvalidName(response.Header); found {
			return nil, fmt.Errorf("invalid name %q", name)
		}
		switch completeness.KindOfStatus(response.StatusCode) {
		case completeness.FinalStatus:
			return response, nil
		case completeness.InvalidStatus:
			return nil, fmt.Errorf("invalid status %d", response.StatusCode)
		}
	}
}
