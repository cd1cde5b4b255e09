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

// byDeadline orders a class's items that are not late.
type byDeadline struct{ *Item }

// Before puts the earliest deadline first.
func (d byDeadline) Before(o byDeadline) bool { return d.Deadline.Before(o.Deadline) }

// Moved notes the place.
func (d byDeadline) Moved(place int) { d.due = place }

// byArrival orders all items of a class, the longest waiting first.
type byArrival struct{ *Item }

// Before puts the earliest arrival first.
func (a byArrival) Before(o byArrival) bool { return a.Arrived.Before(o.Arrived) }

// Moved notes the place.
func (a byArrival) Moved(place int) { a.starve = place }
