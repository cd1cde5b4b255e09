package queue

import (
	"container/list"
	"time"

	"foxcross.dev/coord/heaps"
)

// maxIdleTeams is how many teams without items a class keeps before it deletes those whose
// virtual start is not ahead of the virtual time.
const maxIdleTeams = 64

// class holds the items of one class, with weighted fair queueing over its teams.
type class struct {
	name        string
	tier        int
	teams       map[string]*team
	teamHeaps   [2]heaps.Heap[listedTeam] // teams with on-time items and with late items
	byDeadline  heaps.Heap[byDeadline]
	byArrival   heaps.Heap[byArrival]
	virtualTime float64 // virtual time of the last served item
}

// team holds the items of one team in a class.
type team struct {
	name         string
	virtualStart float64 // virtual start of the team's next item
	lists        [2]list.List
	index        [2]int // index in each of the class's teamHeaps, -1 when absent
}

// The lists of a team.
const (
	// onTimeList holds the items that can still meet their target.
	onTimeList = 0
	// lateList holds the items that can no longer meet it.
	lateList = 1
)

func listOf(late bool) int {
	if late {
		return lateList
	}
	return onTimeList
}

func newClass(name string, tier int) *class {
	return &class{name: name, tier: tier, teams: map[string]*team{}}
}

func (c *class) push(i *Item, now time.Time) {
	i.class = c
	i.team = c.teamOf(i.Offer.Terms.Team)
	i.late = i.Deadline.Before(now)
	i.deadlineIndex = -1
	c.link(i)
	if !i.late {
		c.byDeadline.Push(byDeadline{i})
	}
	c.byArrival.Push(byArrival{i})
}

func (c *class) teamOf(name string) *team {
	t, ok := c.teams[name]
	if ok {
		return t
	}
	c.deleteIdleTeams()
	t = &team{name: name, virtualStart: c.virtualTime, index: [2]int{-1, -1}}
	c.teams[name] = t
	return t
}

// deleteIdleTeams deletes teams that have no items and whose virtual start is not ahead of the
// virtual time.
func (c *class) deleteIdleTeams() {
	active := c.teamHeaps[onTimeList].Len() + c.teamHeaps[lateList].Len()
	if len(c.teams) < 2*active+maxIdleTeams {
		return
	}
	for n, t := range c.teams {
		if t.lists[onTimeList].Len()+t.lists[lateList].Len() == 0 && t.virtualStart <= c.virtualTime {
			delete(c.teams, n)
		}
	}
}

// link appends the item to its team's list.
func (c *class) link(i *Item) {
	t := i.team
	if t.lists[onTimeList].Len()+t.lists[lateList].Len() == 0 {
		t.virtualStart = max(t.virtualStart, c.virtualTime)
	}
	list := listOf(i.late)
	i.element = t.lists[list].PushBack(i)
	if t.index[list] < 0 {
		c.teamHeaps[list].Push(listedTeam{t, list})
	}
}

// unlink removes the item from its team's list.
func (c *class) unlink(i *Item) {
	t := i.team
	list := listOf(i.late)
	t.lists[list].Remove(i.element)
	i.element = nil
	if t.lists[list].Len() == 0 {
		c.teamHeaps[list].Remove(t.index[list])
	}
}

// expire moves the items whose deadline has passed to the late lists.
func (c *class) expire(now time.Time) {
	for c.byDeadline.Len() > 0 && c.byDeadline.First().Deadline.Before(now) {
		i := c.byDeadline.Remove(0).Item
		c.unlink(i)
		i.late = true
		c.link(i)
	}
}

func (c *class) remove(i *Item) {
	c.unlink(i)
	if i.deadlineIndex >= 0 {
		c.byDeadline.Remove(i.deadlineIndex)
	}
	c.byArrival.Remove(i.arrivalIndex)
}

// charge advances the virtual start of the team of a served item by the inverse of its weight.
func (c *class) charge(i *Item) {
	t := i.team
	c.virtualTime = max(c.virtualTime, t.virtualStart)
	t.virtualStart += 1 / float64(max(1, i.Offer.Terms.Weight))
	for list := range t.index {
		if t.index[list] >= 0 {
			c.teamHeaps[list].Fix(t.index[list])
		}
	}
}

func (c *class) len() int { return c.byArrival.Len() }

// listedTeam is a team in the heap for its on-time or its late items.
type listedTeam struct {
	*team
	list int
}

// Before orders the team first that has been served least for its weight.
func (t listedTeam) Before(o listedTeam) bool {
	if t.virtualStart != o.virtualStart {
		return t.virtualStart < o.virtualStart
	}
	return t.name < o.name
}

// Moved records the index in the heap.
func (t listedTeam) Moved(index int) { t.index[t.list] = index }

// head returns the next on-time or late item of the team that is served first.
func (c *class) head(list int) *Item {
	if c.teamHeaps[list].Len() == 0 {
		return nil
	}
	return c.teamHeaps[list].First().lists[list].Front().Value.(*Item)
}
