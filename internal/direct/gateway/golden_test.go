package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"regexp"
	"strings"
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/gateway"
	"foxcross.dev/foxcross/internal/testing/golden"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// deadlineLeft matches the only value in the header of a request that depends on the clock.
var deadlineLeft = regexp.MustCompile(platformtest.DeadlineField + `: \d+`)

// recorder is an endpoint that records the bytes of each request and answers the first request of a
// stream with half of it.
type recorder struct {
	listener net.Listener
	received chan string
}

func newRecorder(received chan string) *recorder {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &recorder{listener: l, received: received}
	DeferCleanup(l.Close)
	go r.run()
	return r
}

func (r *recorder) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *recorder) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	var raw strings.Builder
	reader := bufio.NewReader(&recordingConn{c, &raw})
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := httputil.DumpRequest(q, true); err != nil { // reads the body
			return
		}
		r.received <- deadlineLeft.ReplaceAllString(raw.String(), platformtest.DeadlineField+": N")
		raw.Reset()
		head := "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n"
		id := q.Header.Get(platformtest.RequestIDField)
		if strings.HasPrefix(q.URL.Path, "/chat/") && q.Header.Get(platformtest.LastEventField) == "" {
			_, _ = fmt.Fprintf(c, head+"Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: a\n\n\r\n", platformtest.RequestIDField, id, platformtest.SealField)
			time.Sleep(50 * time.Millisecond) // the event has to arrive before the connection is closed
			return
		}
		_, _ = fmt.Fprintf(c, head+"Content-Length: 0\r\n\r\n", platformtest.RequestIDField, id, platformtest.SealField)
	}
}

// recordingConn records what is read from a connection.
type recordingConn struct {
	net.Conn
	received *strings.Builder
}

func (c *recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Write(b[:n])
	return n, err
}

var _ = Describe("bytes on the wire", func() {
	It("are the recorded requests to an endpoint", func() {
		h := newHarness()
		received := make(chan string, 8)
		for n, r := range []*recorder{newRecorder(received), newRecorder(received)} {
			h.store.Put(fmt.Sprintf("servers/i-%d", n+1), map[string]any{
				"backend": service, "address": r.listener.Addr().String(), "zone": "zone-1", "slots": 8, "state": "ready",
			})
		}
		Eventually(func() int { return len(h.gateway.Dump().Endpoints) }, "10s").Should(Equal(2))
		var got strings.Builder
		next := func() {
			got.WriteString(strings.ReplaceAll(<-received, "i-2", "i-1") + "\n----\n")
		}
		post := h.request(http.MethodPost, "/book/a%2Fb/../c?page=3&sort=new", "the body")
		post.Header.Set("X-Own", "kept")
		post.Header.Set("User-Agent", "caller")
		post.Header.Set("Connection", "X-Hop")
		post.Header.Set("X-Hop", "dropped")
		h.do(post).expectWhole(200)
		next()
		get := h.request(http.MethodGet, "/open/page", "")
		get.Header.Set("User-Agent", "caller")
		h.do(get).expectWhole(200)
		next()
		chat := h.request(http.MethodPost, "/chat/x", "question")
		chat.Header.Set("User-Agent", "caller")
		chat.Header.Set("X-Token-Usage", "120,40")
		chat.Header.Set("X-Prefix-Hash", "00ab:100,00cd:20")
		h.do(chat).expectWhole(200)
		next()
		next()
		golden.Compare(GinkgoT(), "endpoint_requests.golden", got.String())
	})

	It("are the recorded response for each code", func() {
		var got strings.Builder
		for _, e := range result.Table {
			for _, f := range []*result.Error{
				{Code: e.Code, Run: result.NotRun, Reason: "why", RetryAfter: 1234 * time.Millisecond},
				{Code: e.Code, Run: result.Unknown},
			} {
				w := httptest.NewRecorder()
				gateway.WriteFailure(w, f)
				response, err := httputil.DumpResponse(w.Result(), true)
				Expect(err).NotTo(HaveOccurred())
				fmt.Fprintf(&got, "%s\n----\n", response)
			}
		}
		golden.Compare(GinkgoT(), "answers.golden", got.String())
	})
})
