package health_test

import (
	"fmt"
	"time"

	"foxcross.dev/coord/health"
)

// An endpoint is ejected after three consecutive failures, and probed with one request
// after a second.
func ExampleCircuit() {
	var c health.Circuit
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 3 {
		c.Failed(now, health.MayEject(0, 4))
	}
	fmt.Println(c.State(), c.Allows(now, 0))
	now = now.Add(time.Second)
	fmt.Println(c.Allows(now, 0), c.State())
	c.Succeeded(now)
	fmt.Println(c.State())
	// Output:
	// ejected false
	// true probing
	// healthy
}
