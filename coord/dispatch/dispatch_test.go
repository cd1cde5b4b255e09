package dispatch_test

import (
	"time"

	"foxcross.dev/coord/dispatch"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/queue"
	"foxcross.dev/coord/result"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	target = "m"
	owner  = 7
)

func newCore(maxWork int) *dispatch.Core {
	c := &dispatch.Core{}
	c.Add(dispatch.Endpoint{Name: "e", Target: target, MaxWork: maxWork})
	return c
}

func terms(tier int) message.Terms {
	return message.Terms{
		Class: string(rune('a' + tier)), Tier: tier, FirstToken: time.Second,
		BetweenTokens: 30 * time.Millisecond, StarveAfter: time.Minute, StallAfter: 5 * time.Second,
		Repeatable: true, Preemptible: tier > 0,
	}
}

func offer(id message.RequestID, t message.Terms) message.Offer {
	return message.Offer{Request: id, Attempt: 1, Target: target, Terms: t}
}

// replies returns the control messages of one type.
func replies[T message.Message](actions []dispatch.Action) []T {
	var all []T
	for _, a := range actions {
		if r, ok := a.(dispatch.Reply); ok {
			if m, ok := r.Message.(T); ok {
				all = append(all, m)
			}
		}
	}
	return all
}

// actionsOf returns the actions of one type.
func actionsOf[T dispatch.Action](actions []dispatch.Action) []T {
	var all []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			all = append(all, t)
		}
	}
	return all
}

func start(c *dispatch.Core, id message.RequestID) []dispatch.Action {
	return c.Start(now, owner, message.Start{Request: id, Attempt: 1})
}

func okEnd() message.End { return message.End{Code: result.OK, Run: result.Ran} }

var _ = Describe("Core", func() {
	It("holds a slot for an offer and runs its start once", func() {
		c := newCore(1)
		Expect(replies[message.Ready](c.Offer(now, owner, offer(1, terms(0))))).To(HaveLen(1))
		Expect(actionsOf[dispatch.Run](start(c, 1))).To(HaveLen(1))
		Expect(start(c, 1)).To(BeEmpty())
	})

	It("releases a slot whose start does not arrive in time, and ends a late start as not run", func() {
		c := newCore(1)
		c.Offer(now, owner, offer(1, terms(0)))
		c.Offer(now, owner, offer(2, terms(0)))
		holdExpired := now.Add(dispatch.DefaultHold)
		actions := c.Tick(holdExpired)
		Expect(replies[message.Declined](actions)).To(HaveLen(1))
		Expect(replies[message.Ready](actions)).To(HaveLen(1))
		finish := actionsOf[dispatch.Finish](start(c, 1))
		Expect(finish).To(HaveLen(1))
		Expect(finish[0].End.Run).To(Equal(result.NotRun))
		Expect(finish[0].End.Code).To(Equal(result.SlotGone))
	})

	It("preempts only when the start arrives, only a lower tier, fewest tokens first", func() {
		c := newCore(2)
		for id := message.RequestID(1); id <= 2; id++ {
			c.Offer(now, owner, offer(id, terms(2)))
			start(c, id)
		}
		for range 5 {
			c.Progress(now, queue.Key{Owner: owner, Request: 1}, 1)
		}
		actions := c.Offer(now, owner, offer(3, terms(0)))
		Expect(actionsOf[dispatch.Stop](actions)).To(BeEmpty())
		ready := replies[message.Ready](actions)
		justBeforeTarget := now.Add(990 * time.Millisecond)
		for at := now; len(ready) == 0 && at.Before(justBeforeTarget); at = at.Add(10 * time.Millisecond) {
			actions := c.Tick(at)
			Expect(actionsOf[dispatch.Stop](actions)).To(BeEmpty())
			ready = replies[message.Ready](actions)
		}
		Expect(ready).To(HaveLen(1))
		Expect(ready[0].Preempt).To(BeTrue())
		actions = start(c, 3)
		stops := actionsOf[dispatch.Stop](actions)
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].Key.Request).To(Equal(message.RequestID(2)))
		Expect(actionsOf[dispatch.Run](actions)).To(HaveLen(1))
	})

	It("never preempts the same tier or work that is not repeatable", func() {
		for _, t := range []message.Terms{terms(1), {Class: "x", Tier: 2, BetweenTokens: time.Second, FirstToken: time.Second}} {
			c := newCore(1)
			c.Offer(now, owner, offer(1, t))
			start(c, 1)
			Expect(replies[message.Ready](c.Offer(now, owner, offer(2, terms(1))))).To(BeEmpty())
			for at := now; at.Before(now.Add(3 * time.Second)); at = at.Add(20 * time.Millisecond) {
				Expect(replies[message.Ready](c.Tick(at))).To(BeEmpty())
			}
		}
	})

	It("declines all queued offers when it leaves, and lets running work finish", func() {
		c := newCore(1)
		c.Offer(now, owner, offer(1, terms(0)))
		start(c, 1)
		c.Offer(now, owner, offer(2, terms(0)))
		Expect(replies[message.Declined](c.Leave(now))).To(HaveLen(1))
		Expect(replies[message.Declined](c.Offer(now, owner, offer(3, terms(0))))).To(HaveLen(1))
		Expect(c.Idle()).To(BeFalse())
		finish := actionsOf[dispatch.Finish](c.Ended(now, queue.Key{Owner: owner, Request: 1}, okEnd()))
		Expect(finish).To(HaveLen(1))
		Expect(finish[0].End.Code).To(Equal(result.OK))
		Expect(c.Idle()).To(BeTrue())
	})

	It("stops repeatable work of a lost owner and lets the rest run", func() {
		c := newCore(2)
		notRepeatable := terms(0)
		notRepeatable.Repeatable = false
		c.Offer(now, owner, offer(1, terms(0)))
		c.Offer(now, owner, offer(2, notRepeatable))
		start(c, 1)
		start(c, 2)
		stops := actionsOf[dispatch.Stop](c.OwnerLost(now, owner))
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].Key.Request).To(Equal(message.RequestID(1)))
	})

	It("stops stalled work", func() {
		c := newCore(1)
		c.Offer(now, owner, offer(1, terms(0)))
		start(c, 1)
		Expect(c.Tick(now.Add(4 * time.Second))).To(BeEmpty())
		finish := actionsOf[dispatch.Finish](c.Tick(now.Add(5 * time.Second)))
		Expect(finish).To(HaveLen(1))
		Expect(finish[0].End.Code).To(Equal(result.Stalled))
	})

	It("serves tiers in order when a slot becomes free", func() {
		c := newCore(1)
		c.Offer(now, owner, offer(1, terms(0)))
		start(c, 1)
		c.Offer(now, owner, offer(2, terms(2)))
		c.Offer(now, owner, offer(3, terms(0)))
		ready := replies[message.Ready](c.Ended(now, queue.Key{Owner: owner, Request: 1}, okEnd()))
		Expect(ready).To(HaveLen(1))
		Expect(ready[0].Request).To(Equal(message.RequestID(3)))
	})

	It("assigns a slot that becomes free to the held preempting start", func() {
		c := newCore(1)
		c.Offer(now, owner, offer(1, terms(1)))
		start(c, 1)
		c.Offer(now, owner, offer(2, terms(2)))
		Expect(replies[message.Ready](c.Offer(now, owner, offer(3, terms(0))))).To(HaveLen(1))
		Expect(replies[message.Ready](c.Ended(now, queue.Key{Owner: owner, Request: 1}, okEnd()))).To(BeEmpty())
		Expect(actionsOf[dispatch.Run](start(c, 3))).To(HaveLen(1))
	})
})
