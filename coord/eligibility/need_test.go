package eligibility_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
)

// limitedFleet is a fleet before one endpoint that names a limit for a time, in virtual time: entries
// learn of it by the heads of answers and by what the others tell.
type limitedFleet struct {
	entries  int
	rate     float64       // that the endpoint names
	demand   float64       // requests a second that would go there
	answers  time.Duration // mean time until the head of an answer
	delay    time.Duration // of news, at the most
	loss     float64       // share of the news that is lost
	freezes  time.Duration // so long one entry after the other stands still, each second second
	restarts bool          // one entry each two seconds forgets all, and is handed what another knows
	// takesAny is a planted fault: an entry believes the update that came last.
	takesAny bool
}

const (
	needBegins, needEnds = 2 * time.Second, 16 * time.Second
	needPlay             = 24 * time.Second
	// knownWithin is how long after the first answer that names a limit it is to be kept to, and
	// toldBefore how long before a request its entry has to have passed one on for it to count.
	knownWithin, toldBefore = 3 * time.Second, 500 * time.Millisecond
	// backWithin is until when after the need all entries are to send as before, besides the time in
	// which the endpoint is asked twice.
	backWithin = 2 * time.Second
)

// fleetEntry is one entry.
type fleetEntry struct {
	limit    eligibility.Limit
	group    eligibility.Group
	frozen   time.Time // until then
	held     []func()  // that came meanwhile
	passedOn time.Time // when it first passed on an answer that names the limit
}

// playedNeed is what came of a play.
type playedNeed struct {
	counted []time.Time // sends of entries that had passed a limit on, while it was to be kept to
	late    int         // entries that run and still believe in the limit when all are to send as before
	revived int         // times that an entry believed in it again later
}

func (s limitedFleet) play(seed uint64) playedNeed {
	random := rand.New(rand.NewPCG(seed, 4))
	entries := make([]*fleetEntry, s.entries)
	for n := range entries {
		entries[n] = &fleetEntry{group: eligibility.Group{Self: random.Uint64(), Entries: s.entries, Live: s.entries}}
	}
	var later agenda[func()]
	var played playedNeed
	now := origin
	at := func() time.Duration { return now.Sub(origin) }
	// do lets an entry do something at a time, or once it goes on.
	do := func(e *fleetEntry, when time.Time, what func()) {
		later.add(when, func() {
			if now.Before(e.frozen) {
				e.held = append(e.held, what)
				return
			}
			what()
		})
	}
	take := func(e *fleetEntry, w eligibility.LimitUpdate) eligibility.Change {
		if s.takesAny {
			w.Sent = now
		}
		c := e.limit.Apply(w)
		if c == eligibility.Began && at() > s.backBy() {
			played.revived++
		}
		return c
	}
	tell := func(from *fleetEntry, w eligibility.LimitUpdate) {
		for _, e := range entries {
			if e == from || random.Float64() < s.loss {
				continue
			}
			do(e, now.Add(time.Duration(random.Float64()*float64(s.delay))), func() { e.limit.Announce(now, take(e, w)) })
		}
	}
	send := func(e *fleetEntry) {
		sent := now
		e.limit.Sent(now, true, e.group)
		for _, other := range entries {
			if other != e && random.Float64() >= s.loss {
				do(other, now.Add(time.Duration(random.Float64()*float64(s.delay))), func() { other.limit.Sent(sent, false, other.group) })
			}
		}
		told := !e.passedOn.IsZero() && now.Sub(e.passedOn) >= toldBefore
		if told && at() >= needBegins+knownWithin && at() < needEnds {
			played.counted = append(played.counted, now)
		}
		head := now.Add(time.Duration(random.ExpFloat64() * float64(s.answers)))
		begun := head.Sub(origin)
		do(e, head, func() {
			w := eligibility.LimitUpdate{Sent: sent, Received: now}
			if begun >= needBegins && begun < needEnds {
				w.PerSecond = s.rate
				if e.passedOn.IsZero() {
					e.passedOn = now
				}
			}
			if e.limit.Announce(now, take(e, w)) {
				tell(e, w)
			}
		})
	}
	s.disturb(entries, &later, random)
	later.add(origin.Add(s.backBy()), func() {
		for _, e := range entries {
			if e.limit.Limited() && !now.Before(e.frozen) {
				played.late++
			}
		}
	})
	for now.Before(origin.Add(needPlay)) {
		next := now.Add(time.Duration(random.ExpFloat64() / s.demand * float64(time.Second)))
		for when, what := range later.until(next) {
			now = when
			what()
		}
		now = next
		e := entries[random.IntN(s.entries)]
		if now.Before(e.frozen) {
			continue
		}
		if random.Float64() < e.limit.Chance(now, s.demand, e.group) && e.limit.Allows(now, e.group) {
			send(e)
		}
	}
	return played
}

