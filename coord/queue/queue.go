package queue

import (
	"container/list"
	"slices"
	"time"
)

// DefaultBound is the bound of a queue whose Bound is 0 or less.
const DefaultBound = 4096

// Queue holds the queued offers of one target. The zero value is an empty
// queue with the default bound. It is not safe for concurrent use.
type Queue struct {
	Bound int // most items in the queue

	items   map[Key]*Item
	classes []*class // by tier, then by name
	byName  map[string]*class
	byTier  map[int]*list.List // items of each tier, in the order of Push
}

// Capacity is the capacity of the endpoints, an input of the starvation guard.
type Capacity struct {
	Slots    int                    // most concurrent work of the endpoints
	NextFree time.Duration          // expected time between two slots becoming free
	Running  func(class string) int // running work of the class, including held slots
}

// Len returns the number of queued offers.
func (q *Queue) Len() int { return len(q.items) }

// LenTier returns the number of queued offers of one tier.
func (q *Queue) LenTier(tier int) int {
	if l, ok := q.byTier[tier]; ok {
		return l.Len()
	}
	return 0
}

// Get returns the item with the key, or nil.
func (q *Queue) Get(k Key) *Item { return q.items[k] }

// Items returns all items in no particular order.
func (q *Queue) Items() []*Item {
	all := make([]*Item, 0, len(q.items))
	for _, i := range q.items {
		all = append(all, i)
	}
	return all
}

// Push adds an item. A full queue evicts the last item of its lowest
// tier if that tier is lower than the item's; otherwise it refuses the item.
func (q *Queue) Push(i *Item, now time.Time) (evicted *Item, accepted bool) {
	if len(q.items) >= q.bound() {
		evicted = q.evictBelow(i.Offer.Terms.Tier)
		if evicted == nil {
			return nil, false
		}
	}
	q.add(i, now)
	return evicted, true
}

func (q *Queue) bound() int {
	if q.Bound > 0 {
		return q.Bound
	}
	return DefaultBound
}

func (q *Queue) add(i *Item, now time.Time) {
	if q.items == nil {
		q.items = map[Key]*Item{}
		q.byName = map[string]*class{}
		q.byTier = map[int]*list.List{}
	}
	tier := i.Offer.Terms.Tier
	if q.byTier[tier] == nil {
		q.byTier[tier] = list.New()
	}
	i.Queued = now
	i.tierElement = q.byTier[tier].PushBack(i)
	q.items[i.Key] = i
	q.classOf(i).push(i, now)
}

// classOf returns the class of an item. If an operator has changed the tier of a class, the items
// of the old tier stay in a class of their own until it is empty.
func (q *Queue) classOf(i *Item) *class {
	name := i.Offer.Terms.Class
	tier := i.Offer.Terms.Tier
	c, ok := q.byName[name]
	if ok && c.tier == tier {
		return c
	}
	c = newClass(name, tier)
	q.byName[name] = c
	q.classes = slices.DeleteFunc(q.classes, func(c *class) bool { return c.len() == 0 && q.byName[c.name] != c })
	q.classes = append(q.classes, c)
	slices.SortStableFunc(q.classes, func(a, b *class) int { return a.tier - b.tier })
	return c
}

func (q *Queue) evictBelow(tier int) *Item {
	lowest := -1
	for t, l := range q.byTier {
		if l.Len() > 0 {
			lowest = max(lowest, t)
		}
	}
	if lowest <= tier {
		return nil
	}
	i := q.byTier[lowest].Back().Value.(*Item)
	q.remove(i)
	return i
}

// Remove removes and returns an item that will not be served, nil if it is not in the queue.
func (q *Queue) Remove(k Key) *Item {
	i, ok := q.items[k]
	if !ok {
		return nil
	}
	q.remove(i)
	return i
}

func (q *Queue) remove(i *Item) {
	delete(q.items, i.Key)
	q.byTier[i.Offer.Terms.Tier].Remove(i.tierElement)
	i.class.remove(i)
}

// Take removes an item to serve it, and charges its team.
func (q *Queue) Take(i *Item) {
	q.remove(i)
	i.class.charge(i)
}

// Peek returns the item to serve next, or nil.
func (q *Queue) Peek(now time.Time, r Capacity) *Item {
	for _, c := range q.classes {
		c.expire(now)
	}
	if i := q.starving(now, r); i != nil {
		return i
	}
	return q.best()
}

// PeekTier returns the item of one tier to serve next, or nil.
func (q *Queue) PeekTier(tier int, now time.Time) *Item {
	var classes []*class
	for _, c := range q.classes {
		if c.tier == tier {
			c.expire(now)
			classes = append(classes, c)
		}
	}
	return bestOf(classes)
}

// best returns the next item of the highest tier that has one.
func (q *Queue) best() *Item {
	first := 0
	for first < len(q.classes) {
		last := first
		for last < len(q.classes) && q.classes[last].tier == q.classes[first].tier {
			last++
		}
		if i := bestOf(q.classes[first:last]); i != nil {
			return i
		}
		first = last
	}
	return nil
}

// bestOf returns the next item of the class with the earliest deadline that can be met. If all
// items are late, it returns that of the class with the longest waiting item.
func bestOf(classes []*class) *Item {
	var onTime, late *class
	for _, c := range classes {
		if c.byDeadline.Len() > 0 && (onTime == nil || c.byDeadline.First().Before(onTime.byDeadline.First())) {
			onTime = c
		}
		if c.teamHeaps[lateList].Len() > 0 && (late == nil || c.byArrival.First().Before(late.byArrival.First())) {
			late = c
		}
	}
	if onTime != nil {
		return onTime.head(onTimeList)
	}
	if late != nil {
		return late.head(lateList)
	}
	return nil
}

// starving returns the item past its class's starvation bound that is most overdue. Its class must
// not use its full floor share, and either no queued item of a higher tier misses its target because of it,
// or the wait has reached twice the bound.
func (q *Queue) starving(now time.Time, r Capacity) *Item {
	var mostOverdue *Item
	for _, c := range q.classes {
		if c.len() == 0 {
			continue
		}
		i := c.byArrival.First().Item
		at, bounded := i.StarveAt()
		if !bounded || at.After(now) || r.floorUsed(i) {
			continue
		}
		if i.starveLimit().After(now) && q.wouldMiss(c.tier, now, r.NextFree) {
			continue
		}
		if mostOverdue == nil || i.starveLimit().Before(mostOverdue.starveLimit()) {
			mostOverdue = i
		}
	}
	return mostOverdue
}

// floorUsed reports whether the class uses its full floor share. A class without running work may
// always start one request.
func (r Capacity) floorUsed(i *Item) bool {
	if r.Running == nil {
		return false
	}
	floor := r.Slots * i.Offer.Terms.FloorPermille / 1000
	return r.Running(i.Offer.Terms.Class) >= max(1, floor)
}

// wouldMiss reports whether a queued item above the tier misses its target if the
// next slot is assigned to another item.
func (q *Queue) wouldMiss(tier int, now time.Time, nextFree time.Duration) bool {
	for _, c := range q.classes {
		if c.tier >= tier {
			return false
		}
		if c.byDeadline.Len() > 0 && c.byDeadline.First().Deadline.Before(now.Add(nextFree)) {
			return true
		}
	}
	return false
}
