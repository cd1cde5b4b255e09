package eligibility_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
)

// The limits of a service that was met: endpoints bear 9.1 requests a second for 3 s after a
// start, and at the most 1.5 times as many and 5 more.
const (
	perSecond  = 9.1
	overrun    = 1.5
	slack      = 5
	outermost  = perSecond*overrun + slack
	warmupTime = 3 * time.Second
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// rush is a rush of entries to endpoints that have become cold together.
type rush struct {
	entries, endpoints int
	rate               float64       // requests a second, of all entries
	delay              time.Duration // until other entries hear of a request
	deaf               float64       // share of the entries that hear of none and are not heard
	young              float64       // share of the entries that do not know how many there are
	onlyFirst          bool          // one entry feeds all endpoints
	evenShare          bool          // no entry counts what others send
	uncounted          bool          // a fault: nothing is counted
}

// told is that entries hear of a request.
type told struct {
	sent     time.Time
	endpoint int
	from     int
}

// play returns the most requests that any endpoint got within a second, how many all got in
// the first second, and how many requests found no endpoint.
func (r rush) play(seed uint64) (most, first, turnedAway int) {
	random := rand.New(rand.NewPCG(seed, 1))
	warmups := make([][]eligibility.Warmup, r.entries)
	groups := make([]eligibility.Group, r.entries)
	for n := range warmups {
		warmups[n] = make([]eligibility.Warmup, r.endpoints)
		groups[n] = eligibility.Group{Self: random.Uint64(), Entries: r.entries, Live: r.entries}
		if r.evenShare {
			groups[n].Live = 1
		}
		switch share := (float64(n) + 0.5) / float64(r.entries); {
		case share < r.deaf:
			groups[n].Live = 1
		case share < r.deaf+r.young:
			groups[n] = eligibility.Group{Self: groups[n].Self}
		}
		for e := range r.endpoints {
			warmups[n][e].Cold(origin, warmupTime)
		}
	}
	isDeaf := func(n int) bool { return (float64(n)+0.5)/float64(r.entries) < r.deaf }
	limit := eligibility.WarmupLimit{PerSecond: perSecond, Duration: warmupTime}
	sent := make([][]time.Time, r.endpoints)
	var news agenda[told]
	for now := origin; now.Before(origin.Add(warmupTime)); {
		now = now.Add(time.Duration(random.ExpFloat64() / r.rate * float64(time.Second)))
		for _, x := range news.until(now) {
			for n := range warmups {
				if n != x.from && !isDeaf(n) {
					warmups[n][x.endpoint].Sent(x.sent, limit, false, groups[n])
				}
			}
		}
		n := random.IntN(r.entries)
		if r.onlyFirst && n != 0 {
			turnedAway++
			continue
		}
		chosen := -1
		for _, e := range random.Perm(r.endpoints) {
			shown := r.uncounted || random.Float64() < warmups[n][e].Chance(now, limit, r.rate, groups[n])
			if shown && (r.uncounted || warmups[n][e].Allows(now, limit, groups[n])) {
				chosen = e
				break
			}
		}
		if chosen < 0 {
			turnedAway++
			continue
		}
		warmups[n][chosen].Sent(now, limit, true, groups[n])
		sent[chosen] = append(sent[chosen], now)
		if !isDeaf(n) {
			news.add(now.Add(r.delay), told{sent: now, endpoint: chosen, from: n})
		}
	}
	for _, all := range sent {
		for i, at := range all {
			if at.Sub(origin) < time.Second {
				first++
			}
			within := 0
			for _, later := range all[i:] {
				if later.Sub(at) < time.Second {
					within++
				}
			}
			most = max(most, within)
		}
	}
	return most, first, turnedAway
}

// TestWarmupLimit has entries rush to endpoints that are given back together, on links and
// with entries of all kinds, and expects that none gets more than the outermost bound.
func TestWarmupLimit(t *testing.T) {
	for _, c := range []struct {
		name string
		rush rush
	}{
		{"a data centre is given back", rush{entries: 23, endpoints: 11, rate: 141, delay: 20 * time.Millisecond}},
		{"in a burst", rush{entries: 23, endpoints: 11, rate: 400, delay: 20 * time.Millisecond}},
		{"one endpoint comes, all choose it", rush{entries: 23, endpoints: 1, rate: 400, delay: 20 * time.Millisecond}},
		{"over slow links", rush{entries: 23, endpoints: 1, rate: 400, delay: 60 * time.Millisecond}},
		{"a sixth of the entries hears of none", rush{entries: 23, endpoints: 1, rate: 400, delay: 20 * time.Millisecond, deaf: 0.17}},
		{"no entry hears of another", rush{entries: 23, endpoints: 1, rate: 400, delay: 20 * time.Millisecond, deaf: 1}},
		{"half have just started", rush{entries: 23, endpoints: 1, rate: 400, delay: 20 * time.Millisecond, young: 0.5}},
		{"the fleet, a data centre is given back", rush{entries: 384, endpoints: 100, rate: 450, delay: 20 * time.Millisecond}},
		{"the fleet, no entry hears of another", rush{entries: 384, endpoints: 1, rate: 450, delay: 20 * time.Millisecond, deaf: 1}},
		{"620 entries, a data centre is given back", rush{entries: 620, endpoints: 120, rate: 3000, delay: 20 * time.Millisecond}},
		{"620 entries, one endpoint comes", rush{entries: 620, endpoints: 1, rate: 3000, delay: 50 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				most, first, away := c.rush.play(seed)
				t.Logf("seed %d: at most %d a second, %d in the first second, %d turned away", seed, most, first, away)
				if float64(most) > outermost {
					t.Errorf("seed %d: %d requests in a second, %.1f are borne", seed, most, outermost)
				}
			}
		})
	}
}

