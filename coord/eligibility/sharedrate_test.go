package eligibility_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
)

// The bound on the requests to an endpoint with a limit, in any window of limitWindow: limitOverrun
// times what the limit allows, plus limitSlack requests.
const (
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
)

// sharedRateSimulation simulates, in virtual time, entries that share the rate of one endpoint.
type sharedRateSimulation struct {
	entries       int
	rate          float64       // shared rate, in requests per second
	demand        float64       // requests per second without a limit
	service       float64       // requests per second that arrive at the service, 0 for demand
	laterDemand   float64       // demand in the second half, 0 for no change
	delay         time.Duration // maximum delay of a report to other entries
	variableDelay bool          // the delay is uniform between 0 and the maximum
	loss          float64       // fraction of the reports that is lost
	isolated      float64       // fraction of the entries that are isolated from all others
	partitioned   float64       // fraction of the entries in a second network partition
	restart       time.Duration // interval at which an entry loses its state, and its group for 1 s
	duration      time.Duration
	fault         func(entry int) (sends bool) // injected fault: the entry sends without a check
}

// requestReport is the report of a request to one entry.
type requestReport struct {
	to   int
	sent time.Time
}

// partition returns the network partition of an entry: 0 or 1, or -1 for an isolated entry.
func (s sharedRateSimulation) partition(n int) int {
	switch share := (float64(n) + 0.5) / float64(s.entries); {
	case share < s.isolated:
		return -1
	case share < s.isolated+s.partitioned:
		return 1
	default:
		return 0
	}
}

// groups returns the view that each entry has of the group.
func (s sharedRateSimulation) groups(random *rand.Rand) []eligibility.Group {
	visible := map[int]int{}
	for n := range s.entries {
		visible[s.partition(n)]++
	}
	visible[-1] = 1
	all := make([]eligibility.Group, s.entries)
	for n := range all {
		all[n] = eligibility.Group{Self: random.Uint64(), Entries: s.entries, Visible: visible[s.partition(n)]}
	}
	return all
}

// run runs the simulation and returns the times at which requests were sent.
func (s sharedRateSimulation) run(seed uint64) []time.Time {
	random := rand.New(rand.NewPCG(seed, 2))
	rates := make([]eligibility.SharedRate, s.entries)
	groups := s.groups(random)
	uninformed := map[int]time.Time{}
	arrivals := max(s.service, s.demand, s.laterDemand)
	restarted := origin
	var sent []time.Time
	var reports eventQueue[requestReport]
	for now := origin; now.Before(origin.Add(s.duration)); {
		demand := s.demand
		if s.laterDemand > 0 && now.Sub(origin) > s.duration/2 {
			demand = s.laterDemand
		}
		now = now.Add(time.Duration(random.ExpFloat64() / demand * float64(time.Second)))
		for _, r := range reports.popUntil(now) {
			rates[r.to].RecordSend(r.sent, s.rate, false, groups[r.to])
		}
		if s.restart > 0 && now.Sub(restarted) > s.restart {
			restarted = now
			n := random.IntN(s.entries)
			rates[n] = eligibility.SharedRate{}
			uninformed[n] = now.Add(time.Second)
		}
		n := random.IntN(s.entries)
		group := groups[n]
		if now.Before(uninformed[n]) {
			group.Entries = 0
		}
		r := &rates[n]
		checks := s.fault == nil || !s.fault(n)
		if checks && (random.Float64() >= r.CandidateProbability(now, s.rate, arrivals, group) || !r.Allows(now, s.rate, group)) {
			continue
		}
		sent = append(sent, now)
		r.RecordSend(now, s.rate, true, group)
		for to := range rates {
			if to == n || s.partition(n) < 0 || s.partition(to) != s.partition(n) || random.Float64() < s.loss {
				continue
			}
			delay := s.delay
			if s.variableDelay {
				delay = time.Duration(random.Float64() * float64(delay))
			}
			reports.add(now.Add(delay), requestReport{to: to, sent: now})
		}
	}
	return sent
}

// mostWithin returns the maximum number of requests within any window.
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

// used returns the fraction of the rate that was used.
func (s sharedRateSimulation) used(sent []time.Time) float64 {
	return float64(len(sent)) / (s.rate * s.duration.Seconds())
}

// bound returns the maximum number of requests to the endpoint within a window.
func (s sharedRateSimulation) bound() float64 {
	return limitOverrun*s.rate*limitWindow.Seconds() + limitSlack
}

// sharedRateSeeds is the number of simulation runs of each case.
const sharedRateSeeds = 3

