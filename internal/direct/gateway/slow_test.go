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

// Bodies of a caller that sends slowly, or reads slowly. A process of this memory holds a
// megabyte of them.
const (
	smallMemory   = 4 << 20
	maxBodyMemory = 1 << 20
	slowBody      = 300 << 10
)

// slowCaller is a connection to an entry that the test reads and writes itself.
type slowCaller struct {
	net.Conn
	responses *bufio.Reader
}

// connect opens such a connection. Little of what comes is taken off it unless it is read.
func (h *harness) connect() *slowCaller {
	GinkgoHelper()
	c, err := net.Dial("tcp", h.address)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
	DeferCleanup(func() { _ = c.Close() })
	return &slowCaller{Conn: c, responses: bufio.NewReader(c)}
}

// begin sends the head of a request and so many bytes of its body, in one chunk that does
// not end it.
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

// code returns the status and the code of the answer.
func (c *slowCaller) readCode() (int, string) {
	GinkgoHelper()
	Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	a, err := http.ReadResponse(c.responses, nil)
	Expect(err).NotTo(HaveOccurred())
	return a.StatusCode, a.Header.Get("X-Foxcross-Code")
}

var _ = Describe("callers that send slowly", func() {
	It("hold no more memory than there is room for, and give way to others", func() {
		h := newHarnessWithLimits(driver.Limits{MemoryBytes: smallMemory}, okResponse)
		var slow []*slowCaller
		for range 6 { // more than there is room for, and more than one caller may hold
			c := h.connect()
			c.startRequest(h, http.MethodPost, "/book/1", slowBody)
			slow = append(slow, c)
			Consistently(func() int64 { return gateway.HeldBodies(h.gateway) }, 50*time.Millisecond).Should(BeNumerically("<=", maxBodyMemory))
		}
		status, code := slow[5].readCode()
		Expect(status).To(Equal(503))
		Expect(code).To(HavePrefix("1207"))
		h.do(h.request(http.MethodPost, "/book/1", strings.Repeat("y", 100))).expectWhole(200)
		Expect(h.runs()).To(Equal(1))
	})

	It("are answered when the time of their request is over", func() {
		h := newHarness(okResponse)
		c := h.connect()
		c.startRequest(h, http.MethodPost, "/short/1", 100)
		status, code := c.readCode()
		Expect(status).To(Equal(408))
		Expect(code).To(HavePrefix("1111"))
		Expect(h.runs()).To(BeZero())
	})
})

var _ = Describe("a caller that does not read its answer", func() {
	It("is given up, and the endpoint's work with it", func() {
		h := newHarness(platformtest.Answer{Status: 200, Body: strings.Repeat("z", 8<<20)})
		c := h.connect()
		c.startRequest(h, http.MethodGet, "/page/1", 0)
		Eventually(h.runs).Should(Equal(1))
		Eventually(func() int { return h.gateway.Dump().Open }, 8*time.Second).Should(BeZero())
	})
})
