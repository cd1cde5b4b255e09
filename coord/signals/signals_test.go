package signals_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"foxcross.dev/coord/signals"
)

var origin = time.Unix(1_000_000, 0)

func ExampleLog() {
	var sender, receiver signals.Log
	for _, data := range []string{"i-1 has crashed", "i-2 has crashed"} {
		s := signals.Signal{Owner: 7, Number: sender.Next(), At: origin, Data: []byte(data)}
		sender.Record(s)
		if s.Number > 1 { // the first one is lost
			receiver.Record(s)
		}
	}
	fmt.Println(receiver.Summary(origin).Lags(sender.Summary(origin)))
	for _, s := range sender.Since(receiver.Positions()) {
		fmt.Println(string(s.Data), receiver.Record(s))
	}
	fmt.Println(receiver.Summary(origin) == sender.Summary(origin))
	// Output:
	// true
	// i-1 has crashed true
	// i-2 has crashed false
	// true
}

// TestSignalsThatNobodyKeepsAreSkipped guards against a process that asks for ever.
func TestSignalsThatNobodyKeepsAreSkipped(t *testing.T) {
	var sender, receiver signals.Log
	for range 5000 {
		sender.Record(signals.Signal{Owner: 7, Number: sender.Next(), At: origin})
	}
	lacking := sender.Since(receiver.Positions())
	for _, s := range lacking {
		receiver.Record(s)
	}
	lost := receiver.Skip(origin, sender.Positions())
	if len(lacking) != 4096 || lost == 0 || receiver.Summary(origin) != sender.Summary(origin) {
		t.Errorf("%d sent, %d lost, %v and %v", len(lacking), lost, receiver.Summary(origin), sender.Summary(origin))
	}
}

// TestExpiredOwnersAreRemoved guards against state that grows with each start of a process.
func TestExpiredOwnersAreRemoved(t *testing.T) {
	var l signals.Log
	for n := range uint64(100) {
		l.Record(signals.Signal{Owner: n + 1, Number: 1, At: origin})
	}
	l.Expire(origin.Add(time.Hour))
	if n := len(l.Positions()); n != 0 {
		t.Errorf("%d owners are kept", n)
	}
}

const (
	heartbeatInterval = 250 * time.Millisecond
	signalDelay       = 500 * time.Millisecond
	// maxLag is the time in which a process that runs knows a signal that any live peer has: a heartbeat that
	// may be lost twice, the delay and the next look.
	maxLag = 2 * time.Second
)

// process is one process of the model.
type process struct {
	log         signals.Log
	aheadSince  map[int]time.Duration
	pausedUntil time.Duration
	dead        bool
}

// modelRuns is the number of runs of TestSignalsArriveAfterLossesAndPauses.
var modelRuns = flag.Uint64("signal-runs", 100, "runs of TestSignalsArriveAfterLossesAndPauses")

// TestSignalsArriveAfterLossesAndPauses guards against a signal that a process that stood still, or lost datagrams, never learns.
func TestSignalsArriveAfterLossesAndPauses(t *testing.T) {
	for seed := range *modelRuns {
		random := rand.New(rand.NewPCG(seed, 66))
		count := 3 + random.IntN(20)
		loss := []float64{0.01, 0.1, 0.3}[seed%3]
		processes := make([]*process, count)
		for n := range processes {
			processes[n] = &process{aheadSince: map[int]time.Duration{}}
		}
		clock := func(d time.Duration) time.Time { return origin.Add(d) }
		const step, active, end = 10 * time.Millisecond, 10 * time.Second, 16 * time.Second
		lastKnown := map[string]bool{} // signals that a live process has
		for now := time.Duration(0); now < end; now += step {
			for n, p := range processes {
				if p.dead || now < p.pausedUntil {
					continue
				}
				if now < active {
					p.disturb(random, now, n < 2)
					sendSignal(random, processes, n, clock(now), loss)
				}
				if (now+time.Duration(n)*step)%heartbeatInterval == 0 {
					exchange(random, processes, n, now, clock(now), loss)
				}
			}
			if now == active+3*time.Second+maxLag { // all pauses are over by active and 3 s
				break
			}
		}
		for _, p := range processes {
			if !p.dead {
				for _, s := range p.log.Since(nil) {
					lastKnown[fmt.Sprint(s.Owner, s.Number)] = true
				}
			}
		}
		for n, p := range processes {
			if got := len(p.log.Since(nil)); !p.dead && got != len(lastKnown) {
				t.Errorf("seed %d: process %d knows %d of %d signals", seed, n, got, len(lastKnown))
			}
		}
	}
}

// disturb has a process stand still for up to three seconds, or end.
func (p *process) disturb(random *rand.Rand, now time.Duration, stays bool) {
	if random.Float64() < 0.002 {
		p.pausedUntil = now + time.Duration(random.IntN(3000))*time.Millisecond
	}
	p.dead = !stays && random.Float64() < 0.0002
}

// sendSignal has a process send a signal now and then, to those that run.
func sendSignal(random *rand.Rand, all []*process, from int, at time.Time, loss float64) {
	if random.Float64() > 0.004 {
		return
	}
	s := signals.Signal{Owner: uint64(from) + 1, Number: all[from].log.Next(), At: at}
	all[from].log.Record(s)
	for _, p := range all {
		if at.Sub(origin) >= p.pausedUntil && random.Float64() >= loss {
			p.log.Record(s)
		}
	}
}

// exchange has a process send a heartbeat, and catch up with the peers that have had more for signalDelay.
func exchange(random *rand.Rand, all []*process, from int, now time.Duration, at time.Time, loss float64) {
	sender := all[from]
	for n, p := range all {
		if n == from || p.dead || now < p.pausedUntil || random.Float64() < loss {
			continue
		}
		_, known := p.aheadSince[from]
		switch {
		case !p.log.Summary(at).Lags(sender.log.Summary(at)):
			delete(p.aheadSince, from)
		case !known:
			p.aheadSince[from] = now
		}
	}
	var ahead []int
	for n, since := range sender.aheadSince {
		if now-since >= signalDelay && !all[n].dead && now >= all[n].pausedUntil {
			ahead = append(ahead, n)
		}
	}
	if len(ahead) == 0 {
		return
	}
	slices.Sort(ahead)
	source := ahead[random.IntN(len(ahead))]
	delete(sender.aheadSince, source)
	for _, s := range all[source].log.Since(sender.log.Positions()) {
		sender.log.Record(s)
	}
	sender.log.Skip(at, all[source].log.Positions())
}
