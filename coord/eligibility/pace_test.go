package eligibility_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
)

// What an endpoint that names a limit bears: so many times what the limit allows in any window, and
// so many requests besides.
const (
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
)

// shared is a rate of one endpoint that entries share, in virtual time.
type shared struct {
	entries int
	rate    float64       // that the endpoint bears
	demand  float64       // requests a second that would go there
	service float64       // requests a second that come to the service, 0 for demand
	later   float64       // demand from the middle on, 0 for no change
	delay   time.Duration // until other entries hear of a request, at the most
	varied  bool          // each takes a part of the delay
	loss    float64       // share of the news that is lost
	deaf    float64       // share of the entries that hear of none and are not heard
	split   float64       // share of the entries that hear only of each other
	restart time.Duration // each so often one entry forgets all, and knows of no others for a second
	lasts   time.Duration
	fault   func(entry int) (sends bool) // planted: the entry sends without asking
}

// heard is that an entry hears of a request.
type heard struct {
	to   int
	sent time.Time
}

// side returns which entries hear of each other: 0 for most, 1 for the others, -1 for none.
func (s shared) side(n int) int {
	switch share := (float64(n) + 0.5) / float64(s.entries); {
	case share < s.deaf:
		return -1
	case share < s.deaf+s.split:
		return 1
	default:
		return 0
	}
}

// groups returns what each entry knows of the others.
func (s shared) groups(random *rand.Rand) []eligibility.Group {
	live := map[int]int{}
	for n := range s.entries {
		live[s.side(n)]++
	}
	live[-1] = 1
	all := make([]eligibility.Group, s.entries)
	for n := range all {
		all[n] = eligibility.Group{Self: random.Uint64(), Entries: s.entries, Live: live[s.side(n)]}
	}
	return all
}

// play returns when requests were sent.
func (s shared) play(seed uint64) []time.Time {
	random := rand.New(rand.NewPCG(seed, 2))
	paces := make([]eligibility.Pace, s.entries)
	groups := s.groups(random)
	young := map[int]time.Time{}
	arrivals := max(s.service, s.demand, s.later)
	restarted := origin
	var sent []time.Time
	var news agenda[heard]
	for now := origin; now.Before(origin.Add(s.lasts)); {
		demand := s.demand
		if s.later > 0 && now.Sub(origin) > s.lasts/2 {
			demand = s.later
		}
		now = now.Add(time.Duration(random.ExpFloat64() / demand * float64(time.Second)))
		for _, x := range news.until(now) {
			paces[x.to].Sent(x.sent, s.rate, false, groups[x.to])
		}
		if s.restart > 0 && now.Sub(restarted) > s.restart {
			restarted = now
			n := random.IntN(s.entries)
			paces[n] = eligibility.Pace{}
			young[n] = now.Add(time.Second)
		}
		n := random.IntN(s.entries)
		group := groups[n]
		if now.Before(young[n]) {
			group.Entries = 0
		}
		p := &paces[n]
		asks := s.fault == nil || !s.fault(n)
		if asks && (random.Float64() >= p.Chance(now, s.rate, arrivals, group) || !p.Allows(now, s.rate, group)) {
			continue
		}
		sent = append(sent, now)
		p.Sent(now, s.rate, true, group)
		for to := range paces {
			if to == n || s.side(n) < 0 || s.side(to) != s.side(n) || random.Float64() < s.loss {
				continue
			}
			delay := s.delay
			if s.varied {
				delay = time.Duration(random.Float64() * float64(delay))
			}
			news.add(now.Add(delay), heard{to: to, sent: now})
		}
	}
	return sent
}

