package gateway_test

import (
	"context"
	"fmt"
	"net/http"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an entry that has just started", func() {
	const engines, subjects = 3, 9
	// keptWorld starts engines that each keep some subjects, more than one of which no home
	// would be by chance.
	keptWorld := func() *harness {
		h := newHarness(okResponse, okResponse, okResponse)
		h.engines(map[string]any{"slots": 8, "kvCapacity": 500_000})
		for n := range subjects {
			h.runners[n%engines].Keep(fmt.Sprintf("a%d", n), 8000)
		}
		return h
	}
	// ask sends a prompt on each subject and returns how many ran where their subject is kept.
	ask := func(h *harness) int {
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

	It("sends prompts where engines say that their parts are kept", func() {
		h := keptWorld()
		h.gateway.LearnMemory(context.Background(), all)
		Expect(ask(h)).To(Equal(subjects))
	})

	It("asks only the engines that are its own to ask", func() {
		h := keptWorld()
		h.gateway.LearnMemory(context.Background(), func(endpoint, _ string) bool { return endpoint == "i-2" })
		Expect(h.runners[0].Dialed()).To(BeZero())
		Expect(h.runners[1].Dialed()).To(Equal(1))
	})

	It("goes on where an engine does not answer", func() {
		h := keptWorld()
		h.runners[1].Close()
		h.gateway.LearnMemory(context.Background(), all)
		Expect(h.runners[2].Dialed()).To(Equal(1))
	})

	It("takes over what another entry knows, but nothing that can't be read", func() {
		h := keptWorld()
		h.gateway.LearnMemory(context.Background(), all)
		data, err := h.gateway.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(h.gateway.Restore([]byte("no snapshot"))).NotTo(Succeed())
		Expect(h.gateway.Restore(data)).To(Succeed())
		Expect(ask(h)).To(Equal(subjects))
	})
})
