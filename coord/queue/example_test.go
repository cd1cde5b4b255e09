package queue_test

import (
	"fmt"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/queue"
)

// The higher tier is served first, in whatever order the items arrived.
func ExampleQueue() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var q queue.Queue
	for n, tier := range []int{1, 0} {
		q.Push(&queue.Item{
			Key:      queue.Key{Owner: 1, Request: message.RequestID(n + 1)},
			Offer:    message.Offer{Terms: message.Terms{Class: fmt.Sprint("tier-", tier), Tier: tier, FirstToken: time.Second, Weight: 1}},
			Arrived:  now,
			Deadline: now.Add(time.Second),
		}, now)
	}
	next := q.Peek(now, queue.Capacity{Slots: 1})
	q.Take(next)
	fmt.Println(next.Offer.Terms.Class, q.Len())
	// Output: tier-0 1
}
