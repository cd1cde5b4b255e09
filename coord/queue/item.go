// Package queue orders the queued offers for the endpoints of one target.
//
// Order: the starvation guard, then the tier, then within a tier the offers
// that can still meet their target by earliest deadline, then the late offers,
// and within a class weighted fairness over teams. All times are passed in.
package queue

import (
	"container/list"
	"time"

	"foxcross.dev/coord/message"
)

// Key identifies an offer by the connection on which it arrived and the entry's request number.
type Key struct {
	Owner   uint64
	Request message.RequestID
}

// Item is a queued offer.
type Item struct {
	Key      Key
	Offer    message.Offer
	Arrived  time.Time // time at which the entry accepted the request, on the local clock
	Queued   time.Time // time at which the offer was queued
	Deadline time.Time // latest start that still meets the target

	class         *class
	team          *team
	element       *list.Element // in the team's on-time or late list
	tierElement   *list.Element // in the list of the tier
	late          bool
	deadlineIndex int // index in the class's heap by deadline, -1 once late
	arrivalIndex  int // index in the class's heap by arrival
}

// StarveAt returns the time at which the item exceeds its class's starvation bound. ok is
// false if the class has none.
func (i *Item) StarveAt() (at time.Time, ok bool) {
	if i.Offer.Terms.StarveAfter <= 0 {
		return time.Time{}, false
	}
	return i.Arrived.Add(i.Offer.Terms.StarveAfter), true
}

// starveLimit returns the time after which the starvation guard no longer gives way to higher tiers.
func (i *Item) starveLimit() time.Time {
	return i.Arrived.Add(2 * i.Offer.Terms.StarveAfter)
}

// byDeadline is an item in the heap of the on-time items of a class.
type byDeadline struct{ *Item }

// Before orders by deadline, earliest first.
func (d byDeadline) Before(o byDeadline) bool { return d.Deadline.Before(o.Deadline) }

// Moved records the index in the heap.
func (d byDeadline) Moved(index int) { d.deadlineIndex = index }

// byArrival is an item in the heap of all items of a class.
type byArrival struct{ *Item }

// Before orders by arrival, earliest first.
func (a byArrival) Before(o byArrival) bool { return a.Arrived.Before(o.Arrived) }

// Moved records the index in the heap.
func (a byArrival) Moved(index int) { a.arrivalIndex = index }
