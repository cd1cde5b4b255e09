package gateway_test

import (
	"context"
	"fmt"
	"net/http"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an entry that has just started", func() {
	const engines, subjects = 3, 9
	// newHarnessWithParts starts engines that each have cached the parts of several subjects. Without
	// knowledge of the parts, placement would not send all prompts to the right engine by chance.
	newHarnessWithParts := func() *harness {
		h := newHarness(okResponse, okResponse, okResponse)
		h.engines(map[string]any{"slots": 8, "kvCapacity": 500_000})
		for n := range subjects {
			h.runners[n%engines].CachePart(fmt.Sprintf("a%d", n), 8000)
		}
		return h
	}
	// countHits sends a prompt on each subject and returns how many ran at the engine that has
	// cached its part.
	countHits := func(h *harness) int {
		for n := range subjects {
			q := h.request(http.MethodGet, "/page/", "")
			q.Header.Set(platformtest.TokensField, "9000,100")
			q.Header.Set(platformtest.PartsField, fmt.Sprintf("a%d:8000,b%d:1000", n, n))
			h.do(q).expectWhole(200)
		}
		hits := 0
		for n, r := range h.runners {
			for _, run := range r.Runs() {
				var subject int
				_, err := fmt.Sscanf(run.Header.Get(platformtest.PartsField), "a%d:", &subject)
				Expect(err).NotTo(HaveOccurred())
				if subject%engines == n {
					hits++
				}
			}
		}
		return hits
	}
	all := func(string, string) bool { return true }

	It("sends prompts to the engines that report their parts as cached", func() {
		h := newHarnessWithParts()
		h.gateway.QueryCachedParts(context.Background(), all)
		Expect(countHits(h)).To(Equal(subjects))
	})

	It("queries only the engines that it is responsible for", func() {
		h := newHarnessWithParts()
		h.gateway.QueryCachedParts(context.Background(), func(endpoint, _ string) bool { return endpoint == "i-2" })
		Expect(h.runners[0].ConnectionCount()).To(BeZero())
		Expect(h.runners[1].ConnectionCount()).To(Equal(1))
	})

	It("continues if an engine does not respond", func() {
		h := newHarnessWithParts()
		h.runners[1].Close()
		h.gateway.QueryCachedParts(context.Background(), all)
		Expect(h.runners[2].ConnectionCount()).To(Equal(1))
	})

	It("applies the snapshot of another entry, but rejects invalid data", func() {
		h := newHarnessWithParts()
		h.gateway.QueryCachedParts(context.Background(), all)
		data, err := h.gateway.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(h.gateway.Restore(steady.Now(), []byte("no snapshot"))).NotTo(Succeed())
		Expect(h.gateway.Restore(steady.Now(), data)).To(Succeed())
		Expect(countHits(h)).To(Equal(subjects))
	})
})
