package eligibility_test

import (
	"container/heap"
	"iter"
	"time"
)

// eventQueue is a priority queue of events, ordered by time. The zero value is empty.
type eventQueue[T any] struct{ items timedItems[T] }

type timedItem[T any] struct {
	at    time.Time
	value T
}

type timedItems[T any] []timedItem[T]

func (e timedItems[T]) Len() int           { return len(e) }
func (e timedItems[T]) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e timedItems[T]) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *timedItems[T]) Push(x any)        { *e = append(*e, x.(timedItem[T])) }
func (e *timedItems[T]) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// add schedules a value for a time.
func (q *eventQueue[T]) add(at time.Time, value T) { heap.Push(&q.items, timedItem[T]{at, value}) }

// popUntil removes the events up to a time and returns them in order.
func (q *eventQueue[T]) popUntil(end time.Time) iter.Seq2[time.Time, T] {
	return func(yield func(time.Time, T) bool) {
		for len(q.items) > 0 && !q.items[0].at.After(end) {
			e := heap.Pop(&q.items).(timedItem[T])
			if !yield(e.at, e.value) {
				return
			}
		}
	}
}
