package gateway_test

import (
	"net/http"

	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("fetching parts of a prompt", func() {
	prompt := func(h *harness, parts string) *http.Request {
		q := h.request(http.MethodGet, "/page/", "")
		q.Header.Set(platformtest.TokensField, "9000,100")
		q.Header.Set(platformtest.PartsField, parts)
		return q
	}

	// sendTwice sends two prompts with a common part to the engines of a service. The engine that
	// has computed the part fails the second prompt if it gets it, so that it runs at the other
	// engine. sendTwice returns the address of the first engine and the header that the other
	// received. Simulated engines compute prompts instantly, so a fetch pays off only for small
	// tokens.
	sendTwice := func(engine map[string]any, between func(h *harness)) (string, http.Header) {
		h := newHarness(okResponse, okResponse)
		h.engines(engine)
		h.do(prompt(h, "ab:8000,cd:1000")).expectWhole(200)
		first, other := h.runners[0], h.runners[1]
		if len(first.Runs()) == 0 {
			first, other = other, first
		}
		between(h)
		first.Enqueue(platformtest.Fail{Status: 500})
		h.do(prompt(h, "ab:8000,ef:1000")).expectWhole(200)
		Expect(other.Runs()).To(HaveLen(1))
		return first.Address(), other.Runs()[0].Header
	}

	fetchSettings := map[string]any{"slots": 8, "kvCapacity": 500_000, "kvBytes": 1_000, "linkMbps": 260_000.0}
	nothing := func(*harness) {}

	It("names the engine that has computed them", func() {
		first, header := sendTwice(fetchSettings, nothing)
		Expect(header.Get(platformtest.FetchField)).To(Equal(first))
	})

	It("is not requested from engines that do not offer it", func() {
		_, header := sendTwice(map[string]any{"slots": 8, "kvCapacity": 500_000}, nothing)
		Expect(header).NotTo(HaveKey(platformtest.FetchField))
	})

	It("is not requested after an engine has crashed with the prompt", func() {
		_, header := sendTwice(fetchSettings, func(h *harness) {
			k := quarantine.KeyOf("studio-1", http.MethodGet, routeHost+"/page/", nil)
			h.gateway.EventReceiver().HandleEvents(99, []peers.Event{{
				Kind: peers.EndpointCrashed, Endpoint: "i-gone", Runs: []quarantine.RunReport{{Content: k[:]}},
			}})
		})
		Expect(header).NotTo(HaveKey(platformtest.FetchField))
	})
})
