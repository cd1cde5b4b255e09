package eligibility_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
)

// The warm-up of a service whose endpoints handle 9.1 requests per second for 3 s after a start.
// The bound in any second is 1.5 times as many, plus 5.
const (
	perSecond     = 9.1
	overrunFactor = 1.5
	extraRequests = 5
	maxPerSecond  = perSecond*overrunFactor + extraRequests
	warmupTime    = 3 * time.Second
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// warmupSimulation simulates the requests of all entries to endpoints that start at the same time.
type warmupSimulation struct {
	entries, endpoints int
	rate               float64       // requests per second, of all entries
	delay              time.Duration // delay of a report to other entries
	isolated           float64       // fraction of the entries that are isolated from all others
	uninformed         float64       // fraction of the entries that do not know the number of entries
	singleSender       bool          // a single entry sends to all endpoints
	equalShares        bool          // the entries see no other, and each sends in its time slot
	unlimited          bool          // injected fault: the entries ignore the limit
}

// sentReport is the report of a request to the other entries.
type sentReport struct {
	sent     time.Time
	endpoint int
	from     int
}

// run runs the simulation. It returns the maximum number of requests to an endpoint within a
// second, the number of requests to all endpoints in the first second, and the number of requests
// without an eligible endpoint.
func (r warmupSimulation) run(seed uint64) (most, first, rejected int) {
	random := rand.New(rand.NewPCG(seed, 1))
	warmups := make([][]eligibility.Warmup, r.entries)
	groups := make([]eligibility.Group, r.entries)
	for n := range warmups {
		warmups[n] = make([]eligibility.Warmup, r.endpoints)
		groups[n] = eligibility.Group{Self: random.Uint64(), Entries: r.entries, Visible: r.entries}
		if r.equalShares {
			groups[n].Visible = 1
		}
		switch share := (float64(n) + 0.5) / float64(r.entries); {
		case share < r.isolated:
			groups[n].Visible = 1
		case share < r.isolated+r.uninformed:
			groups[n] = eligibility.Group{Self: groups[n].Self}
		}
		for e := range r.endpoints {
			warmups[n][e].Start(origin, warmupTime)
		}
	}
	isIsolated := func(n int) bool { return (float64(n)+0.5)/float64(r.entries) < r.isolated }
	limit := eligibility.WarmupLimit{PerSecond: perSecond, Duration: warmupTime}
	sent := make([][]time.Time, r.endpoints)
	var reports eventQueue[sentReport]
	for now := origin; now.Before(origin.Add(warmupTime)); {
		now = now.Add(time.Duration(random.ExpFloat64() / r.rate * float64(time.Second)))
		for _, report := range reports.popUntil(now) {
			for n := range warmups {
				if n != report.from && !isIsolated(n) {
					warmups[n][report.endpoint].RecordSend(report.sent, limit, false, groups[n])
				}
			}
		}
		n := random.IntN(r.entries)
		if r.singleSender && n != 0 {
			rejected++
			continue
		}
		chosen := -1
		for _, e := range random.Perm(r.endpoints) {
			candidate := r.unlimited || random.Float64() < warmups[n][e].CandidateProbability(now, limit, r.rate, groups[n])
			if candidate && (r.unlimited || warmups[n][e].Allows(now, limit, groups[n])) {
				chosen = e
				break
			}
		}
		if chosen < 0 {
			rejected++
			continue
		}
		warmups[n][chosen].RecordSend(now, limit, true, groups[n])
		sent[chosen] = append(sent[chosen], now)
		if !isIsolated(n) {
			reports.add(now.Add(r.delay), sentReport{sent: now, endpoint: chosen, from: n})
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
	return most, first, rejected
}

// TestWarmupLimit guards against an endpoint that receives more requests than the bound when
// many entries send to endpoints that warm up at the same time.
func TestWarmupLimit(t *testing.T) {
	for _, c := range []struct {
		name string
		sim  warmupSimulation
	}{
		{"evacuation of a data centre ends", warmupSimulation{entries: 23, endpoints: 11, rate: 141, delay: 20 * time.Millisecond}},
		{"burst of requests", warmupSimulation{entries: 23, endpoints: 11, rate: 400, delay: 20 * time.Millisecond}},
		{"one endpoint, selected by all entries", warmupSimulation{entries: 23, endpoints: 1, rate: 400, delay: 20 * time.Millisecond}},
		{"slow links", warmupSimulation{entries: 23, endpoints: 1, rate: 400, delay: 60 * time.Millisecond}},
		{"17% of the entries isolated", warmupSimulation{entries: 23, endpoints: 1, rate: 400, delay: 20 * time.Millisecond, isolated: 0.17}},
		{"all entries isolated", warmupSimulation{entries: 23, endpoints: 1, rate: 400, delay: 20 * time.Millisecond, isolated: 1}},
		{"half of the entries have just started", warmupSimulation{entries: 23, endpoints: 1, rate: 400, delay: 20 * time.Millisecond, uninformed: 0.5}},
		{"384 entries, evacuation of a data centre ends", warmupSimulation{entries: 384, endpoints: 100, rate: 450, delay: 20 * time.Millisecond}},
		{"384 entries, all isolated", warmupSimulation{entries: 384, endpoints: 1, rate: 450, delay: 20 * time.Millisecond, isolated: 1}},
		{"620 entries, evacuation of a data centre ends", warmupSimulation{entries: 620, endpoints: 120, rate: 3000, delay: 20 * time.Millisecond}},
		{"620 entries, one endpoint", warmupSimulation{entries: 620, endpoints: 1, rate: 3000, delay: 50 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				most, first, rejected := c.sim.run(seed)
				t.Logf("seed %d: at most %d requests/s, %d in the first second, %d rejected", seed, most, first, rejected)
				if float64(most) > maxPerSecond {
					t.Errorf("seed %d: %d requests in a second, want at most %.1f", seed, most, maxPerSecond)
				}
			}
		})
	}
}

// TestWarmupStrategies compares strategies to share the warm-up rate after the evacuation of a
// data centre: reports of requests, equal shares for all entries, and a single sending entry.
func TestWarmupStrategies(t *testing.T) {
	strategies := []struct {
		name        string
		change      func(*warmupSimulation)
		least, most int // bounds on the requests to all endpoints in the first second
	}{
		{"reports", func(*warmupSimulation) {}, 70, 11 * 10},
		{"equal shares", func(r *warmupSimulation) { r.equalShares = true }, 20, 11 * 10},
		{"single sender", func(r *warmupSimulation) { r.singleSender = true }, 1, 20},
	}
	for _, s := range strategies {
		r := warmupSimulation{entries: 23, endpoints: 11, rate: 141, delay: 20 * time.Millisecond}
		s.change(&r)
		_, first, rejected := r.run(1)
		t.Logf("%s: %d requests in the first second, %d of some 423 rejected in 3 s", s.name, first, rejected)
		if first < s.least || first > s.most {
			t.Errorf("%s: %d requests in the first second, want %d to %d", s.name, first, s.least, s.most)
		}
	}
}

// TestWarmupBoundDetectsFault checks that entries that ignore the limit exceed the bound.
func TestWarmupBoundDetectsFault(t *testing.T) {
	most, _, _ := warmupSimulation{entries: 23, endpoints: 11, rate: 400, delay: 20 * time.Millisecond, unlimited: true}.run(1)
	if float64(most) <= maxPerSecond {
		t.Errorf("%d requests in a second do not exceed the bound", most)
	}
}

func TestWarmup(t *testing.T) {
	limit := eligibility.WarmupLimit{PerSecond: 2}
	alone := eligibility.Group{Self: 1, Entries: 1, Visible: 1}
	var w eligibility.Warmup
	if !w.Allows(origin, limit, eligibility.Group{}) {
		t.Error("the zero value is not warm")
	}
	w.Start(origin, time.Second)
	w.Start(origin, 0)
	if !w.Warming(origin) || w.Remaining(origin.Add(400*time.Millisecond)) != 600*time.Millisecond {
		t.Error("a shorter warm-up replaced a longer one")
	}
	if w.Allows(origin, limit, eligibility.Group{}) {
		t.Error("an entry that does not know the number of entries may send")
	}
	if !w.Allows(origin, eligibility.WarmupLimit{}, eligibility.Group{}) {
		t.Error("no request is allowed without a limit")
	}
	w.RecordSend(origin, limit, true, alone)
	if w.Allows(origin.Add(499*time.Millisecond), limit, alone) || !w.Allows(origin.Add(500*time.Millisecond), limit, alone) {
		t.Error("the second request is not allowed exactly after half a second")
	}
	w.RecordSend(origin.Add(500*time.Millisecond), limit, false, alone)
	if w.Allows(origin.Add(900*time.Millisecond), limit, alone) {
		t.Error("a third request is allowed within a second")
	}
	if !w.Allows(origin.Add(time.Second), limit, alone) || w.Warming(origin.Add(time.Second)) {
		t.Error("the warm-up does not end")
	}
}
