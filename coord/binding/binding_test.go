package binding_test

import (
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/binding"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const target = "m"

// newCore returns a core with agents that have free slots.
func newCore(names ...string) *binding.Core { return coreWithFree(4, names...) }

// coreWithFree returns a core with agents that have the given number of free slots.
func coreWithFree(free int, names ...string) *binding.Core {
	c := &binding.Core{Rand: rand.New(rand.NewPCG(1, 1))}
	for _, n := range names {
		c.AgentUp(now, n, time.Millisecond)
		c.Heartbeat(now, n, message.Heartbeat{Loads: []message.Load{{Target: target, Slots: 4, Free: free, SlotInterval: time.Millisecond}}})
	}
	return c
}

func request(repeatable bool) binding.Request {
	return binding.Request{
		Target:        target,
		GiveUp:        10 * time.Second,
		RetryPermille: 200,
		Terms: message.Terms{
			Class: "c", FirstToken: time.Second, BetweenTokens: time.Second,
			StallAfter: 5 * time.Second, Repeatable: repeatable,
		},
	}
}

// actionsOf returns the actions of one type.
func actionsOf[T binding.Action](actions []binding.Action) []T {
	var all []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			all = append(all, t)
		}
	}
	return all
}

// started accepts a request and starts it at the agent of its first offer.
func started(c *binding.Core, q binding.Request) (message.RequestID, binding.Start) {
	id, actions := c.Accept(now, q)
	sent := actionsOf[binding.Send](actions)
	Expect(sent).NotTo(BeEmpty())
	starts := actionsOf[binding.Start](c.Ready(now, sent[0].Agent, message.Ready{Request: id, Attempt: 1}))
	Expect(starts).To(HaveLen(1))
	return id, starts[0]
}

// openRequests returns the number of requests that are not finished.
func openRequests(c *binding.Core) int { return len(c.Dump(now).Requests) }

