package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

// Planted faults of a backoffPlay.
const (
	sound          = "sound"
	pathDoesNotAsk = "a path does not ask"         // some requests go to an endpoint whatever it has asked for
	shorterCounts  = "a shorter delay counts"      // the last response sets the end
	takesAny       = "falls back to all endpoints" // where none may be tried, any is
	noSecondAsking = "what was placed is sent"     // no second question when the connection is ready
)

// backoffPlay is one entry before a few endpoints that refuse at random, with delays at random, in
// virtual time: responses come late and in any order, some get lost, connections take long, and
// the process stands still at times.
type backoffPlay struct {
	seed  uint64
	fault string

	table   *placement.Table
	random  *rand.Rand
	queue   steps
	begin   time.Time
	number  uint64
	frozen  time.Time // the process stands still until then
	excused time.Time // refusals before then do not count
	refused []backoffRefusal
	asked   map[string]time.Duration // the last delay, by endpoint
	worst   int                      // requests of the entry within one backoff
}

// backoffRefusal is a response that asks for a delay.
type backoffRefusal struct {
	endpoint string
	at       time.Time
	delay    time.Duration
	got      int
}

const (
	playLasts      = 20 * time.Second
	playEndpoints  = 4
	playGap        = 5 * time.Millisecond // between requests, mean
	playSlowDial   = 0.2                  // share of requests whose connection takes long
	playRefuses    = 0.1                  // share of requests that are refused
	playLost       = 0.1                  // share of responses that are lost
	playLongest    = 3 * time.Second      // delay, beside the least
	playLeast      = 300 * time.Millisecond
	playResponse   = 200 * time.Millisecond // at the most
	backoffGrace   = 500 * time.Millisecond
	mostInABackoff = 2
)

func (p *backoffPlay) play() {
	p.begin = origin
	p.random = rand.New(rand.NewPCG(p.seed, 9))
	p.asked = map[string]time.Duration{}
	p.restart(p.begin)
	for at := time.Duration(0); at < playLasts; at += time.Duration(p.random.ExpFloat64() * float64(playGap)) {
		p.at(p.begin.Add(at), p.place)
	}
	for at := 3 * time.Second; at < playLasts; at += 4 * time.Second {
		from := p.begin.Add(at)
		if p.random.IntN(2) == 0 {
			p.at(from, p.restart)
			continue
		}
		p.at(from, func(now time.Time) {
			p.frozen = now.Add(time.Duration(p.random.Float64() * float64(time.Second)))
			p.excused = p.frozen
		})
	}
	for len(p.queue) > 0 {
		s := heap.Pop(&p.queue).(step)
		s.do(p.begin.Add(s.at))
	}
	for _, r := range p.refused {
		p.worst = max(p.worst, r.got)
	}
}

func (p *backoffPlay) at(at time.Time, do func(time.Time)) {
	heap.Push(&p.queue, step{at.Sub(p.begin), do})
}

// inProcess does something at a time, or once the process goes on.
func (p *backoffPlay) inProcess(at time.Time, do func(time.Time)) {
	p.at(at, func(now time.Time) {
		if now.Before(p.frozen) {
			p.inProcess(p.frozen, do)
			return
		}
		do(now)
	})
}

// restart lets the entry begin anew.
func (p *backoffPlay) restart(now time.Time) {
	ids := make([]string, playEndpoints)
	for n := range ids {
		ids[n] = fmt.Sprint("i-", n)
	}
	p.table, _ = deskTable(ids...)
	p.excused = now
}

