package limit_test

import (
	"fmt"
	"time"

	"foxcross.dev/coord/limit"
)

// A token takes 10 ms, plus 1 ms for each concurrent request. A longer target allows more
// requests.
func ExampleEstimator() {
	var l limit.Estimator
	for n := range 200 {
		running := 1 + n%16
		l.Observe(running, time.Duration(10+running)*time.Millisecond)
	}
	fmt.Println(l.Limit(15*time.Millisecond) < l.Limit(25*time.Millisecond))
	// Output: true
}

// Two entries share a team's limit of 10 requests per second.
func ExampleTeams() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var t limit.Teams
	share := limit.Allowance{Rate: 10}.Share(2)
	acquired := 0
	for range 10 {
		if ok, _ := t.Acquire(now, "gent", share); ok {
			acquired++
		}
	}
	_, retry := t.Acquire(now, "gent", share)
	fmt.Println(acquired, retry)
	// Output: 5 200ms
}
