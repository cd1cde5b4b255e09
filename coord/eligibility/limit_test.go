package eligibility_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
)

// after returns the time so many milliseconds after the origin.
func after(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

// update returns the update of a response. Its request was sent, and its header received, at the
// given times in ms after the origin.
func update(perSecond float64, sentMS, receivedMS int) eligibility.LimitUpdate {
	return eligibility.LimitUpdate{PerSecond: perSecond, Sent: after(sentMS), Received: after(receivedMS)}
}

// An endpoint advertises a limit. The limit ends with the first response without a limit whose
// request was sent after the advertisement was received.
func ExampleLimit() {
	var l eligibility.Limit
	l.Apply(update(2.5, 0, 100))
	fmt.Println(l.PerSecond())
	l.Apply(update(0, 50, 300)) // sent before the advertisement was received
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
		{"no limit", []eligibility.LimitUpdate{update(0, 0, 10)}, 0},
		{"limit", []eligibility.LimitUpdate{update(2, 0, 10)}, 2},
		{"a response without a limit to an earlier request does not end it", []eligibility.LimitUpdate{update(2, 0, 100), update(0, 90, 200)}, 2},
		{"a response without a limit to a later request ends it", []eligibility.LimitUpdate{update(2, 0, 100), update(0, 200, 300)}, 0},
		{"another limit replaces it", []eligibility.LimitUpdate{update(2, 0, 100), update(3.4, 50, 200)}, 3.4},
		{"an older response does not replace it", []eligibility.LimitUpdate{update(3.4, 50, 200), update(2, 0, 100)}, 3.4},
		{"a response to a request sent before the end does not restore it", []eligibility.LimitUpdate{update(2, 0, 100), update(0, 200, 300), update(2, 150, 400)}, 0},
		{"the same update twice", []eligibility.LimitUpdate{update(2, 0, 100), update(0, 200, 300), update(2, 0, 100)}, 0},
		{"advertised again after the end", []eligibility.LimitUpdate{update(2, 0, 100), update(0, 200, 300), update(1, 350, 400)}, 1},
		{"raised to the minimum", []eligibility.LimitUpdate{update(1e-300, 0, 100)}, eligibility.MinLimit},
		{"reduced to the maximum", []eligibility.LimitUpdate{update(1e300, 0, 100)}, eligibility.MaxLimit},
	} {
		var l eligibility.Limit
		for _, u := range c.updates {
			l.Apply(u)
		}
		if l.PerSecond() != c.want {
			t.Errorf("%s: %g, want %g", c.name, l.PerSecond(), c.want)
		}
	}
}

// TestOlderUpdatesNeverRestoreLimit guards against a limit that an older response restores after
// its end.
func TestOlderUpdatesNeverRestoreLimit(t *testing.T) {
	const limitEndMS = 5000
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		var updates []eligibility.LimitUpdate
		for range 60 {
			sent := random.IntN(10_000)
			received := sent + random.IntN(3000)
			responded := sent + random.IntN(received-sent+1) // when the endpoint wrote the response header
			limit := 0.0
			if responded < limitEndMS {
				limit = 2
			}
			updates = append(updates, update(limit, sent, received))
		}
		var l eligibility.Limit
		var endedAt time.Time
		for _, n := range append(random.Perm(len(updates)), random.Perm(len(updates))...) {
			u := updates[n]
			change := l.Apply(u)
			if change == eligibility.LimitRemoved {
				endedAt = u.Sent
			}
			if change == eligibility.LimitSet && u.Sent.Before(endedAt) {
				t.Fatalf("seed %d: the response to a request sent at %v restores the limit that one sent at %v ended", seed, u.Sent, endedAt)
			}
		}
		l.Apply(update(0, 14_000, 14_100))
		if l.Limited() {
			t.Fatalf("seed %d: the limit still applies after its end", seed)
		}
	}
}

func TestLimitAnnouncements(t *testing.T) {
	var l eligibility.Limit
	if l.Announce(after(0), l.Apply(update(0, 0, 1))) {
		t.Error("the absence of a limit is announced though there was none before")
	}
	if !l.Announce(after(100), l.Apply(update(2, 0, 100))) {
		t.Error("a new limit is not announced")
	}
	if l.Announce(after(110), l.Apply(update(2, 0, 110))) || !l.Announce(after(400), l.Apply(update(2, 0, 400))) {
		t.Error("a limit that applies is not announced at intervals")
	}
	if !l.Announce(after(700), l.Apply(update(0, 600, 700))) || !l.Announce(after(1000), l.Apply(update(0, 900, 1000))) {
		t.Error("the end of a limit is not announced")
	}
	if l.Announce(after(100_000), l.Apply(update(0, 99_000, 100_000))) {
		t.Error("the end of a limit is announced without end")
	}
}

// TestExtremeLimits guards against a limit that makes an endpoint ineligible for good, or that
// corrupts the counts.
func TestExtremeLimits(t *testing.T) {
	for _, perSecond := range []float64{math.SmallestNonzeroFloat64, 1e-9, 0.3, 1e300, math.MaxFloat64} {
		for _, g := range []eligibility.Group{{Entries: 1, Visible: 1}, {Self: 7, Entries: 620, Visible: 620}, {Self: 7, Entries: 620, Visible: 1}} {
			var l eligibility.Limit
			l.Apply(update(perSecond, 0, 0))
			allowed := false
			for at := 0; at < 20_000_000 && !allowed; at += 100 {
				chance := l.CandidateProbability(after(at), 100, g)
				if !(chance >= 0 && chance <= 1) {
					t.Fatalf("%g requests/s: the chance is %g", perSecond, chance)
				}
				allowed = l.Allows(after(at), g)
			}
			if !allowed {
				t.Errorf("%g requests/s, %+v: no request is ever allowed", perSecond, g)
			}
			if wait := l.Wait(after(0), g); wait < 0 {
				t.Errorf("%g requests/s: the wait is %v", perSecond, wait)
			}
		}
	}
}

func TestZeroLimitAllowsEverything(t *testing.T) {
	var l eligibility.Limit
	l.RecordSend(after(0), true, eligibility.Group{})
	if !l.Allows(after(0), eligibility.Group{}) || l.CandidateProbability(after(0), 100, eligibility.Group{}) != 1 || l.Wait(after(0), eligibility.Group{}) != 0 {
		t.Error("requests to an endpoint without a limit are limited")
	}
}
