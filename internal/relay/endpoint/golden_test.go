package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"

	"foxcross.dev/coord/message"
	"foxcross.dev/foxcross/internal/relay/endpoint"
	"foxcross.dev/foxcross/internal/testing/golden"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sentBy returns the bytes of the request that a driver of a kind sends.
func sentBy(kind string, c endpoint.Call) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	sent := make(chan string, 1)
	go func() {
		defer close(sent)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		q, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		data, err := httputil.DumpRequest(q, true)
		if err != nil {
			return
		}
		sent <- string(data)
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}()
	driverAt(kind, "http://"+l.Addr().String()).Run(context.Background(), c, &sink{})
	return strings.ReplaceAll(<-sent, l.Addr().String(), "endpoint")
}

var _ = Describe("the request of a driver", func() {
	It("matches the recorded request", func() {
		chat := endpoint.Call{Target: "m", Terms: message.Terms{Tier: 2}, Start: message.Start{Body: []byte(body)}}
		resumed := chat
		resumed.Start.SentText, resumed.Start.SentTokens = "so far ", 2
		service := endpoint.Call{Target: "service:app", Start: message.Start{
			Method: http.MethodPost, Path: "/bookings/1?x=y", Header: []message.Field{{Name: "X-Own", Value: "kept"}}, Body: []byte("the body"),
		}}
		repeatable := service
		repeatable.Terms.Repeatable = true
		var got strings.Builder
		for _, c := range []struct {
			name, kind string
			call       endpoint.Call
		}{{"chat", "openai", chat}, {"chat continued", "openai", resumed}, {"call", "http", service}, {"repeatable call", "http", repeatable}} {
			fmt.Fprintf(&got, "== %s\n%s\n", c.name, sentBy(c.kind, c.call))
		}
		golden.Compare(GinkgoT(), "requests.golden", got.String())
	})
})
