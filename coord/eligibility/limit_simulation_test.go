package eligibility_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
)

// limitSimulation simulates, in virtual time, entries in front of one endpoint that advertises a
// limit for a time. The entries learn of the limit from response headers and from the
// announcements of other entries.
type limitSimulation struct {
	entries      int
	rate         float64       // advertised limit, in requests per second
	demand       float64       // requests per second without a limit
	responseTime time.Duration // mean time until the header of a response
	delay        time.Duration // maximum delay of an announcement
	loss         float64       // fraction of the announcements that is lost
	pauseTime    time.Duration // length of the pause of a random entry every 2 s
	restarts     bool          // every 2 s one entry loses its state and receives that of another one
	// ignoresOrder injects a fault: an entry applies the update that was received last.
	ignoresOrder bool
}

const (
	limitStart, limitEnd = 2 * time.Second, 16 * time.Second
	simulatedTime        = 24 * time.Second
	// complianceDelay is the time after the start of the limit from which the entries have to comply
	// with it. A request counts if its entry received the limit at least noticeTime earlier.
	complianceDelay, noticeTime = 3 * time.Second, 500 * time.Millisecond
	// recoveryTime is the time after the end of the limit within which all entries have to send
	// without it, in addition to the time of two requests at its rate.
	recoveryTime = 2 * time.Second
)

// simulatedEntry is the state of one entry in the simulation.
type simulatedEntry struct {
	limit       eligibility.Limit
	group       eligibility.Group
	pausedUntil time.Time // end of the pause
	deferred    []func()  // events deferred to the end of the pause
	notifiedAt  time.Time // receipt of the first response with the limit
}

// limitResult is the result of a simulation.
type limitResult struct {
	counted      []time.Time // requests for which the entries had to comply with the limit
	stillLimited int         // entries not paused that still apply the limit after recovery was due
	reapplied    int         // times that an entry applied the limit again after that
}

func (s limitSimulation) run(seed uint64) limitResult {
	random := rand.New(rand.NewPCG(seed, 4))
	entries := make([]*simulatedEntry, s.entries)
	for n := range entries {
		entries[n] = &simulatedEntry{group: eligibility.Group{Self: random.Uint64(), Entries: s.entries, Visible: s.entries}}
	}
	var events eventQueue[func()]
	var result limitResult
	now := origin
	at := func() time.Duration { return now.Sub(origin) }
	// schedule adds an event of an entry. If the entry is paused at that time, the event is deferred
	// to the end of the pause.
	schedule := func(e *simulatedEntry, when time.Time, event func()) {
		events.add(when, func() {
			if now.Before(e.pausedUntil) {
				e.deferred = append(e.deferred, event)
				return
			}
			event()
		})
	}
	apply := func(e *simulatedEntry, u eligibility.LimitUpdate) eligibility.LimitChange {
		if s.ignoresOrder {
			u.Sent = now
		}
		c := e.limit.Apply(u)
		if c == eligibility.LimitSet && at() > s.recoveredBy() {
			result.reapplied++
		}
		return c
	}
	announce := func(from *simulatedEntry, u eligibility.LimitUpdate) {
		for _, e := range entries {
			if e == from || random.Float64() < s.loss {
				continue
			}
			schedule(e, now.Add(time.Duration(random.Float64()*float64(s.delay))), func() { e.limit.Announce(now, apply(e, u)) })
		}
	}
	send := func(e *simulatedEntry) {
		sent := now
		e.limit.RecordSend(now, true, e.group)
		for _, other := range entries {
			if other != e && random.Float64() >= s.loss {
				schedule(other, now.Add(time.Duration(random.Float64()*float64(s.delay))), func() { other.limit.RecordSend(sent, false, other.group) })
			}
		}
		notified := !e.notifiedAt.IsZero() && now.Sub(e.notifiedAt) >= noticeTime
		if notified && at() >= limitStart+complianceDelay && at() < limitEnd {
			result.counted = append(result.counted, now)
		}
		headerAt := now.Add(time.Duration(random.ExpFloat64() * float64(s.responseTime)))
		responded := headerAt.Sub(origin)
		schedule(e, headerAt, func() {
			u := eligibility.LimitUpdate{Sent: sent, Received: now}
			if responded >= limitStart && responded < limitEnd {
				u.PerSecond = s.rate
				if e.notifiedAt.IsZero() {
					e.notifiedAt = now
				}
			}
			if e.limit.Announce(now, apply(e, u)) {
				announce(e, u)
			}
		})
	}
	s.injectFaults(entries, &events, random)
	events.add(origin.Add(s.recoveredBy()), func() {
		for _, e := range entries {
			if e.limit.Limited() && !now.Before(e.pausedUntil) {
				result.stillLimited++
			}
		}
	})
	for now.Before(origin.Add(simulatedTime)) {
		next := now.Add(time.Duration(random.ExpFloat64() / s.demand * float64(time.Second)))
		for when, event := range events.popUntil(next) {
			now = when
			event()
		}
		now = next
		e := entries[random.IntN(s.entries)]
		if now.Before(e.pausedUntil) {
			continue
		}
		if random.Float64() < e.limit.CandidateProbability(now, s.demand, e.group) && e.limit.Allows(now, e.group) {
			send(e)
		}
	}
	return result
}

