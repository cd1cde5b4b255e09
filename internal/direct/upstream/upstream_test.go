package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

var names = HeaderNames{RequestID: "X-Id", NotRun: "X-Not-Run"}

// respondWith writes data on each connection after a request arrives. It returns the address.
func respondWith(t testing.TB, data []byte) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 4096)); err == nil {
					_, _ = c.Write(data)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func request(address string) *Request {
	return &Request{Endpoint: "e", Address: address, Method: "GET", Target: "/", Host: "h", ID: "a",
		Header: http.Header{"X-Id": {"a"}}}
}

func TestDoUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	var p Pool
	if _, err := p.Do(context.Background(), names, request(address)); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v", err)
	}
}

// TestLargeSkippedResponseIsNotReadAsTheNext guards against bytes of a body that are taken for a response.
func TestLargeSkippedResponseIsNotReadAsTheNext(t *testing.T) {
	planted := "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 6\r\n\r\nplanted"
	body := strings.Repeat("x", maxMismatchedBody) + planted
	skipped := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	c := newConn(newEndlessConn(skipped, "x"), bufferHold{buffers: &Buffers{}})
	if response, err := c.receive(names, request("")); !errors.Is(err, ErrInvalidResponse) {
		t.Errorf("got the response %v, error %v", response, err)
	}
}

// TestRefusalOfAnotherRequestIsSkipped guards against a request that runs twice after a surplus response.
func TestRefusalOfAnotherRequestIsSkipped(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"421 Misdirected Request", "503 Service Unavailable", "429 Too Many Requests", "200 OK"} {
		for _, more := range []string{"", "X-Not-Run: 1\r\n"} {
			surplus := "HTTP/1.1 " + status + "\r\nX-Id: before\r\n" + more + "Content-Length: 0\r\n\r\n"
			response, err := newConn(newEndlessConn(surplus+own, "x"), bufferHold{buffers: &Buffers{}}).receive(names, request(""))
			if err != nil || response.Status != http.StatusOK || response.Header.Get("X-Id") != "a" {
				t.Errorf("%s %q: got %v, %v", status, more, response, err)
			}
		}
	}
}

// TestConnectionOfRefusalWithoutIDIsNotReused guards against a late copy that answers the next request.
func TestConnectionOfRefusalWithoutIDIsNotReused(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var p Pool
	for range 2 {
		response, err := p.Do(t.Context(), names, request(respondWith(t, []byte(refusal))))
		if err != nil {
			t.Fatal(err)
		}
		response.Drain()
	}
	if c := p.popIdle("e"); c != nil {
		t.Error("the connection is kept for the next request")
	}
}

// TestRefusalWithoutIDIsAccepted guards against waiting for another response to a request that was not run.
func TestRefusalWithoutIDIsAccepted(t *testing.T) {
	for refusal, want := range map[string]int{
		"421 Misdirected Request\r\n":             http.StatusMisdirectedRequest,
		"503 Service Unavailable\r\nX-Not-Run: 1": http.StatusServiceUnavailable,
		"503 Service Unavailable\r\n":             0,
	} {
		data := "HTTP/1.1 " + strings.TrimSuffix(refusal, "\r\n") + "\r\nContent-Length: 0\r\n\r\n"
		response, err := newConn(newEndlessConn(data, "x"), bufferHold{buffers: &Buffers{}}).receive(names, request(""))
		got := 0
		if err == nil {
			got = response.Status
		}
		if got != want {
			t.Errorf("%q: got status %d, %v", refusal, got, err)
		}
	}
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address := respondWith(t, []byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"))
	var p Pool
	for range 3 {
		a, err := p.Do(context.Background(), names, request(address))
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(a.Body); err != nil || string(body) != "ok" {
			t.Fatalf("read %q: %v", body, err)
		}
		a.Finish()
		c := p.popIdle("e")
		for c.openWithoutData() { // the server closes it after the response
			time.Sleep(time.Millisecond)
		}
		p.putIdle("e", c)
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	now := time.Now()
	for field, want := range map[string]time.Duration{
		"":                     defaultIdleTimeout,
		"timeout=10":           6 * time.Second,
		"max=5, timeout=5":     3 * time.Second,
		"timeout=0":            0,
		"timeout=no, timeout=": defaultIdleTimeout,
	} {
		c := &conn{}
		c.setUsableUntil(now, http.Header{"Keep-Alive": {field}})
		if got := c.usableUntil.Sub(now); got != want {
			t.Errorf("%q: %v, want %v", field, got, want)
		}
	}
}

func TestSweep(t *testing.T) {
	var p Pool
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	c := newConn(local, bufferHold{buffers: &Buffers{}})
	c.usableUntil = time.Now().Add(time.Second)
	p.putIdle("e", c)
	p.sweep(time.Now())
	if len(p.idle["e"]) != 1 {
		t.Error("a usable connection was closed")
	}
	p.sweep(time.Now().Add(time.Minute))
	if len(p.idle) != 0 {
		t.Error("an expired connection was kept")
	}
}

// FuzzResponse reads arbitrary bytes as a response: a response with another ID is never accepted,
// nor a body shorter or longer than its framing says.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"))
	f.Add([]byte("HTTP/1.1 421 No\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		local, remote := net.Pipe()
		defer func() { _ = local.Close() }()
		go func() {
			_, _ = remote.Write(data) // the reader may stop early
			_ = remote.Close()
		}()
		a, err := newConn(local, bufferHold{buffers: &Buffers{}}).receive(names, request(""))
		if err != nil {
			return
		}
		id := a.Header.Get("X-Id")
		refused := a.Header.Get("X-Not-Run") != "" || a.Status == http.StatusMisdirectedRequest
		if id != "a" && (id != "" || !refused) {
			t.Fatalf("accepted a response with ID %q", id)
		}
		body, err := io.ReadAll(a.Body)
		if err == nil && a.Length >= 0 && int64(len(body)) != a.Length {
			t.Errorf("a body of %d bytes counts as complete, want %d", len(body), a.Length)
		}
	})
}
