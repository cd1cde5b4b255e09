package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/gateway"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Sizes in bytes for the tests of slow callers. A process with smallMemory reserves at most
// maxBodyMemory for bodies.
const (
	smallMemory   = 4 << 20
	maxBodyMemory = 1 << 20
	slowBody      = 300 << 10
)

// slowCaller is a connection to an entry that the test reads and writes directly.
type slowCaller struct {
	net.Conn
	responses *bufio.Reader
}

// connect opens a connection with a small receive buffer, so that little of a response is accepted
// unless the test reads it.
func (h *harness) connect() *slowCaller {
	GinkgoHelper()
	c, err := net.Dial("tcp", h.address)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
	DeferCleanup(func() { _ = c.Close() })
	return &slowCaller{Conn: c, responses: bufio.NewReader(c)}
}

// startRequest sends the header of a request and that many bytes of its body, in one chunk that is
// not the last.
func (c *slowCaller) startRequest(h *harness, method, target string, bytes int) {
	GinkgoHelper()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: id-%d\r\n%s: 15000\r\n%s: %s\r\n",
		method, target, routeHost, platformtest.RequestIDField, h.ids.Add(1), platformtest.DeadlineField, platformtest.KeyField, teamKey)
	if bytes > 0 {
		head += "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", bytes) + strings.Repeat("x", bytes) + "\r\n"
	} else {
		head += "\r\n"
	}
	_, err := io.WriteString(c, head)
	Expect(err).NotTo(HaveOccurred())
}

// readCode returns the status and the code of the response.
func (c *slowCaller) readCode() (int, string) {
	GinkgoHelper()
	Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	a, err := http.ReadResponse(c.responses, nil)
	Expect(err).NotTo(HaveOccurred())
	return a.StatusCode, a.Header.Get("X-Foxcross-Code")
}

var _ = Describe("callers that send slowly", func() {
	It("do not exceed the memory for bodies, and are evicted for others", func() {
		h := newHarnessWithLimits(driver.Limits{MemoryBytes: smallMemory}, okResponse)
		var slow []*slowCaller
		for range 6 { // exceeds the memory for bodies, and the limit of one caller
			c := h.connect()
			c.startRequest(h, http.MethodPost, "/book/1", slowBody)
			slow = append(slow, c)
			Consistently(func() int64 { return gateway.ReservedBodyBytes(h.gateway) }, 50*time.Millisecond).Should(BeNumerically("<=", maxBodyMemory))
		}
		status, code := slow[5].readCode()
		Expect(status).To(Equal(503))
		Expect(code).To(HavePrefix("1207"))
		h.do(h.request(http.MethodPost, "/book/1", strings.Repeat("y", 100))).expectWhole(200)
		Expect(h.runs()).To(Equal(1))
	})

	It("are answered when their request's deadline passes", func() {
		h := newHarness(okResponse)
		c := h.connect()
		c.startRequest(h, http.MethodPost, "/short/1", 100)
		status, code := c.readCode()
		Expect(status).To(Equal(408))
		Expect(code).To(HavePrefix("1111"))
		Expect(h.runs()).To(BeZero())
	})
})

var _ = Describe("a caller that does not read its response", func() {
	It("is disconnected, and the endpoint's work is cancelled", func() {
		h := newHarness(platformtest.Answer{Status: 200, Body: strings.Repeat("z", 8<<20)})
		c := h.connect()
		c.startRequest(h, http.MethodGet, "/page/1", 0)
		Eventually(h.runs).Should(Equal(1))
		Eventually(func() int { return h.gateway.Dump().OpenRequests }, 8*time.Second).Should(BeZero())
	})
})