// backBy returns when all entries are to send as before.
func (s limitedFleet) backBy() time.Duration {
	return needEnds + backWithin + time.Duration(2/s.rate*float64(time.Second))
}

// disturb lets entries stand still, and start again.
func (s limitedFleet) disturb(entries []*fleetEntry, later *agenda[func()], random *rand.Rand) {
	for at := time.Second; at < needPlay; at += 2 * time.Second {
		e, other := entries[random.IntN(len(entries))], entries[random.IntN(len(entries))]
		begins := origin.Add(at)
		if s.freezes > 0 {
			later.add(begins, func() { e.frozen = begins.Add(s.freezes) })
			later.add(begins.Add(s.freezes), func() {
				held := e.held
				e.held = nil
				for _, what := range held {
					what()
				}
			})
		}
		if s.restarts && e != other {
			later.add(begins, func() {
				e.limit = eligibility.Limit{}
				e.passedOn = time.Time{}
				if other.limit.Limited() {
					e.limit.Apply(eligibility.LimitUpdate{PerSecond: other.limit.PerSecond(), Sent: other.limit.AdvertisedAt(), Received: other.limit.AdvertisedAt()})
				}
			})
		}
	}
}

// TestLimitIsKeptToByAFleet guards against a fleet that overruns a limit or does not learn of its end.
func TestLimitIsKeptToByAFleet(t *testing.T) {
	calm := limitedFleet{entries: 5, rate: 2, demand: 30, answers: 100 * time.Millisecond, delay: 40 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(*limitedFleet)
	}{
		{"calm", func(*limitedFleet) {}},
		{"below one a second", func(s *limitedFleet) { s.rate = 0.3 }},
		{"slow answers", func(s *limitedFleet) { s.answers = time.Second }},
		{"late and lost news", func(s *limitedFleet) { s.delay, s.loss = 300*time.Millisecond, 0.2 }},
		{"entries stand still", func(s *limitedFleet) { s.freezes = 1500 * time.Millisecond }},
		{"entries start again", func(s *limitedFleet) { s.restarts = true }},
		{"all together", func(s *limitedFleet) {
			s.delay, s.loss, s.freezes, s.restarts = 200*time.Millisecond, 0.1, time.Second, true
		}},
		{"23 entries", func(s *limitedFleet) { s.entries, s.demand = 23, 100 }},
		{"23 entries, all together", func(s *limitedFleet) {
			s.entries, s.demand, s.loss, s.freezes, s.restarts = 23, 100, 0.1, time.Second, true
		}},
		{"100 entries", func(s *limitedFleet) { s.entries, s.demand, s.rate = 100, 60, 3.4 }},
	} {
		s := calm
		c.change(&s)
		bears := limitOverrun*s.rate*limitWindow.Seconds() + limitSlack
		for seed := range uint64(5) {
			p := s.play(seed)
			most := mostWithin(p.counted, limitWindow)
			t.Logf("%s, seed %d: at most %d of %.0f", c.name, seed, most, bears)
			if float64(most) > bears {
				t.Errorf("%s, seed %d: %d requests in %v, of %.0f", c.name, seed, most, limitWindow, bears)
			}
			if p.late > 0 || p.revived > 0 {
				t.Errorf("%s, seed %d: %d entries believe in a limit that is over, %d came back to it", c.name, seed, p.late, p.revived)
			}
		}
	}
}

// TestOlderWordsFaultIsSeen plants the fault that entries believe the update that came last.
func TestOlderWordsFaultIsSeen(t *testing.T) {
	s := limitedFleet{entries: 5, rate: 4, demand: 60, answers: 2 * time.Second, delay: 40 * time.Millisecond, freezes: 6 * time.Second}
	revived := 0
	for seed := range uint64(20) {
		if p := s.play(seed); p.revived > 0 {
			t.Errorf("seed %d: %d entries came back to a limit that is over", seed, p.revived)
		}
		faulty := s
		faulty.takesAny = true
		revived += faulty.play(seed).revived
	}
	if revived == 0 {
		t.Error("the fault is not seen")
	}
}
