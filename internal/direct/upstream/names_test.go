package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"foxcross.dev/coord/completeness"
)

// fieldLine is a line of a head and what the entry does with a response that has it.
type fieldLine struct {
	line    string
	refused bool
}

// fieldLines are lines whose names parsers read in different ways, and sound ones.
func fieldLines() map[string]fieldLine {
	lines := map[string]fieldLine{
		"blank before the colon":     {"X-More : 1", true},
		"tab before the colon":       {"X-More\t: 1", true},
		"blank inside":               {"X More: 1", true},
		"above 0x7f":                 {"X-M\xf6re: 1", true},
		"no colon":                   {"X-More", true},
		"length, blank":              {"Content-Length : 2", true},
		"length, tab":                {"Content-Length\t: 2", true},
		"chunked, blank":             {"Transfer-Encoding : chunked", true},
		"not run, blank":             {"X-Not-Run : 1", true},
		"retry after, blank":         {"Retry-After : 1", true},
		"limit, blank":               {"Server-Limit : 1", true},
		"draining, blank":            {"Server-Leaving : 1", true},
		"id of another, blank":       {"X-Id : other", true},
		"token of all kinds":         {"X-!#$%&'*+-.^_`|~9: 1", false},
		"empty name":                 {": 1", true},
		"blank in a value":           {"X-More: a b", false},
		"folded":                     {"X-More: a\r\n b", false},
		"connection and blank value": {"X-More:", false},
	}
	for c := range 0x20 {
		if c != '\n' {
			lines[fmt.Sprintf("control byte %#x", c)] = fieldLine{"X-M" + string([]byte{byte(c)}) + "re: 1", true}
		}
	}
	lines["control byte 0x7f"] = fieldLine{"X-M\x7fre: 1", true}
	return lines
}

// TestInvalidFieldNames guards against responses whose body is not the one that their endpoint sent.
func TestInvalidFieldNames(t *testing.T) {
	for name, l := range fieldLines() {
		for place, data := range map[string]string{
			"first":   "HTTP/1.1 200 OK\r\n%s\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok",
			"last":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n%s\r\n\r\nok",
			"alone":   "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n%s\r\n\r\nok",
			"interim": "HTTP/1.1 103 Early Hints\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok",
			"error":   "HTTP/1.1 500 Failed\r\nX-Id: a\r\nContent-Length: 2\r\n%s\r\n\r\nok",
		} {
			t.Run(name+", "+place, func(t *testing.T) {
				var p Pool
				response, err := p.Do(t.Context(), names, request(respondWith(t, fmt.Appendf(nil, data, l.line))))
				if l.refused {
					if !errors.Is(err, ErrInvalidResponse) {
						t.Errorf("got the response %+v, error %v", response, err)
					}
					if len(p.idle) != 0 {
						t.Error("the connection is kept")
					}
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				if body, err := io.ReadAll(response.Body); err != nil || string(body) != "ok" {
					t.Errorf("body %q, %v", body, err)
				}
				response.Close()
			})
		}
	}
}

// TestLeadingBlankInHead covers lines that a parser may take for a continuation.
func TestLeadingBlankInHead(t *testing.T) {
	for data, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\n X-More: 1\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok":                      false,
		"HTTP/1.1 200 OK\r\n\tContent-Length: 2\r\nX-Id: a\r\n\r\nok":                                  false,
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-More: 1\r\n Content-Length: 9\r\nContent-Length: 2\r\n\r\nok": true,
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n 2\r\n\r\nok":                              false,
	} {
		var p Pool
		response, err := p.Do(t.Context(), names, request(respondWith(t, []byte(data))))
		switch {
		case err == nil != want:
			t.Errorf("%q: %v", data, err)
		case err == nil:
			if body, err := io.ReadAll(response.Body); err != nil || string(body) != "ok" {
				t.Errorf("%q: body %q, %v", data, body, err)
			}
			response.Close()
		}
	}
}

// TestInvalidNamesInTrailersAreDropped checks that trailers change neither the body nor the header.
func TestInvalidNamesInTrailersAreDropped(t *testing.T) {
	for name, l := range fieldLines() {
		var p Pool
		data := "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\nTrailer: X-More\r\n\r\n2\r\nok\r\n0\r\n" + l.line + "\r\n\r\n"
		response, err := p.Do(t.Context(), names, request(respondWith(t, []byte(data))))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		body, err := io.ReadAll(response.Body)
		if err == nil && string(body) != "ok" || !strings.HasPrefix("ok", string(body)) {
			t.Errorf("%s: body %q, %v", name, body, err)
		}
		for field := range response.Header {
			if field != "X-Id" && field != "Trailer" {
				t.Errorf("%s: the header has %q", name, field)
			}
		}
		response.Close()
	}
}

// TestFramingThatParsersReadDifferently checks what the standard parser accepts beside lengths and chunks.
func TestFramingThatParsersReadDifferently(t *testing.T) {
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	for data, want := range map[string]string{ // the body, empty for a refused response
		"HTTP/1.0 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks:                      "",
		"HTTP/1.0 200 OK\r\nX-Id: a\r\ntransfer-encoding: chunked\r\nContent-Length: 2\r\n\r\n" + chunks: "",
		"HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 0\r\n\r\nHTTP/1.0 200 OK\r\nX-Id: a\r\n\r\nok":    "",
		"HTTP/1.0 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok":                                      "ok",
		"HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\nok":                                                           "ok",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks: "ok",
		"HTTP/1.1 200 OK\nX-Id: a\nContent-Length: 2\n\nok":                                              "ok",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok":                 "ok",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok":                 "",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: +2\r\n\r\nok":                                     "",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: -2\r\n\r\nok":                                     "",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2, 2\r\n\r\nok":                                   "",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + chunks:                "",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\nok\r\n0\r\n\r\n":          "ok",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n +2\r\nok\r\n0\r\n\r\n":         "",
	} {
		var p Pool
		got := ""
		response, err := p.Do(t.Context(), names, request(respondWith(t, []byte(data))))
		if err == nil {
			body, readErr := io.ReadAll(response.Body)
			got, err = string(body), readErr
			response.Close()
		}
		if (err == nil) != (want != "") || err == nil && got != want {
			t.Errorf("%q: body %q, %v", data, got, err)
		}
	}
}

// BenchmarkHead compares reading a head with the check of its names.
func BenchmarkHead(b *testing.B) {
	for name, fields := range map[string]int{"0.5 KiB": 10, "16 KiB": 330} {
		var head strings.Builder
		head.WriteString("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n")
		for n := range fields {
			fmt.Fprintf(&head, "X-Field-Name-%03d: a value that has 30 bytes...\r\n", n)
		}
		head.WriteString("\r\n")
		source := strings.NewReader("")
		c := newConn(&endlessConn{reader: source}, bufferHold{buffers: &Buffers{}})
		b.Run(name+", read", func(b *testing.B) {
			for b.Loop() {
				source.Reset(head.String())
				c.beginExchange(0)
				if _, err := c.readHead(http.MethodGet); err != nil {
					b.Fatal(err)
				}
			}
		})
		source.Reset(head.String())
		response, err := http.ReadResponse(bufio.NewReader(source), nil)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(name+", check names", func(b *testing.B) {
			for b.Loop() {
				if _, found := completeness.InvalidName(response.Header); found {
					b.Fatal("a name is invalid")
				}
			}
		})
	}
}
