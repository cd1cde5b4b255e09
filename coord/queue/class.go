package queue

import (
	"container/heap"
	"container/list"
	"time"
)

// idleTeams is how many teams without items a class remembers before it
// forgets those that hold no lead over the others.
const idleTeams = 64

// class holds the items of one class, shared fairly between its teams.
type class struct {
	name    string
	tier    int
	teams   map[string]*team
	fresh   teamHeap // teams with items that can meet their target
	late    teamHeap // teams with late items
	due     byDeadline
	oldest  byArrival
	virtual float64 // virtual time of the last pick
}

// team is one team's items in a class.
type team struct {
	name    string
	virtual float64 // virtual start of the team's next item
	lists   [2]list.List
	index   [2]int // place in the class's fresh and late heaps, -1 when absent
}

const (
	freshList = 0
	lateList  = 1
)

func listOf(late bool) int {
	if late {
		return lateList
	}
	return freshList
}

func newClass(name string, tier int) *class {
	return &class{
		name:  name,
		tier:  tier,
		teams: map[string]*team{},
		fresh: teamHeap{list: freshList},
		late:  teamHeap{list: lateList},
	}
}

// heapOf returns the heap of the teams that hold fresh or late items.
func (c *class) heapOf(list int) *teamHeap {
	if list == lateList {
		return &c.late
	}
	return &c.fresh
}

func (c *class) push(i *Item, now time.Time) {
	i.class = c
	i.team = c.teamOf(i.Offer.Terms.Team)
	i.late = i.Deadline.Before(now)
	i.due = -1
	c.link(i)
	if !i.late {
		heap.Push(&c.due, i)
	}
	heap.Push(&c.oldest, i)
}

func (c *class) teamOf(name string) *team {
	t, ok := c.teams[name]
	if ok {
		return t
	}
	c.forgetIdle()
	t = &team{name: name, virtual: c.virtual, index: [2]int{-1, -1}}
	c.teams[name] = t
	return t
}

// forgetIdle drops teams that have no items and no lead to be held against them.
func (c *class) forgetIdle() {
	active := c.fresh.Len() + c.late.Len()
	if len(c.teams) < 2*active+idleTeams {
		return
	}
	for n, t := range c.teams {
		if t.lists[freshList].Len()+t.lists[lateList].Len() == 0 && t.virtual <= c.virtual {
			delete(c.teams, n)
		}
	}
}

// link puts the item at the end of its team's list.
func (c *class) link(i *Item) {
	t := i.team
	if t.lists[freshList].Len()+t.lists[lateList].Len() == 0 {
		t.virtual = max(t.virtual, c.virtual)
	}
	list := listOf(i.late)
	i.element = t.lists[list].PushBack(i)
	if t.index[list] < 0 {
		heap.Push(c.heapOf(list), t)
	}
}

// unlink takes the item out of its team's list.
func (c *class) unlink(i *Item) {
	t := i.team
	list := listOf(i.late)
	t.lists[list].Remove(i.element)
	i.element = nil
	if t.lists[list].Len() == 0 {
		heap.Remove(c.heapOf(list), t.index[list])
	}
}

// expire moves items past their deadline to the late lists.
func (c *class) expire(now time.Time) {
	for len(c.due) > 0 && c.due[0].Deadline.Before(now) {
		i := heap.Pop(&c.due).(*Item)
		c.unlink(i)
		i.late = true
		c.link(i)
	}
}

func (c *class) remove(i *Item) {
	c.unlink(i)
	if i.due >= 0 {
		heap.Remove(&c.due, i.due)
	}
	heap.Remove(&c.oldest, i.starve)
}

// charge moves the team of a served item back in the order.
func (c *class) charge(i *Item) {
	t := i.team
	c.virtual = max(c.virtual, t.virtual)
	t.virtual += 1 / float64(max(1, i.Offer.Terms.Weight))
	for list := range t.index {
		if t.index[list] >= 0 {
			heap.Fix(c.heapOf(list), t.index[list])
		}
	}
}

func (c *class) len() int { return len(c.oldest) }

// teamHeap orders teams by virtual time.
type teamHeap struct {
	teams []*team
	list  int
}

func (h teamHeap) Len() int { return len(h.teams) }
func (h teamHeap) Less(a, b int) bool {
	if h.teams[a].virtual != h.teams[b].virtual {
		return h.teams[a].virtual < h.teams[b].virtual
	}
	return h.teams[a].name < h.teams[b].name
}

func (h teamHeap) Swap(a, b int) {
	h.teams[a], h.teams[b] = h.teams[b], h.teams[a]
	h.teams[a].index[h.list] = a
	h.teams[b].index[h.list] = b
}

// Push is for container/heap.
func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.index[h.list] = len(h.teams)
	h.teams = append(h.teams, t)
}

// Pop is for container/heap.
func (h *teamHeap) Pop() any {
	last := len(h.teams) - 1
	t := h.teams[last]
	h.teams[last] = nil
	h.teams = h.teams[:last]
	t.index[h.list] = -1
	return t
}

// head returns the next item of the team that is served first.
func (h teamHeap) head() *Item {
	if len(h.teams) == 0 {
		return nil
	}
	return h.teams[0].lists[h.list].Front().Value.(*Item)
}
