package freshness_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/freshness"
)

var startedAt = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleEchoes() {
	const self = 7
	sentAt := startedAt.Add(5 * time.Second)
	stamp := freshness.StampAt(startedAt, sentAt)

	// A peer returns the stamp beside a claim: its data was the newest 40 ms before.
	var echoes freshness.Echoes
	echoes = echoes.With(self, stamp)

	// The answer is read late, after this process stood still.
	readAt := sentAt.Add(3 * time.Second)
	composedAfter, known := echoes.ComposedAfter(self, startedAt, readAt)
	newestAt, _ := freshness.NewestAt(composedAfter, 40)
	fmt.Println(known, newestAt.Sub(startedAt))
	// Output: true 4.959s
}

func TestEchoesOfOthersAndOfTheFutureProveNothing(t *testing.T) {
	now := startedAt.Add(time.Second)
	var none freshness.Echoes
	for name, e := range map[string]freshness.Echoes{
		"none":       none,
		"of another": none.With(8, freshness.StampAt(startedAt, now)),
		"later":      none.With(7, freshness.StampAt(startedAt, now.Add(time.Second))),
		"zero":       none.With(7, 0),
		"cut off":    none.With(7, freshness.StampAt(startedAt, now))[:15],
	} {
		if at, known := e.ComposedAfter(7, startedAt, now); known {
			t.Errorf("%s: composed after %v", name, at)
		}
	}
	if _, known := freshness.NewestAt(now, -1); known {
		t.Error("a negative age dates the data")
	}
}

// TestClaimsAreNeverDatedTooLate guards against ages that count from when a message was read.
func TestClaimsAreNeverDatedTooLate(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		wait := func() time.Duration { return time.Duration(random.IntN(4000)) * time.Millisecond }
		stampedAt := startedAt.Add(wait())
		echoes := freshness.Echoes(nil).With(7, freshness.StampAt(startedAt, stampedAt))
		claimedAt := stampedAt.Add(wait() + wait())
		newest := claimedAt.Add(-wait())
		age := claimedAt.Sub(newest).Milliseconds()
		readAt := claimedAt.Add(wait() + wait())
		composedAfter, known := echoes.ComposedAfter(7, startedAt, readAt)
		if !known {
			t.Fatalf("seed %d: no echo", seed)
		}
		if at, _ := freshness.NewestAt(composedAfter, age); at.After(newest) {
			t.Fatalf("seed %d: dated %v too late", seed, at.Sub(newest))
		}
	}
}
