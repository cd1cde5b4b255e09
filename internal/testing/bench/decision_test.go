package bench_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/affinity"
	"foxcross.dev/coord/binding"
	"foxcross.dev/coord/dispatch"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/queue"
	"foxcross.dev/coord/result"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const target = "glaze-8b"

var terms = message.Terms{
	Class: "glaze-question", Team: "gent", FirstToken: 500 * time.Millisecond,
	BetweenTokens: 30 * time.Millisecond, StarveAfter: time.Minute, StallAfter: 10 * time.Second,
	Weight: 1, Repeatable: true,
}

// newEntryCore returns the core of an entry connected to a number of agents with free slots.
func newEntryCore(agents int) *binding.Core {
	c := &binding.Core{Rand: rand.New(rand.NewPCG(1, 1)), Requests: 1 << 20}
	for n := range agents {
		name := fmt.Sprint("agent-", n)
		c.AgentUp(now, name, time.Millisecond)
		l := message.Load{Target: target, Slots: 64, Free: 64, SlotInterval: 30 * time.Millisecond, FirstToken: 100 * time.Millisecond}
		c.Heartbeat(now, name, message.Heartbeat{Loads: []message.Load{l}})
	}
	return c
}

// BenchmarkEntryRequest measures all decisions of one request at an entry: accept and
// choose, start, end.
func BenchmarkEntryRequest(b *testing.B) {
	prefix := affinity.Chain(make([]byte, 4096))
	for _, agents := range []int{10, 200, 1000} {
		b.Run(fmt.Sprint("agents=", agents), func(b *testing.B) {
			c := newEntryCore(agents)
			q := binding.Request{Target: target, Terms: terms, GiveUp: time.Minute, PromptTokens: 1000, Prefix: prefix}
			b.ReportAllocs()
			for b.Loop() {
				id, actions := c.Accept(now, q)
				agent := actions[0].(binding.Send).Agent
				c.Ready(now, agent, message.Ready{Request: id, Attempt: 1})
				c.End(now, agent, message.End{Request: id, Attempt: 1, Code: result.OK, Run: result.Ran})
			}
		})
	}
}

// BenchmarkQueueStep measures adding one offer to a queue of a given length, spread
// over 400 teams and three tiers, and taking one out.
func BenchmarkQueueStep(b *testing.B) {
	for _, length := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint("length=", length), func(b *testing.B) {
			q := queue.Queue{Bound: 1 << 20}
			next := 0
			push := func() {
				next++
				t := terms
				t.Tier = next % 3
				t.Class = fmt.Sprint("class-", t.Tier)
				t.Team = fmt.Sprint("team-", next%400)
				q.Push(&queue.Item{
					Key:      queue.Key{Request: message.RequestID(next)},
					Offer:    message.Offer{Request: message.RequestID(next), Terms: t},
					Arrived:  now,
					Deadline: now.Add(t.FirstToken),
				}, now)
			}
			for range length {
				push()
			}
			capacity := queue.Capacity{Slots: 64, NextFree: time.Millisecond, Running: func(string) int { return 1 }}
			b.ReportAllocs()
			for b.Loop() {
				push()
				q.Take(q.Peek(now, capacity))
			}
		})
	}
}

// BenchmarkAgentRequest measures all decisions of one request at an agent with a given
// number of running requests: offer, start, 60 tokens, end.
func BenchmarkAgentRequest(b *testing.B) {
	for _, running := range []int{8, 64} {
		b.Run(fmt.Sprint("running=", running), func(b *testing.B) {
			c := &dispatch.Core{}
			for n := range 8 {
				c.Add(dispatch.Endpoint{Name: fmt.Sprint("e", n), Target: target})
			}
			at := now
			next := message.RequestID(0)
			begin := func() queue.Key {
				next++
				c.Offer(at, 1, message.Offer{Request: next, Attempt: 1, Target: target, Terms: terms})
				c.Start(at, 1, message.Start{Request: next, Attempt: 1})
				return queue.Key{Owner: 1, Request: next}
			}
			run := func(k queue.Key) {
				for range 60 {
					at = at.Add(100 * time.Microsecond)
					c.Progress(at, k, 1)
				}
				c.Ended(at, k, message.End{Code: result.OK, Run: result.Ran})
			}
			for range 200 {
				run(begin()) // the limits are learned
			}
			var keys []queue.Key
			for range running {
				keys = append(keys, begin())
			}
			b.ReportAllocs()
			for b.Loop() {
				run(keys[0])
				keys = append(keys[1:], begin())
			}
		})
	}
}

// BenchmarkTick measures a clock tick of an agent with a full queue.
func BenchmarkTick(b *testing.B) {
	c := &dispatch.Core{}
	c.Add(dispatch.Endpoint{Name: "e", Target: target})
	for n := range 4096 {
		c.Offer(now, 1, message.Offer{Request: message.RequestID(n + 1), Attempt: 1, Target: target, Terms: terms})
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Tick(now)
		c.Loads(now)
	}
}

func newRequest() binding.Request {
	return binding.Request{Target: target, Terms: terms, GiveUp: time.Minute, PromptTokens: 1000}
}
