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

// eventIDs returns the ids of the events in order.
func eventIDs(body string) []string {
	var ids []string
	for line := range strings.Lines(body) {
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return ids
}

func numbers(to int) []string {
	var all []string
	for n := 1; n <= to; n++ {
		all = append(all, fmt.Sprint(n))
	}
	return all
}

var _ = Describe("streams", func() {
	It("pass all events on in order", func() {
		w := start(platformtest.Events{To: 20})
		a := w.do(w.request(http.MethodPost, "/chat/1", "x"))
		a.whole(200)
		Expect(eventIDs(a.body)).To(Equal(numbers(20)))
		Expect(a.header.Get("Content-Type")).To(Equal("text/event-stream"))
	})

	It("pass an event on before the next one comes", func() {
		hold := make(chan struct{})
		w := start(platformtest.Events{To: 2, Hold: hold})
		a, err := w.client.Do(w.request(http.MethodPost, "/chat/1", "x"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = a.Body.Close() }()
		line, err := bufio.NewReader(a.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("id: 1\n"))
		close(hold)
	})

	It("go on at another endpoint after the last whole event, where that is allowed", func() {
		w := start(platformtest.Events{To: 30}, platformtest.Events{To: 30})
		platformtest.InTurn(w.runners, platformtest.Events{To: 7, Broken: true}, platformtest.Events{To: 30})
		a := w.do(w.request(http.MethodPost, "/chat/1", "x"))
		a.whole(200)
		Expect(eventIDs(a.body)).To(Equal(numbers(30)))
		first, second := w.inOrder()
		Expect(first.Runs()[0].Header.Get(platformtest.LastEventField)).To(BeEmpty())
		Expect(second.Runs()[0].Header.Get(platformtest.LastEventField)).To(Equal("7"))
	})

	It("break off where all endpoints that the route allows broke off", func() {
		w := start(platformtest.Events{To: 30}, platformtest.Events{To: 30}, platformtest.Events{To: 30})
		platformtest.InTurn(w.runners, platformtest.Events{To: 7, Broken: true}, platformtest.Events{To: 12, Broken: true})
		a := w.do(w.request(http.MethodPost, "/chat/1", "x"))
		a.cut()
		Expect(eventIDs(a.body)).To(Equal(numbers(12)))
		Expect(w.runs()).To(Equal(2))
	})

	It("keep the head of the first endpoint when they go on", func() {
		w := start(platformtest.Events{To: 30}, platformtest.Events{To: 30})
		platformtest.InTurn(w.runners, platformtest.Events{To: 7, Broken: true}, platformtest.Events{To: 30})
		a := w.do(w.request(http.MethodPost, "/chat/1", "x"))
		a.whole(200)
		first, _ := w.inOrder()
		Expect(a.header.Get(platformtest.InstanceField)).To(Equal(first.ID))
	})

	It("break off visibly where they may not go on", func() {
		w := start(platformtest.Events{To: 7, Broken: true}, platformtest.Events{To: 7, Broken: true})
		a := w.do(w.request(http.MethodPost, "/plan/1", "x"))
		a.cut()
		Expect(eventIDs(a.body)).To(Equal(numbers(7)))
		Expect(w.runs()).To(Equal(1))
	})
})
