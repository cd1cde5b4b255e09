// Package heaps holds a heap whose items know their place, so that any of them
// can be moved or removed in logarithmic time.
package heaps

import "container/heap"

// Item is something in a heap.
type Item[T any] interface {
	// Before tells whether the item comes out before another.
	Before(other T) bool
	// Moved notes the item's place, -1 when it has left.
	Moved(place int)
}

// Heap is a heap of items; the first comes out before all others. The zero
// value is empty.
type Heap[T Item[T]] struct {
	items items[T]
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// First returns the first item; the heap must not be empty.
func (h *Heap[T]) First() T { return h.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(i T) { heap.Push(&h.items, i) }

// Fix moves the item at a place whose order has changed.
func (h *Heap[T]) Fix(place int) { heap.Fix(&h.items, place) }

// Remove takes out the item at a place.
func (h *Heap[T]) Remove(place int) T { return heap.Remove(&h.items, place).(T) }

// items is what container/heap works on.
type items[T Item[T]] []T

func (s items[T]) Len() int           { return len(s) }
func (s items[T]) Less(a, b int) bool { return s[a].Before(s[b]) }
func (s items[T]) Swap(a, b int) {
	s[a], s[b] = s[b], s[a]
	s[a].Moved(a)
	s[b].Moved(b)
}

// Push is for container/heap.
func (s *items[T]) Push(x any) {
	i := x.(T)
	i.Moved(len(*s))
	*s = append(*s, i)
}

// Pop is for container/heap.
func (s *items[T]) Pop() any {
	last := len(*s) - 1
	i := (*s)[last]
	var none T
	(*s)[last] = none
	*s = (*s)[:last]
	i.Moved(-1)
	return i
}
