package eligibility_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
)

// after returns a time of the tests.
func after(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

// update is that of a response whose request was sent, and whose head was received, at times in ms.
func update(perSecond float64, sentMS, cameMS int) eligibility.LimitUpdate {
	return eligibility.LimitUpdate{PerSecond: perSecond, Sent: after(sentMS), Received: after(cameMS)}
}

// An endpoint names a limit, which ends with the first answer without one whose request was sent
// later.
func ExampleLimit() {
	var l eligibility.Limit
	l.Apply(update(2.5, 0, 100))
	fmt.Println(l.PerSecond())
	l.Apply(update(0, 50, 300)) // was sent before the limit was known
	fmt.Println(l.PerSecond())
	l.Apply(update(0, 200, 400))
	fmt.Println(l.PerSecond())
	// Output:
	// 2.5
	// 2.5
	// 0
}

func TestLimitUpdatesInAnyOrder(t *testing.T) {
	for _, c := range []struct {
		name    string
		updates []eligibility.LimitUpdate
		want    float64
	}{
		{"none is named", []eligibility.LimitUpdate{update(0, 0, 10)}, 0},
		{"named", []eligibility.LimitUpdate{update(2, 0, 10)}, 2},
		{"an answer without it that was asked for before ends nothing", []eligibility.LimitUpdate{update(2, 0, 100), update(0, 90, 200)}, 2},
		{"a later answer without it ends it", []eligibility.LimitUpdate{update(2, 0, 100), update(0, 200, 300)}, 0},
		{"it moves", []eligibility.LimitUpdate{update(2, 0, 100), update(3.4, 50, 200)}, 3.4},
		{"an older answer does not move it back", []eligibility.LimitUpdate{update(3.4, 50, 200), update(2, 0, 100)}, 3.4},
		{"an answer that was asked for before the end brings nothing back", []eligibility.LimitUpdate{update(2, 0, 100), update(0, 200, 300), update(2, 150, 400)}, 0},
		{"the same update twice", []eligibility.LimitUpdate{update(2, 0, 100), update(0, 200, 300), update(2, 0, 100)}, 0},
		{"named again", []eligibility.LimitUpdate{update(2, 0, 100), update(0, 200, 300), update(1, 350, 400)}, 1},
		{"no less than is kept to", []eligibility.LimitUpdate{update(1e-300, 0, 100)}, eligibility.MinLimit},
		{"no more than is kept to", []eligibility.LimitUpdate{update(1e300, 0, 100)}, eligibility.MaxLimit},
	} {
		var l eligibility.Limit
		for _, w := range c.updates {
			l.Apply(w)
		}
		if l.PerSecond() != c.want {
			t.Errorf("%s: %g, want %g", c.name, l.PerSecond(), c.want)
		}
	}
}

// TestLimitNeverComesBackByOlderUpdates guards against an older answer that brings back an ended limit.
func TestLimitNeverComesBackByOlderUpdates(t *testing.T) {
	const needEnds = 5000
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		var updates []eligibility.LimitUpdate
		for range 60 {
			sent := random.IntN(10_000)
			came := sent + random.IntN(3000)
			begun := sent + random.IntN(came-sent+1) // when the endpoint wrote the answer's head
			limit := 0.0
			if begun < needEnds {
				limit = 2
			}
			updates = append(updates, update(limit, sent, came))
		}
		var l eligibility.Limit
		var over time.Time
		for _, n := range append(random.Perm(len(updates)), random.Perm(len(updates))...) {
			w := updates[n]
			change := l.Apply(w)
			if change == eligibility.Ended {
				over = w.Sent
			}
			if change == eligibility.Began && w.Sent.Before(over) {
				t.Fatalf("seed %d: a request sent at %v brings back what one of %v ended", seed, w.Sent, over)
			}
		}
		l.Apply(update(0, 14_000, 14_100))
		if l.Limited() {
			t.Fatalf("seed %d: a limit that is over stands", seed)
		}
	}
}

func TestLimitIsToldAtOnceThenNowAndThen(t *testing.T) {
	var l eligibility.Limit
	if l.Announce(after(0), l.Apply(update(0, 0, 1))) {
		t.Error("it is told that there is no limit where there was none")
	}
	if !l.Announce(after(100), l.Apply(update(2, 0, 100))) {
		t.Error("a limit is not told")
	}
	if l.Announce(after(110), l.Apply(update(2, 0, 110))) || !l.Announce(after(400), l.Apply(update(2, 0, 400))) {
		t.Error("a limit that stands is not told now and then")
	}
	if !l.Announce(after(700), l.Apply(update(0, 600, 700))) || !l.Announce(after(1000), l.Apply(update(0, 900, 1000))) {
		t.Error("it is not told that a limit is over")
	}
	if l.Announce(after(100_000), l.Apply(update(0, 99_000, 100_000))) {
		t.Error("it is told for ever that a limit is over")
	}
}

// TestExtremeLimits guards against a limit that shuts an endpoint or spoils what is counted.
func TestExtremeLimits(t *testing.T) {
	for _, perSecond := range []float64{math.SmallestNonzeroFloat64, 1e-9, 0.3, 1e300, math.MaxFloat64} {
		for _, g := range []eligibility.Group{{Entries: 1, Live: 1}, {Self: 7, Entries: 620, Live: 620}, {Self: 7, Entries: 620, Live: 1}} {
			var l eligibility.Limit
			l.Apply(update(perSecond, 0, 0))
			allowed := false
			for at := 0; at < 20_000_000 && !allowed; at += 100 {
				chance := l.Chance(after(at), 100, g)
				if !(chance >= 0 && chance <= 1) {
					t.Fatalf("%g a second: the chance is %g", perSecond, chance)
				}
				allowed = l.Allows(after(at), g)
			}
			if !allowed {
				t.Errorf("%g a second, %+v: nothing is ever sent", perSecond, g)
			}
			if wait := l.Wait(after(0), g); wait < 0 {
				t.Errorf("%g a second: the wait is %v", perSecond, wait)
			}
		}
	}
}

// TestLimitHoldsBackNoOtherEndpoint holds that the zero value allows everything.
func TestLimitHoldsBackNoOtherEndpoint(t *testing.T) {
	var l eligibility.Limit
	l.Sent(after(0), true, eligibility.Group{})
	if !l.Allows(after(0), eligibility.Group{}) || l.Chance(after(0), 100, eligibility.Group{}) != 1 || l.Wait(after(0), eligibility.Group{}) != 0 {
		t.Error("an endpoint without a limit is held back")
	}
}
