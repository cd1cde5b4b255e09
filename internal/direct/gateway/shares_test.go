package gateway_test

import (
	"net/http"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/share"
	"foxcross.dev/foxcross/internal/direct/gateway"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("shares of teams", func() {
	const other = "studio-2"
	engine := map[string]any{"slots": 8, "kvCapacity": 500_000}

	// contended returns a harness that has received the events of another entry about requests of
	// two teams, most of which were refused.
	contended := func(given, refused string) *harness {
		h := newHarness(okResponse)
		h.engines(engine)
		gateway.ForgetStart(h.gateway)
		request := func(team string) *placement.Request {
			return &placement.Request{
				Service: service, Team: uint32(share.TeamOf(team)), TimeLeft: 10 * time.Second,
				FirstEventTarget: time.Second, Prompt: memory.Prompt{Tokens: 20_000, MaxOutputTokens: 100},
			}
		}
		events := []peers.Event{{Kind: peers.AttemptSent, Number: 1, Endpoint: "i-1", Request: request(given)}}
		for range 5 {
			events = append(events, peers.Event{Kind: peers.RequestRefused, Request: request(refused)})
		}
		h.gateway.EventReceiver().HandleEvents(99, events)
		return h
	}

	// sentPriorityOn returns the priority with which the team's request on a route is sent.
	sentPriorityOn := func(h *harness, target string) string {
		q := h.request(http.MethodGet, target, "")
		q.Header.Set(platformtest.TokensField, "900,100")
		h.do(q).expectWhole(200)
		runs := h.runners[0].Runs()
		return runs[len(runs)-1].Header.Get(platformtest.PriorityField)
	}
	sentPriority := func(h *harness) string { return sentPriorityOn(h, "/page/") }

	It("let a team above its share queue behind others of the least urgent tier", func() {
		h := contended("studio-1", other)
		Expect(sentPriority(h)).To(Equal("1"))
		Expect(h.gateway.Dump().Shares).To(ConsistOf(And(HaveField("Contended", true), HaveField("Teams", 2), HaveField("Above", 1))))
	})

	It("never put a request behind a less urgent tier", func() {
		h := contended("studio-1", other)
		h.configure(append(routes(), route("/urgent/", "idempotent", map[string]any{"priority": 0})), teamKey)
		Eventually(h.settingsVersion).Should(BeEquivalentTo(h.version))
		Expect(sentPriorityOn(h, "/urgent/")).To(Equal("1"), "as without contention")
		Expect(sentPriorityOn(h, "/page/")).To(Equal("3"), "2 without contention")
	})

	It("leave the priority of a team below its share", func() {
		Expect(sentPriority(contended(other, "studio-1"))).To(Equal("0"))
	})

	It("count own requests, and leave all alike without contention", func() {
		h := newHarness(okResponse)
		h.engines(engine)
		gateway.ForgetStart(h.gateway)
		Expect(sentPriority(h)).To(Equal("0"))
		Expect(h.gateway.Dump().Shares).To(ConsistOf(And(HaveField("Contended", false), HaveField("Teams", 1), HaveField("Above", 0))))
	})

	It("treat all alike at an entry that has just started", func() {
		h := contended("studio-1", other)
		gateway.StartNow(h.gateway)
		Expect(sentPriority(h)).To(Equal("0"))
	})

	It("treat all alike at an entry that hears only entries of earlier builds", func() {
		Expect(sentPriority(contended("", ""))).To(Equal("0"))
	})

	It("are not kept for a service without engines", func() {
		h := newHarness(okResponse)
		h.get("/page/").expectWhole(200)
		Expect(h.gateway.Dump().Shares).To(BeEmpty())
	})
})
