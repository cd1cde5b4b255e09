// Package heaps implements a heap whose items track their index, so that any item
// can be moved or removed in logarithmic time.
package heaps

import "container/heap"

// Item is an item of a heap.
type Item[T any] interface {
	// Before reports whether the item is ordered before other.
	Before(other T) bool
	// Moved is called with the item's new index, -1 when it has been removed.
	Moved(index int)
}

// Heap is a min-heap of items by Before. The zero value is empty.
type Heap[T Item[T]] struct {
	items items[T]
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// First returns the first item. The heap must not be empty.
func (h *Heap[T]) First() T { return h.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(i T) { heap.Push(&h.items, i) }

// Fix restores the order of the heap after the item at index has changed.
func (h *Heap[T]) Fix(index int) { heap.Fix(&h.items, index) }

// Remove removes and returns the item at index.
func (h *Heap[T]) Remove(index int) T { return heap.Remove(&h.items, index).(T) }

// items implements heap.Interface.
type items[T Item[T]] []T

func (s items[T]) Len() int           { return len(s) }
func (s items[T]) Less(a, b int) bool { return s[a].Before(s[b]) }
func (s items[T]) Swap(a, b int) {
	s[a], s[b] = s[b], s[a]
	s[a].Moved(a)
	s[b].Moved(b)
}

// Push implements heap.Interface.
func (s *items[T]) Push(x any) {
	i := x.(T)
	i.Moved(len(*s))
	*s = append(*s, i)
}

// Pop implements heap.Interface.
func (s *items[T]) Pop() any {
	last := len(*s) - 1
	i := (*s)[last]
	var zero T
	(*s)[last] = zero
	*s = (*s)[:last]
	i.Moved(-1)
	return i
}