// TestWarmupWays compares ways of sharing an endpoint's limit where a data centre is given
// back: what is told of requests, an even share for each entry, one entry that feeds it.
func TestWarmupWays(t *testing.T) {
	ways := []struct {
		name        string
		change      func(*rush)
		least, most int // requests that the endpoints get in the first second
	}{
		{"told", func(*rush) {}, 70, 11 * 10},
		{"even share", func(r *rush) { r.evenShare = true }, 20, 11 * 10},
		{"one feeds", func(r *rush) { r.onlyFirst = true }, 1, 20},
	}
	for _, w := range ways {
		r := rush{entries: 23, endpoints: 11, rate: 141, delay: 20 * time.Millisecond}
		w.change(&r)
		_, first, away := r.play(1)
		t.Logf("%s: %d requests in the first second, %d of some 423 turned away in 3 s", w.name, first, away)
		if first < w.least || first > w.most {
			t.Errorf("%s: %d requests in the first second, want %d to %d", w.name, first, w.least, w.most)
		}
	}
}

// TestWarmupFaultIsSeen plants the fault that nothing is counted.
func TestWarmupFaultIsSeen(t *testing.T) {
	most, _, _ := rush{entries: 23, endpoints: 11, rate: 400, delay: 20 * time.Millisecond, uncounted: true}.play(1)
	if float64(most) <= outermost {
		t.Errorf("%d requests in a second pass the check", most)
	}
}

func TestWarmup(t *testing.T) {
	limit := eligibility.WarmupLimit{PerSecond: 2}
	alone := eligibility.Group{Self: 1, Entries: 1, Live: 1}
	var w eligibility.Warmup
	if !w.Allows(origin, limit, eligibility.Group{}) {
		t.Error("the zero value is not warm")
	}
	w.Cold(origin, time.Second)
	w.Cold(origin, 0)
	if !w.Warming(origin) || w.Left(origin.Add(400*time.Millisecond)) != 600*time.Millisecond {
		t.Error("a shorter warm-up has replaced a longer one")
	}
	if w.Allows(origin, limit, eligibility.Group{}) {
		t.Error("an entry that knows of no number of entries sends")
	}
	if !w.Allows(origin, eligibility.WarmupLimit{}, eligibility.Group{}) {
		t.Error("there is no limit, and nothing is sent")
	}
	w.Sent(origin, limit, true, alone)
	if w.Allows(origin.Add(499*time.Millisecond), limit, alone) || !w.Allows(origin.Add(500*time.Millisecond), limit, alone) {
		t.Error("requests do not keep their distance")
	}
	w.Sent(origin.Add(500*time.Millisecond), limit, false, alone)
	if w.Allows(origin.Add(900*time.Millisecond), limit, alone) {
		t.Error("a third request within a second")
	}
	if !w.Allows(origin.Add(time.Second), limit, alone) || w.Warming(origin.Add(time.Second)) {
		t.Error("the warm-up does not end")
	}
}