// recoveredBy returns the time after the origin by which all entries have to send without the
// limit.
func (s limitSimulation) recoveredBy() time.Duration {
	return limitEnd + recoveryTime + time.Duration(2/s.rate*float64(time.Second))
}

// injectFaults pauses and restarts entries.
func (s limitSimulation) injectFaults(entries []*simulatedEntry, events *eventQueue[func()], random *rand.Rand) {
	for at := time.Second; at < simulatedTime; at += 2 * time.Second {
		e, other := entries[random.IntN(len(entries))], entries[random.IntN(len(entries))]
		begins := origin.Add(at)
		if s.pauseTime > 0 {
			events.add(begins, func() { e.pausedUntil = begins.Add(s.pauseTime) })
			events.add(begins.Add(s.pauseTime), func() {
				deferred := e.deferred
				e.deferred = nil
				for _, event := range deferred {
					event()
				}
			})
		}
		if s.restarts && e != other {
			events.add(begins, func() {
				e.limit = eligibility.Limit{}
				e.notifiedAt = time.Time{}
				if other.limit.Limited() {
					e.limit.Apply(eligibility.LimitUpdate{PerSecond: other.limit.PerSecond(), Sent: other.limit.AdvertisedAt(), Received: other.limit.AdvertisedAt()})
				}
			})
		}
	}
}

// TestFleetCompliesWithLimit guards against entries that exceed a limit or miss its end.
func TestFleetCompliesWithLimit(t *testing.T) {
	base := limitSimulation{entries: 5, rate: 2, demand: 30, responseTime: 100 * time.Millisecond, delay: 40 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(*limitSimulation)
	}{
		{"no faults", func(*limitSimulation) {}},
		{"below one request per second", func(s *limitSimulation) { s.rate = 0.3 }},
		{"slow responses", func(s *limitSimulation) { s.responseTime = time.Second }},
		{"late and lost announcements", func(s *limitSimulation) { s.delay, s.loss = 300*time.Millisecond, 0.2 }},
		{"entries pause", func(s *limitSimulation) { s.pauseTime = 1500 * time.Millisecond }},
		{"entries restart", func(s *limitSimulation) { s.restarts = true }},
		{"all faults", func(s *limitSimulation) {
			s.delay, s.loss, s.pauseTime, s.restarts = 200*time.Millisecond, 0.1, time.Second, true
		}},
		{"23 entries", func(s *limitSimulation) { s.entries, s.demand = 23, 100 }},
		{"23 entries, all faults", func(s *limitSimulation) {
			s.entries, s.demand, s.loss, s.pauseTime, s.restarts = 23, 100, 0.1, time.Second, true
		}},
		{"100 entries", func(s *limitSimulation) { s.entries, s.demand, s.rate = 100, 60, 3.4 }},
	} {
		s := base
		c.change(&s)
		bound := limitOverrun*s.rate*limitWindow.Seconds() + limitSlack
		for seed := range uint64(5) {
			r := s.run(seed)
			most := mostWithin(r.counted, limitWindow)
			t.Logf("%s, seed %d: at most %d requests in a window, limit %.0f", c.name, seed, most, bound)
			if float64(most) > bound {
				t.Errorf("%s, seed %d: %d requests in %v, want at most %.0f", c.name, seed, most, limitWindow, bound)
			}
			if r.stillLimited > 0 || r.reapplied > 0 {
				t.Errorf("%s, seed %d: %d entries still apply an ended limit, %d applied it again", c.name, seed, r.stillLimited, r.reapplied)
			}
		}
	}
}

// TestFleetDetectsOlderUpdates checks that the simulation detects entries that apply the update
// received last, whatever the time of its request.
func TestFleetDetectsOlderUpdates(t *testing.T) {
	s := limitSimulation{entries: 5, rate: 4, demand: 60, responseTime: 2 * time.Second, delay: 40 * time.Millisecond, pauseTime: 6 * time.Second}
	reapplied := 0
	for seed := range uint64(20) {
		if r := s.run(seed); r.reapplied > 0 {
			t.Errorf("seed %d: %d entries applied an ended limit again", seed, r.reapplied)
		}
		faulty := s
		faulty.ignoresOrder = true
		reapplied += faulty.run(seed).reapplied
	}
	if reapplied == 0 {
		t.Error("the injected fault was not detected")
	}
}
