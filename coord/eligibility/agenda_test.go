package eligibility_test

import (
	"container/heap"
	"iter"
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

// until takes out what happens up to a time, in order.
func (a *agenda[T]) until(end time.Time) iter.Seq2[time.Time, T] {
	return func(yield func(time.Time, T) bool) {
		for len(a.entries) > 0 && !a.entries[0].at.After(end) {
			e := heap.Pop(&a.entries).(entry[T])
			if !yield(e.at, e.value) {
				return
			}
		}
	}
}
