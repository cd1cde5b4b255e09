package eligibility_test

import (
	"container/heap"
	"time"
)

// agenda is what happens later, the soonest first. The zero value is empty.
type agenda[T any] struct{ entries entries[T] }

type entry[T any] struct {
	at    time.Time
	value T
}

type entries[T any] []entry[T]

func (e entries[T]) Len() int           { return len(e) }
func (e entries[T]) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e entries[T]) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)        { *e = append(*e, x.(entry[T])) }
func (e *entries[T]) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// add enters what happens at a time.
func (a *agenda[T]) add(at time.Time, value T) { heap.Push(&a.entries, entry[T]{at, value}) }

// next takes out what happens first, if it is due.
func (a *agenda[T]) next(now time.Time) (value T, due bool) {
	if len(a.entries) == 0 || a.entries[0].at.After(now) {
		return value, false
	}
	return heap.Pop(&a.entries).(entry[T]).value, true
}
