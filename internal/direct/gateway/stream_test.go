package gateway_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// eventIDs returns the IDs of the events in order.
func eventIDs(body string) []string {
	var ids []string
	for line := range strings.Lines(body) {
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return ids
}

func sequence(to int) []string {
	var all []string
	for n := 1; n <= to; n++ {
		all = append(all, fmt.Sprint(n))
	}
	return all
}

var _ = Describe("streams", func() {
	It("are relayed with all events in order", func() {
		h := newHarness(platformtest.Events{To: 20})
		a := h.do(h.request(http.MethodPost, "/chat/1", "x"))
		a.expectWhole(200)
		Expect(eventIDs(a.body)).To(Equal(sequence(20)))
		Expect(a.header.Get("Content-Type")).To(Equal("text/event-stream"))
	})

	It("are relayed event by event, before the next one arrives", func() {
		hold := make(chan struct{})
		h := newHarness(platformtest.Events{To: 2, Hold: hold})
		a, err := h.client.Do(h.request(http.MethodPost, "/chat/1", "x"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = a.Body.Close() }()
		line, err := bufio.NewReader(a.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("id: 1\n"))
		close(hold)
	})

	It("are resumed at another endpoint after the last complete event, if that is allowed", func() {
		h := newHarness(platformtest.Events{To: 30}, platformtest.Events{To: 30})
		platformtest.ShareScript(h.runners, platformtest.Events{To: 7, Broken: true}, platformtest.Events{To: 30})
		a := h.do(h.request(http.MethodPost, "/chat/1", "x"))
		a.expectWhole(200)
		Expect(eventIDs(a.body)).To(Equal(sequence(30)))
		first, second := h.runnersInOrder()
		Expect(first.Runs()[0].Header.Get(platformtest.LastEventField)).To(BeEmpty())
		Expect(second.Runs()[0].Header.Get(platformtest.LastEventField)).To(Equal("7"))
	})

	It("are truncated if they broke at all endpoints that the route allows", func() {
		h := newHarness(platformtest.Events{To: 30}, platformtest.Events{To: 30}, platformtest.Events{To: 30})
		platformtest.ShareScript(h.runners, platformtest.Events{To: 7, Broken: true}, platformtest.Events{To: 12, Broken: true})
		a := h.do(h.request(http.MethodPost, "/chat/1", "x"))
		a.expectTruncated()
		Expect(eventIDs(a.body)).To(Equal(sequence(12)))
		Expect(h.runs()).To(Equal(2))
	})

	It("have the header of the first endpoint after they are resumed", func() {
		h := newHarness(platformtest.Events{To: 30}, platformtest.Events{To: 30})
		platformtest.ShareScript(h.runners, platformtest.Events{To: 7, Broken: true}, platformtest.Events{To: 30})
		a := h.do(h.request(http.MethodPost, "/chat/1", "x"))
		a.expectWhole(200)
		first, _ := h.runnersInOrder()
		Expect(a.header.Get(platformtest.InstanceField)).To(Equal(first.ID))
	})

	It("are visibly truncated if they may not be resumed", func() {
		h := newHarness(platformtest.Events{To: 7, Broken: true}, platformtest.Events{To: 7, Broken: true})
		a := h.do(h.request(http.MethodPost, "/plan/1", "x"))
		a.expectTruncated()
		Expect(eventIDs(a.body)).To(Equal(sequence(7)))
		Expect(h.runs()).To(Equal(1))
	})
})
