package queue

import (
	"container/list"
	"slices"
	"time"
)

// DefaultBound is the length of a queue whose Bound is zero.
const DefaultBound = 4096

// Queue holds the waiting offers of one target. The zero value is an empty
// queue with the default bound. It is not safe for concurrent use.
type Queue struct {
	Bound int // most items held

	items   map[Key]*Item
	classes []*class // by tier, then by name
	byName  map[string]*class
	recent  map[int]*list.List // per tier, in order of arrival here
}

// Room is what the guard needs to know of the endpoints.
type Room struct {
	Slots    int                    // concurrent work the endpoints allow
	NextFree time.Duration          // expected time between two slots that fall free
	Running  func(class string) int // running work of the class, held slots included
}

// Len returns the number of waiting offers.
func (q *Queue) Len() int { return len(q.items) }

// LenTier returns the number of waiting offers of one tier.
func (q *Queue) LenTier(tier int) int {
	if l, ok := q.recent[tier]; ok {
		return l.Len()
	}
	return 0
}

// Get returns the item with the key, or nil.
func (q *Queue) Get(k Key) *Item { return q.items[k] }

// Items returns every waiting item in no order.
func (q *Queue) Items() []*Item {
	all := make([]*Item, 0, len(q.items))
	for _, i := range q.items {
		all = append(all, i)
	}
	return all
}

// Push adds an item. A full queue evicts the latest arrival of its lowest
// tier, if that is lower than the item's; else it refuses the item.
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
		q.recent = map[int]*list.List{}
	}
	tier := i.Offer.Terms.Tier
	if q.recent[tier] == nil {
		q.recent[tier] = list.New()
	}
	i.Queued = now
	i.recent = q.recent[tier].PushBack(i)
	q.items[i.Key] = i
	q.classOf(i).push(i, now)
}

// classOf returns the class of an item. A class whose tier an operator has
// changed keeps apart from its former self until that has drained.
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
	for t, l := range q.recent {
		if l.Len() > 0 {
			lowest = max(lowest, t)
		}
	}
	if lowest <= tier {
		return nil
	}
	i := q.recent[lowest].Back().Value.(*Item)
	q.remove(i)
	return i
}

// Remove takes out an item that is not to be served, if it is there.
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
	q.recent[i.Offer.Terms.Tier].Remove(i.recent)
	i.class.remove(i)
}

// Take removes an item that is served and charges its team.
func (q *Queue) Take(i *Item) {
	q.remove(i)
	i.class.charge(i)
}

// Peek returns the item to serve next, or nil.
func (q *Queue) Peek(now time.Time, r Room) *Item {
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

// bestOf serves the class with the earliest deadline that can be met, and
// where all are late the class that has waited longest.
func bestOf(classes []*class) *Item {
	var fresh, late *class
	for _, c := range classes {
		if c.due.Len() > 0 && (fresh == nil || c.due.First().Before(fresh.due.First())) {
			fresh = c
		}
		if c.ready[lateList].Len() > 0 && (late == nil || c.oldest.First().Before(late.oldest.First())) {
			late = c
		}
	}
	if fresh != nil {
		return fresh.head(freshList)
	}
	if late != nil {
		return late.head(lateList)
	}
	return nil
}

// starving returns the longest waiting item past its class's bound, if the
// class's floor share is not used up and no higher waiter would miss its
// target by it, or if the wait has reached twice the bound.
func (q *Queue) starving(now time.Time, r Room) *Item {
	var worst *Item
	for _, c := range q.classes {
		if c.len() == 0 {
			continue
		}
		i := c.oldest.First().Item
		at, bounded := i.StarveAt()
		if !bounded || at.After(now) || r.floorUsed(i) {
			continue
		}
		if i.starveLimit().After(now) && q.wouldMiss(c.tier, now, r.NextFree) {
			continue
		}
		if worst == nil || i.starveLimit().Before(worst.starveLimit()) {
			worst = i
		}
	}
	return worst
}

// floorUsed tells whether the class runs as much as its floor share allows; a
// class that runs nothing may always start one.
func (r Room) floorUsed(i *Item) bool {
	if r.Running == nil {
		return false
	}
	floor := r.Slots * i.Offer.Terms.FloorPermille / 1000
	return r.Running(i.Offer.Terms.Class) >= max(1, floor)
}

// wouldMiss tells whether a waiter above the tier misses its target when the
// next slot goes to another.
func (q *Queue) wouldMiss(tier int, now time.Time, nextFree time.Duration) bool {
	for _, c := range q.classes {
		if c.tier >= tier {
			return false
		}
		if c.due.Len() > 0 && c.due.First().Deadline.Before(now.Add(nextFree)) {
			return true
		}
	}
	return false
}
