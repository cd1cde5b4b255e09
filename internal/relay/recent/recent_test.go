package recent_test

import (
	"fmt"

	"foxcross.dev/foxcross/internal/relay/recent"
)

func ExampleRing() {
	r := recent.New[int](3)
	for n := range 5 {
		r.Add(n)
	}
	fmt.Println(r.Values())
	// Output: [3 4 2]
}
