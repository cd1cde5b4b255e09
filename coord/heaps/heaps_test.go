package heaps_test

import (
	"fmt"

	"foxcross.dev/coord/heaps"
)

// job is an item that is ordered by its time.
type job struct {
	name  string
	at    int
	index int
}

func (j *job) Before(o *job) bool { return j.at < o.at }
func (j *job) Moved(index int)    { j.index = index }

func ExampleHeap() {
	var h heaps.Heap[*job]
	early, late := &job{name: "early", at: 1}, &job{name: "late", at: 9}
	h.Push(late)
	h.Push(early)
	fmt.Println(h.First().name)
	late.at = 0
	h.Fix(late.index)
	fmt.Println(h.First().name)
	h.Remove(late.index)
	fmt.Println(h.First().name, h.Len(), late.index)
	// Output:
	// early
	// late
	// early 1 -1
}