// mostWithin returns the most requests within any window.
func mostWithin(sent []time.Time, window time.Duration) int {
	most, first := 0, 0
	for n, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// used returns the share of the rate that was used.
func (s shared) used(sent []time.Time) float64 {
	return float64(len(sent)) / (s.rate * s.lasts.Seconds())
}

// allowed is the most that the endpoint bears within a window.
func (s shared) allowed() float64 {
	return limitOverrun*s.rate*limitWindow.Seconds() + limitSlack
}

// paceSeeds is how many plays each case has.
const paceSeeds = 3

// TestPaceHoldsTheBound guards against entries that together send more than an endpoint bears.
func TestPaceHoldsTheBound(t *testing.T) {
	const near, far, late = 20 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond
	for _, c := range []struct {
		name string
		play shared
	}{
		{"two entries", shared{entries: 2, rate: 2, demand: 200, delay: near}},
		{"as much as it bears", shared{entries: 23, rate: 2, demand: 2, delay: near}},
		{"fifteen times as much", shared{entries: 23, rate: 2, demand: 30, delay: near}},
		{"a rate with decimals", shared{entries: 23, rate: 3.4, demand: 340, delay: far}},
		{"below one a second", shared{entries: 23, rate: 0.3, demand: 30, delay: far}},
		{"a high rate", shared{entries: 23, rate: 50, demand: 5000, delay: far}},
		{"news of varied age", shared{entries: 23, rate: 2, demand: 200, delay: late, varied: true}},
		{"a third of the news is lost", shared{entries: 23, rate: 2, demand: 200, delay: far, loss: 0.3}},
		{"a fifth hears of none", shared{entries: 23, rate: 2, demand: 30, delay: near, deaf: 0.2}},
		{"no entry hears of another", shared{entries: 23, rate: 2, demand: 30, delay: near, deaf: 1}},
		{"cut in two", shared{entries: 23, rate: 2, demand: 200, delay: near, split: 0.4}},
		{"entries start again", shared{entries: 23, rate: 2, demand: 100, delay: far, restart: 2 * time.Second}},
		{"the demand jumps", shared{entries: 23, rate: 2, demand: 1, later: 50, delay: far}},
		{"384 entries", shared{entries: 384, rate: 2, demand: 200, delay: far}},
		{"384 entries, below one a second", shared{entries: 384, rate: 0.3, demand: 30, delay: far}},
		{"384 entries, half hear of none", shared{entries: 384, rate: 2, demand: 30, delay: far, deaf: 0.5}},
		{"384 entries, news of varied age", shared{entries: 384, rate: 3.4, demand: 340, delay: late, varied: true}},
		{"620 entries, one of many endpoints", shared{entries: 620, rate: 2, demand: 30, service: 22_000, delay: far}},
		{"620 entries, a high rate", shared{entries: 620, rate: 50, demand: 200, service: 22_000, delay: far}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.play.lasts = 16 * time.Second
			for seed := range uint64(paceSeeds) {
				sent := c.play.play(seed)
				most := mostWithin(sent, limitWindow)
				t.Logf("seed %d: at most %d of %.0f in %v, %.2f of the rate used", seed, most, c.play.allowed(), limitWindow, c.play.used(sent))
				if float64(most) > c.play.allowed() {
					t.Errorf("seed %d: %d requests in %v, of %.1f", seed, most, limitWindow, c.play.allowed())
				}
			}
		})
	}
}

// TestPaceWithLateNews has all news come half a second late, under a hundred times the rate.
func TestPaceWithLateNews(t *testing.T) {
	s := shared{entries: 384, rate: 2, demand: 200, delay: 500 * time.Millisecond, lasts: 40 * time.Second}
	for seed := range uint64(20) {
		if most := mostWithin(s.play(seed), limitWindow); float64(most) > s.allowed() {
			t.Errorf("seed %d: %d requests in %v, of %.1f", seed, most, limitWindow, s.allowed())
		}
	}
}

// TestPaceUsesTheRate guards against a rate that is left unused where entries hear of each other.
func TestPaceUsesTheRate(t *testing.T) {
	const leastUsed = 0.8
	for _, s := range []shared{
		{entries: 5, rate: 2, demand: 30, delay: 20 * time.Millisecond},
		{entries: 23, rate: 2, demand: 30, delay: 20 * time.Millisecond},
		{entries: 23, rate: 0.3, demand: 30, delay: 20 * time.Millisecond},
		{entries: 23, rate: 50, demand: 100, delay: 20 * time.Millisecond},
		{entries: 384, rate: 2, demand: 30, delay: 50 * time.Millisecond},
		{entries: 384, rate: 50, demand: 100, delay: 50 * time.Millisecond},
		{entries: 620, rate: 2, demand: 30, service: 300, delay: 50 * time.Millisecond},
	} {
		s.lasts = 40 * time.Second
		used := 0.0
		for seed := range uint64(paceSeeds) {
			used += s.used(s.play(seed)) / paceSeeds
		}
		t.Logf("%d entries, %g a second: %.2f used", s.entries, s.rate, used)
		if used < leastUsed {
			t.Errorf("%d entries, %g a second: %.2f of the rate is used, want %.1f", s.entries, s.rate, used, leastUsed)
		}
	}
}

// TestPaceFaultsAreSeen plants faults that the bound has to show.
func TestPaceFaultsAreSeen(t *testing.T) {
	for _, c := range []struct {
		name string
		play shared
	}{
		{"one entry in five does not ask", shared{entries: 5, rate: 2, demand: 60, delay: 20 * time.Millisecond,
			fault: func(entry int) bool { return entry == 0 }}},
		{"no news comes, and all count as heard", shared{entries: 23, rate: 2, demand: 200, delay: 20 * time.Millisecond, loss: 1}},
	} {
		c.play.lasts = 12 * time.Second
		if most := mostWithin(c.play.play(1), limitWindow); float64(most) <= c.play.allowed() {
			t.Errorf("%s: %d requests in %v pass the check", c.name, most, limitWindow)
		}
	}
}