// place chooses an endpoint for a request and connects to it.
func (p *backoffPlay) place(now time.Time) {
	if now.Before(p.frozen) {
		return
	}
	r := placement.Request{Service: "desk", FirstToken: time.Second, TimeLeft: 5 * time.Second}
	c, ok := p.table.Choose(now, r, func(string) bool { return false }, p.random)
	endpoint := c.Endpoint.ID
	blind := p.fault == pathDoesNotAsk && p.random.IntN(5) == 0
	if blind || !ok && p.fault == takesAny {
		endpoint, ok = fmt.Sprint("i-", p.random.IntN(playEndpoints)), true
	}
	if !ok {
		return
	}
	p.number++
	id := placement.AttemptID{Owner: 1, Number: p.number}
	p.table.Place(now, id, endpoint, r, memory.Fetch{})
	ready := now
	if p.random.Float64() < playSlowDial {
		ready = now.Add(time.Duration(p.random.Float64() * float64(2*time.Second)))
	}
	table := p.table
	p.inProcess(ready, func(now time.Time) {
		asks := !blind && p.fault != noSecondAsking && p.fault != takesAny
		if table != p.table || asks && table.Withdraw(now, endpoint) {
			table.End(now, id, placement.Abandoned)
			return
		}
		p.at(now.Add(networkTime), func(now time.Time) { p.arrive(now, table, id, endpoint) })
	})
}

// arrive lets an endpoint respond to a request.
func (p *backoffPlay) arrive(now time.Time, table *placement.Table, id placement.AttemptID, endpoint string) {
	for n := range p.refused {
		r := &p.refused[n]
		passed := now.Sub(r.at)
		if r.endpoint == endpoint && r.at.After(p.excused) && passed >= backoffGrace && passed < r.delay {
			r.got++
		}
	}
	response := now.Add(time.Duration(p.random.Float64() * float64(playResponse)))
	if p.random.Float64() >= playRefuses {
		p.inProcess(response, func(now time.Time) {
			table.FirstEvent(now, id)
			table.End(now, id, placement.Succeeded)
		})
		return
	}
	delay := playLeast + time.Duration(p.random.Float64()*float64(playLongest))
	if p.random.Float64() < playLost {
		p.inProcess(response, func(now time.Time) { table.End(now, id, placement.Broken) })
		return
	}
	p.at(response, func(at time.Time) {
		if table != p.table {
			return // the process that was waiting has ended
		}
		p.refused = append(p.refused, backoffRefusal{endpoint: endpoint, at: at, delay: delay})
		p.inProcess(at, func(now time.Time) { p.pushBack(now, table, id, endpoint, delay) })
	})
}

// pushBack lets the entry have the response.
func (p *backoffPlay) pushBack(now time.Time, table *placement.Table, id placement.AttemptID, endpoint string, delay time.Duration) {
	if p.fault == shorterCounts && table == p.table {
		list := table.States(now)
		var kept []placement.Endpoint
		for _, e := range list {
			born := int64(0)
			if e.ID == endpoint {
				born = int64(p.number) // a new incarnation has no backoff
			}
			kept = append(kept, placement.Endpoint{ID: e.ID, Service: "desk", Slots: overloadSlots, Born: born})
		}
		table.SetEndpoints(now, kept)
		for _, e := range kept {
			if e.ID == endpoint {
				table.ApplyBackoff(now, e.Incarnation(), delay, p.random)
			}
		}
		return
	}
	table.ApplyBackoff(now, endpoint, delay, p.random)
	table.End(now, id, placement.PushedBack)
}

// Guards against requests within a Retry-After, with late, lost and repeated responses.
func TestAtMostTwoRequestsReachAnEndpointInABackoff(t *testing.T) {
	const plays = 20
	for _, fault := range []string{sound, pathDoesNotAsk, shorterCounts, takesAny, noSecondAsking} {
		t.Run(fault, func(t *testing.T) {
			worst, refused := 0, 0
			for seed := range uint64(plays) {
				p := &backoffPlay{seed: seed + 1, fault: fault}
				p.play()
				worst = max(worst, p.worst)
				refused += len(p.refused)
			}
			t.Logf("%d refusals, at most %d requests within a backoff", refused, worst)
			if broken := worst > mostInABackoff; broken != (fault != sound) {
				t.Errorf("at most %d requests come within a backoff", worst)
			}
		})
	}
}