// TestSharedRateBound guards against entries that together send more requests than the bound.
func TestSharedRateBound(t *testing.T) {
	const shortDelay, longDelay, lateDelay = 20 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond
	for _, c := range []struct {
		name string
		sim  sharedRateSimulation
	}{
		{"two entries", sharedRateSimulation{entries: 2, rate: 2, demand: 200, delay: shortDelay}},
		{"demand at the rate", sharedRateSimulation{entries: 23, rate: 2, demand: 2, delay: shortDelay}},
		{"demand at 15 times the rate", sharedRateSimulation{entries: 23, rate: 2, demand: 30, delay: shortDelay}},
		{"fractional rate", sharedRateSimulation{entries: 23, rate: 3.4, demand: 340, delay: longDelay}},
		{"below one request per second", sharedRateSimulation{entries: 23, rate: 0.3, demand: 30, delay: longDelay}},
		{"high rate", sharedRateSimulation{entries: 23, rate: 50, demand: 5000, delay: longDelay}},
		{"reports with varying delay", sharedRateSimulation{entries: 23, rate: 2, demand: 200, delay: lateDelay, variableDelay: true}},
		{"30% of the reports lost", sharedRateSimulation{entries: 23, rate: 2, demand: 200, delay: longDelay, loss: 0.3}},
		{"20% of the entries isolated", sharedRateSimulation{entries: 23, rate: 2, demand: 30, delay: shortDelay, isolated: 0.2}},
		{"all entries isolated", sharedRateSimulation{entries: 23, rate: 2, demand: 30, delay: shortDelay, isolated: 1}},
		{"network partition", sharedRateSimulation{entries: 23, rate: 2, demand: 200, delay: shortDelay, partitioned: 0.4}},
		{"entries restart", sharedRateSimulation{entries: 23, rate: 2, demand: 100, delay: longDelay, restart: 2 * time.Second}},
		{"sudden rise of the demand", sharedRateSimulation{entries: 23, rate: 2, demand: 1, laterDemand: 50, delay: longDelay}},
		{"384 entries", sharedRateSimulation{entries: 384, rate: 2, demand: 200, delay: longDelay}},
		{"384 entries, below one request per second", sharedRateSimulation{entries: 384, rate: 0.3, demand: 30, delay: longDelay}},
		{"384 entries, half of them isolated", sharedRateSimulation{entries: 384, rate: 2, demand: 30, delay: longDelay, isolated: 0.5}},
		{"384 entries, reports with varying delay", sharedRateSimulation{entries: 384, rate: 3.4, demand: 340, delay: lateDelay, variableDelay: true}},
		{"620 entries, one of many endpoints", sharedRateSimulation{entries: 620, rate: 2, demand: 30, service: 22_000, delay: longDelay}},
		{"620 entries, high rate", sharedRateSimulation{entries: 620, rate: 50, demand: 200, service: 22_000, delay: longDelay}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.sim.duration = 16 * time.Second
			for seed := range uint64(sharedRateSeeds) {
				sent := c.sim.run(seed)
				most := mostWithin(sent, limitWindow)
				t.Logf("seed %d: at most %d requests, bound %.0f, in %v; %.2f of the rate used", seed, most, c.sim.bound(), limitWindow, c.sim.used(sent))
				if float64(most) > c.sim.bound() {
					t.Errorf("seed %d: %d requests in %v, want at most %.1f", seed, most, limitWindow, c.sim.bound())
				}
			}
		})
	}
}

// TestSharedRateWithLateReports checks the bound with reports that are half a second late and a
// demand of 100 times the rate.
func TestSharedRateWithLateReports(t *testing.T) {
	s := sharedRateSimulation{entries: 384, rate: 2, demand: 200, delay: 500 * time.Millisecond, duration: 40 * time.Second}
	for seed := range uint64(20) {
		if most := mostWithin(s.run(seed), limitWindow); float64(most) > s.bound() {
			t.Errorf("seed %d: %d requests in %v, want at most %.1f", seed, most, limitWindow, s.bound())
		}
	}
}

// TestSharedRateUsesTheRate guards against a rate that is partly unused though the entries see
// each other.
func TestSharedRateUsesTheRate(t *testing.T) {
	const leastUsed = 0.8
	for _, s := range []sharedRateSimulation{
		{entries: 5, rate: 2, demand: 30, delay: 20 * time.Millisecond},
		{entries: 23, rate: 2, demand: 30, delay: 20 * time.Millisecond},
		{entries: 23, rate: 0.3, demand: 30, delay: 20 * time.Millisecond},
		{entries: 23, rate: 50, demand: 100, delay: 20 * time.Millisecond},
		{entries: 384, rate: 2, demand: 30, delay: 50 * time.Millisecond},
		{entries: 384, rate: 50, demand: 100, delay: 50 * time.Millisecond},
		{entries: 620, rate: 2, demand: 30, service: 300, delay: 50 * time.Millisecond},
	} {
		s.duration = 40 * time.Second
		used := 0.0
		for seed := range uint64(sharedRateSeeds) {
			used += s.used(s.run(seed)) / sharedRateSeeds
		}
		t.Logf("%d entries, %g requests/s: %.2f of the rate used", s.entries, s.rate, used)
		if used < leastUsed {
			t.Errorf("%d entries, %g requests/s: %.2f of the rate used, want at least %.1f", s.entries, s.rate, used, leastUsed)
		}
	}
}

// TestSharedRateBoundDetectsFaults checks that injected faults exceed the bound.
func TestSharedRateBoundDetectsFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		sim  sharedRateSimulation
	}{
		{"one entry in five sends without a check", sharedRateSimulation{entries: 5, rate: 2, demand: 60, delay: 20 * time.Millisecond,
			fault: func(entry int) bool { return entry == 0 }}},
		{"all reports lost, all entries considered visible", sharedRateSimulation{entries: 23, rate: 2, demand: 200, delay: 20 * time.Millisecond, loss: 1}},
	} {
		c.sim.duration = 12 * time.Second
		if most := mostWithin(c.sim.run(1), limitWindow); float64(most) <= c.sim.bound() {
			t.Errorf("%s: %d requests in %v do not exceed the bound", c.name, most, limitWindow)
		}
	}
}
