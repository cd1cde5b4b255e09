package budget_test

import (
	"fmt"
	"testing"
	"time"

	"foxcross.dev/coord/budget"

	"pgregory.net/rapid"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleBudget() {
	b := budget.Budget{Rules: budget.Rules{Ratio: 0.2, Window: 10 * time.Second, Slack: 10}}
	allowed := 0
	for range 20 {
		b.Request(origin)
		if b.Retry(origin, 2) {
			allowed++
		}
	}
	fmt.Println(allowed, "of 20 retries")
	// Output: 4 of 20 retries
}

// TestSumStaysBelow checks that the retries of all entries stay within the rules in every window
// if each entry retries as often as allowed and one of them restarts.
func TestSumStaysBelow(t *testing.T) {
	rules := budget.Rules{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}
	rapid.Check(t, func(r *rapid.T) {
		entries := rapid.IntRange(1, 6).Draw(r, "entries")
		all := make([]budget.Budget, entries)
		for n := range all {
			all[n].Rules = rules
		}
		restarted := rapid.IntRange(-1, entries-1).Draw(r, "restarted")
		var requests, retries []time.Time
		now := origin
		for step := range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(r, "ms")) * time.Millisecond)
			if step == 200 && restarted >= 0 {
				all[restarted] = budget.Budget{Rules: rules}
			}
			n := rapid.IntRange(0, entries-1).Draw(r, "entry")
			all[n].Request(now)
			requests = append(requests, now)
			for range 3 {
				if all[n].Retry(now, entries) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			in := func(times []time.Time) int {
				count := 0
				for _, at := range times {
					if !at.After(end) && end.Sub(at) < rules.Window {
						count++
					}
				}
				return count
			}
			if bound := rules.Ratio*float64(in(requests)) + float64(rules.Slack); float64(in(retries)) > bound {
				r.Fatalf("%d retries in a window of %d requests", in(retries), in(requests))
			}
		}
	})
}

func TestZeroValueAllowsNothing(t *testing.T) {
	var b budget.Budget
	b.Request(origin)
	if b.Retry(origin, 1) {
		t.Error("a budget without rules allowed a retry")
	}
}