var _ = Describe("Core", func() {
	It("starts a request once, however many agents are ready", func() {
		c := coreWithFree(0, "a", "b", "c")
		id, actions := c.Accept(now, request(true))
		Expect(actionsOf[binding.Send](actions)).To(HaveLen(3))
		starts := 0
		for _, s := range actionsOf[binding.Send](actions) {
			starts += len(actionsOf[binding.Start](c.Ready(now, s.Agent, message.Ready{Request: id, Attempt: 1})))
		}
		Expect(starts).To(Equal(1))
	})

	It("reports not run if no start was sent", func() {
		c := newCore("a")
		id, _ := c.Accept(now, request(false))
		finish := actionsOf[binding.Finish](c.Tick(now.Add(time.Minute)))
		Expect(finish).To(HaveLen(1))
		Expect(finish[0].Request).To(Equal(id))
		Expect(finish[0].Code).To(Equal(result.GaveUp))
		Expect(finish[0].Run).To(Equal(result.NotRun))
	})

	It("reports unknown when the agent is lost after the start of a request that is not repeatable", func() {
		c := newCore("a", "b")
		_, s := started(c, request(false))
		actions := c.AgentDown(now, s.Agent)
		Expect(actionsOf[binding.Start](actions)).To(BeEmpty())
		finish := actionsOf[binding.Finish](actions)
		Expect(finish).To(HaveLen(1))
		Expect(finish[0].Code).To(Equal(result.EndpointLost))
		Expect(finish[0].Run).To(Equal(result.Unknown))
	})

	It("offers a request again that an agent reports as not run, even if it is not repeatable", func() {
		c := newCore("a", "b")
		id, s := started(c, request(false))
		actions := c.End(now, s.Agent, message.End{Request: id, Attempt: 1, Code: result.SlotGone, Run: result.NotRun})
		sent := actionsOf[binding.Send](actions)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Agent).NotTo(Equal(s.Agent))
		Expect(sent[0].Message).To(BeAssignableToTypeOf(message.Offer{}))
	})

	It("retries a repeatable request at another agent and drops the frames of the old attempt", func() {
		c := newCore("a", "b")
		id, s := started(c, request(true))
		Expect(c.Progress(now, id, 1, false)).To(BeTrue())
		sent := actionsOf[binding.Send](c.AgentDown(now, s.Agent))
		Expect(sent).To(HaveLen(1))
		Expect(c.Progress(now, id, 1, false)).To(BeFalse())
		Expect(actionsOf[binding.Start](c.Ready(now, sent[0].Agent, message.Ready{Request: id, Attempt: 2}))).To(HaveLen(1))
		Expect(c.Progress(now, id, 1, false)).To(BeFalse())
		Expect(c.Progress(now, id, 2, false)).To(BeTrue())
		Expect(actionsOf[binding.Finish](c.End(now, s.Agent, message.End{Request: id, Attempt: 1}))).To(BeEmpty())
	})

	It("does not retry an abandoned request", func() {
		c := newCore("a", "b")
		id, start := started(c, request(true))
		end := message.End{Request: id, Attempt: 1, Code: result.EndpointFailed, Run: result.Unknown}
		Expect(c.Abandon(now, "another", end)).To(BeEmpty())
		actions := c.Abandon(now, start.Agent, end)
		finished := actionsOf[binding.Finish](actions)
		Expect(finished).To(HaveLen(1))
		Expect(finished[0].Code).To(Equal(result.EndpointFailed))
		Expect(finished[0].Run).To(Equal(result.Unknown))
		Expect(actionsOf[binding.Send](actions)).To(BeEmpty())
	})

	It("does not report not run when only the last attempt was not run", func() {
		c := newCore("a", "b")
		id, s := started(c, request(true))
		sent := actionsOf[binding.Send](c.AgentDown(now, s.Agent))
		c.Ready(now, sent[0].Agent, message.Ready{Request: id, Attempt: 2})
		c.End(now, sent[0].Agent, message.End{Request: id, Attempt: 2, Code: result.SlotGone, Run: result.NotRun})
		var finish []binding.Finish
		for at := now; len(finish) == 0; at = at.Add(time.Second) {
			finish = actionsOf[binding.Finish](c.Tick(at))
		}
		Expect(finish[0].Code).To(Equal(result.GaveUp))
		Expect(finish[0].Run).To(Equal(result.Unknown))
	})

	It("does not retry an unresumable response", func() {
		c := newCore("a", "b")
		id, s := started(c, request(true))
		Expect(c.Progress(now, id, 1, true)).To(BeTrue())
		finish := actionsOf[binding.Finish](c.AgentDown(now, s.Agent))
		Expect(finish).To(HaveLen(1))
		Expect(finish[0].Code).To(Equal(result.Unresumable))
		Expect(openRequests(c)).To(BeZero())
		Expect(id).NotTo(BeZero())
	})

	It("refuses with queue full only after every agent has declined", func() {
		c := newCore("a", "b", "c", "d", "e")
		id, actions := c.Accept(now, request(true))
		offered := map[string]bool{}
		for {
			sent := actionsOf[binding.Send](actions)
			finish := actionsOf[binding.Finish](actions)
			if len(finish) > 0 {
				Expect(finish[0].Code).To(Equal(result.QueueFull))
				break
			}
			for _, s := range sent {
				offered[s.Agent] = true
			}
			actions = nil
			for _, s := range sent {
				actions = append(actions, c.Declined(now, s.Agent, message.Declined{Request: id, Attempt: 1, Code: result.AgentFull})...)
			}
		}
		Expect(offered).To(HaveLen(5))
	})

	It("offers to an agent with a free slot alone first, and to others soon after", func() {
		c := newCore("a", "b", "c", "d", "e")
		_, actions := c.Accept(now, request(true))
		Expect(actionsOf[binding.Send](actions)).To(HaveLen(1))
		at, _ := c.Next()
		Expect(at.Sub(now)).To(BeNumerically("<", 10*time.Millisecond))
		Expect(actionsOf[binding.Send](c.Tick(at))).To(HaveLen(binding.DefaultFanout))
	})

	It("offers to more agents on a timer while none responds", func() {
		c := coreWithFree(0, "a", "b", "c", "d", "e")
		_, actions := c.Accept(now, request(true))
		Expect(actionsOf[binding.Send](actions)).To(HaveLen(binding.DefaultFanout))
		at, ok := c.Next()
		Expect(ok).To(BeTrue())
		Expect(actionsOf[binding.Send](c.Tick(at))).To(HaveLen(2))
	})

	It("bounds the attempts of a request that no agent runs", func() {
		c := newCore("a", "b")
		id, actions := c.Accept(now, request(true))
		at := now
		for n := 0; n < 1000 && openRequests(c) > 0; n++ {
			for _, s := range actionsOf[binding.Send](actions) {
				o, isOffer := s.Message.(message.Offer)
				if !isOffer {
					continue
				}
				Expect(o.Attempt).NotTo(BeZero())
				c.Ready(at, s.Agent, message.Ready{Request: id, Attempt: o.Attempt})
				actions = c.End(at, s.Agent, message.End{Request: id, Attempt: o.Attempt, Code: result.SlotGone, Run: result.NotRun})
				break
			}
			if len(actionsOf[binding.Send](actions)) == 0 {
				at, _ = c.Next()
				actions = c.Tick(at)
			}
		}
		Expect(openRequests(c)).To(BeZero())
	})

	It("counts only failures towards the bound on attempts", func() {
		c := newCore("a", "b")
		id, s := started(c, request(true))
		attempt := message.Attempt(1)
		for _, end := range []message.End{
			{Code: result.SlotGone, Run: result.NotRun}, {Code: result.SlotGone, Run: result.NotRun},
			{Code: result.Preempted, Run: result.Ran}, {Code: result.Preempted, Run: result.Ran},
			{Code: result.SlotGone, Run: result.NotRun}, {Code: result.SlotGone, Run: result.NotRun},
			{Code: result.EndpointFailed, Run: result.Ran},
		} {
			end.Request = id
			end.Attempt = attempt
			actions := c.End(now, s.Agent, end)
			Expect(actionsOf[binding.Finish](actions)).To(BeEmpty())
			attempt++
			s.Agent = actionsOf[binding.Send](actions)[0].Agent
			Expect(actionsOf[binding.Start](c.Ready(now, s.Agent, message.Ready{Request: id, Attempt: attempt}))).To(HaveLen(1))
		}
	})

	It("bounds retries when many agents fail", func() {
		c := newCore("a", "b")
		retries := 0
		for range 500 {
			q := request(true)
			q.RetryPermille = 100
			id, s := started(c, q)
			end := message.End{Request: id, Attempt: 1, Code: result.EndpointFailed, Run: result.Ran}
			actions := c.End(now, s.Agent, end)
			if len(actionsOf[binding.Finish](actions)) == 0 {
				retries++
				c.Hangup(id)
			}
			c.AgentDown(now, s.Agent)
			c.AgentUp(now, s.Agent, time.Millisecond)
			c.Heartbeat(now, s.Agent, message.Heartbeat{Loads: []message.Load{{Target: target, Slots: 4, Free: 4}}})
		}
		Expect(retries).To(BeNumerically("<=", 50+500/10))
	})

	It("sends no new offers to an agent that leaves", func() {
		c := newCore("a", "b")
		c.AgentLeaving("a")
		for range 20 {
			_, actions := c.Accept(now, request(true))
			for _, s := range actionsOf[binding.Send](actions) {
				Expect(s.Agent).To(Equal("b"))
			}
		}
	})

	It("refuses immediately when the only agent leaves", func() {
		c := newCore("a")
		c.AgentLeaving("a")
		_, actions := c.Accept(now, request(true))
		Expect(actionsOf[binding.Finish](actions)[0].Code).To(Equal(result.NoEndpoint))
	})

	It("withdraws and cancels when the caller hangs up", func() {
		c := newCore("a", "b")
		id, s := started(c, request(true))
		Expect(actionsOf[binding.Cancel](c.Hangup(id))).To(ConsistOf(binding.Cancel{Agent: s.Agent, Request: id, Attempt: 1}))
		Expect(openRequests(c)).To(BeZero())
	})
})
