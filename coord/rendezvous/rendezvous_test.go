package rendezvous_test

import (
	"fmt"
	"slices"

	"foxcross.dev/coord/rendezvous"
)

// Removing a member reassigns only the keys for which it ranked first.
func ExampleRank() {
	first := func(key string, members []string) string {
		return slices.MinFunc(members, func(a, b string) int {
			k := rendezvous.Hash(key)
			if rendezvous.Rank(k, rendezvous.Hash(a)) < rendezvous.Rank(k, rendezvous.Hash(b)) {
				return -1
			}
			return 1
		})
	}
	all := []string{"a", "b", "c", "d"}
	moved, lost := 0, 0
	for n := range 1000 {
		key := fmt.Sprint(n)
		before, after := first(key, all), first(key, all[:3])
		switch {
		case before == "d":
			lost++
		case before != after:
			moved++
		}
	}
	fmt.Println(lost > 200 && lost < 300, moved)
	// Output: true 0
}
