package limit_test

import (
	"fmt"
	"time"

	"foxcross.dev/coord/limit"
)

// Tokens take 10 ms and 1 ms more for each request that runs; a looser target allows
// more of them.
func ExampleLearned() {
	var l limit.Learned
	for n := range 200 {
		running := 1 + n%16
		l.Observe(running, time.Duration(10+running)*time.Millisecond)
	}
	fmt.Println(l.For(15*time.Millisecond) < l.For(25*time.Millisecond))
	// Output: true
}

// Two entries share a team's ten requests a second.
func ExampleTeams() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var t limit.Teams
	share := limit.Allowance{Rate: 10}.Share(2)
	taken := 0
	for range 10 {
		if ok, _ := t.Acquire(now, "gent", share); ok {
			taken++
		}
	}
	_, retry := t.Acquire(now, "gent", share)
	fmt.Println(taken, retry)
	// Output: 5 200ms
}
