// Package queue orders the offers that wait before the endpoints of one target.
//
// Order: the starvation guard, then the tier, then within a tier the offers
// that can still meet their target by earliest deadline, then the late ones,
// and within a class weighted fairness over teams. All times are passed in.
package queue

import (
	"container/list"
	"time"

	"foxcross.dev/coord/message"
)

// Key names an offer: the connection it came over and the entry's number.
type Key struct {
	Owner   uint64
	Request message.RequestID
}

// Item is a waiting offer.
type Item struct {
	Key      Key
	Offer    message.Offer
	Arrived  time.Time // when the entry accepted the request, on this clock
	Queued   time.Time // when the offer came here
	Deadline time.Time // latest start that still meets the target

	class   *class
	team    *team
	element *list.Element // in the team's fresh or late list
	recent  *list.Element // in the tier's order of arrival
	late    bool
	due     int // place in the class's heap by deadline, -1 once late
	starve  int // place in the class's heap by starvation bound
}

// StarveAt returns when the item passes its class's starvation bound; ok is
// false where the class has none.
func (i *Item) StarveAt() (at time.Time, ok bool) {
	if i.Offer.Terms.StarveAfter <= 0 {
		return time.Time{}, false
	}
	return i.Arrived.Add(i.Offer.Terms.StarveAfter), true
}

// starveLimit returns when the guard no longer waits for higher tiers.
func (i *Item) starveLimit() time.Time {
	return i.Arrived.Add(2 * i.Offer.Terms.StarveAfter)
}

// byDeadline is a heap of a class's items that are not late.
type byDeadline []*Item

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(a, b int) bool { return h[a].Deadline.Before(h[b].Deadline) }
func (h byDeadline) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].due = a
	h[b].due = b
}

// Push is for container/heap.
func (h *byDeadline) Push(x any) {
	i := x.(*Item)
	i.due = len(*h)
	*h = append(*h, i)
}

// Pop is for container/heap.
func (h *byDeadline) Pop() any {
	last := len(*h) - 1
	i := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	i.due = -1
	return i
}

// byArrival is a heap of all items of a class, the longest waiting first.
type byArrival []*Item

func (h byArrival) Len() int           { return len(h) }
func (h byArrival) Less(a, b int) bool { return h[a].Arrived.Before(h[b].Arrived) }
func (h byArrival) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].starve = a
	h[b].starve = b
}

// Push is for container/heap.
func (h *byArrival) Push(x any) {
	i := x.(*Item)
	i.starve = len(*h)
	*h = append(*h, i)
}

// Pop is for container/heap.
func (h *byArrival) Pop() any {
	last := len(*h) - 1
	i := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return i
}
