package heaps_test

import (
	"fmt"

	"foxcross.dev/coord/heaps"
)

// job is an item by its time.
type job struct {
	name  string
	at    int
	place int
}

func (j *job) Before(o *job) bool { return j.at < o.at }
func (j *job) Moved(place int)    { j.place = place }

func ExampleHeap() {
	var h heaps.Heap[*job]
	early, late := &job{name: "early", at: 1}, &job{name: "late", at: 9}
	h.Push(late)
	h.Push(early)
	fmt.Println(h.First().name)
	late.at = 0
	h.Fix(late.place)
	fmt.Println(h.First().name)
	h.Remove(late.place)
	fmt.Println(h.First().name, h.Len(), late.place)
	// Output:
	// early
	// late
	// early 1 -1
}
