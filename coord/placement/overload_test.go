package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

// overload plays entries before the endpoints of one service, some of which refuse all requests for
// a time and ask for a backoff, in virtual time. An endpoint whose slots and queue are full
// refuses too.
type overload struct {
	entries, endpoints int
	refusing           int           // endpoints that refuse from refuseFrom on
	load               float64       // of what all endpoints together sustain
	noteDelay          time.Duration // until other entries know of an attempt
	seed               uint64

	tables []*placement.Table
	nodes  []*overloaded
	queue  steps
	begin  time.Time
	random *rand.Rand
	number uint64
	result overloadResult
}

// overloaded is one endpoint.
type overloaded struct {
	active  int
	waiting []func(now time.Time) // requests that wait for a slot
	refused map[int]time.Time     // when an entry was last refused
	closed  map[int]time.Time     // until when it was asked to back off
}

// overloadResult is what came of a play.
type overloadResult struct {
	asked, served, inTime int // callers
	firstSecond           int // requests at refusing endpoints in the second after the delay
	refusedThen           int // of these, refused
	inDelay               int // requests of entries within their backoff, but for those under way
}

const (
	overloadSlots = 8
	overloadQueue = 4
	overloadWork  = 240 * time.Millisecond
	overloadPlay  = 12 * time.Second
	refuseFrom    = 2 * time.Second
	refuseFor     = 500 * time.Millisecond
	refuseDelay   = 3 * time.Second
	fullDelay     = time.Second // that a full endpoint asks for
	callerTime    = 6 * time.Second
	callerTarget  = 500 * time.Millisecond
	callerSends   = 2 // attempts of one request
	callerReturns = 1 // of a caller that was refused
	returnShare   = 3 // a caller waits for one part in so many of its time
	networkTime   = 500 * time.Microsecond
)

// question is a request of a caller on its way.
type question struct {
	entry    int
	deadline time.Time
	came     time.Time // of the caller's first attempt
	sends    int
	returns  int
	tried    map[string]bool
	priority int
}

func (o *overload) play() overloadResult {
	o.begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o.random = rand.New(rand.NewPCG(o.seed, 7))
	var list []placement.Endpoint
	for n := range o.endpoints {
		list = append(list, placement.Endpoint{ID: fmt.Sprint("i-", n), Service: "desk", Slots: overloadSlots})
		o.nodes = append(o.nodes, &overloaded{refused: map[int]time.Time{}, closed: map[int]time.Time{}})
	}
	for n := range o.entries {
		t := &placement.Table{Self: uint64(n + 1), Group: eligibility.Group{Self: uint64(n + 1), Entries: o.entries, Live: o.entries}}
		t.SetServices([]placement.Service{{Name: "desk"}})
		t.SetEndpoints(o.begin, list)
		o.tables = append(o.tables, t)
	}
	perSecond := o.load * float64(o.endpoints*overloadSlots) / overloadWork.Seconds()
	for at := time.Duration(0); at < overloadPlay; at += time.Duration(o.random.ExpFloat64() / perSecond * float64(time.Second)) {
		o.at(at, func(now time.Time) {
			o.result.asked++
			o.place(now, &question{
				entry: o.random.IntN(o.entries), came: now, deadline: now.Add(callerTime),
				tried: map[string]bool{}, priority: o.random.IntN(2),
			})
		})
	}
	for len(o.queue) > 0 {
		s := heap.Pop(&o.queue).(step)
		s.do(o.begin.Add(s.at))
	}
	return o.result
}

func (o *overload) at(at time.Duration, do func(time.Time)) { heap.Push(&o.queue, step{at, do}) }

func (o *overload) after(now time.Time, d time.Duration, do func(time.Time)) {
	o.at(now.Add(d).Sub(o.begin), do)
}

// request returns the request as placement sees it.
func (q *question) request(now time.Time) placement.Request {
	return placement.Request{Service: "desk", FirstToken: callerTarget, TimeLeft: q.deadline.Sub(now), Priority: q.priority}
}

// place lets the request's entry choose an endpoint.
func (o *overload) place(now time.Time, q *question) {
	if now.After(q.deadline) {
		return
	}
	t := o.tables[q.entry]
	r := q.request(now)
	tried := func(id string) bool { return q.tried[id] }
	c, ok := t.Choose(now, r, tried, o.random)
	if !ok {
		o.refuse(now, q)
		return
	}
	q.sends++
	o.number++
	id := placement.AttemptID{Owner: uint64(q.entry + 1), Number: o.number}
	o.tell(now, q.entry, func(t *placement.Table, at time.Time) { t.Place(at, id, c.Endpoint.ID, r, memory.Fetch{}) })
	o.after(now, networkTime, func(now time.Time) { o.arrive(now, q, id, c.Endpoint.ID) })
}

// refuse tells the caller of a request when to come back.
func (o *overload) refuse(now time.Time, q *question) {
	obstacle := o.tables[q.entry].Obstacle(now, q.request(now))
	wait := max(obstacle.Wait, 100*time.Millisecond)
	if obstacle.Reason != eligibility.BackedOff {
		wait = 500 * time.Millisecond
	}
	o.comeBack(now, q, wait)
}

// comeBack lets a caller come back to another entry.
func (o *overload) comeBack(now time.Time, q *question, wait time.Duration) {
	if q.returns >= callerReturns {
		return
	}
	q.returns++
	q.sends = 0
	q.tried = map[string]bool{}
	q.entry = o.random.IntN(o.entries)
	o.after(now, min(wait, q.deadline.Sub(now)/returnShare), func(now time.Time) { o.place(now, q) })
}

// arrive lets an endpoint take a request or refuse it.
func (o *overload) arrive(now time.Time, q *question, id placement.AttemptID, endpoint string) {
	n := nodeNumber(endpoint)
	node := o.nodes[n]
	at := now.Sub(o.begin)
	refuses := n < o.refusing && at >= refuseFrom && at < refuseFrom+refuseFor
	full := node.active >= overloadSlots && len(node.waiting) >= overloadQueue
	ends := refuseFrom + refuseDelay
	if n < o.refusing && at >= ends && at < ends+time.Second {
		o.result.firstSecond++
		if full {
			o.result.refusedThen++
		}
	}
	if now.Before(node.closed[q.entry]) && now.After(node.refused[q.entry].Add(2*networkTime)) {
		o.result.inDelay++
	}
	switch {
	case refuses:
		o.turnAway(now, q, id, node, endpoint, refuseDelay)
	case full:
		o.turnAway(now, q, id, node, endpoint, fullDelay)
	case node.active >= overloadSlots:
		node.waiting = append(node.waiting, func(now time.Time) { o.work(now, q, id, node) })
	default:
		o.work(now, q, id, node)
	}
}

// work lets a slot of an endpoint work on a request.
func (o *overload) work(now time.Time, q *question, id placement.AttemptID, node *overloaded) {
	node.active++
	lasts := time.Duration(float64(overloadWork) * (0.5 + o.random.Float64()))
	o.after(now, lasts, func(now time.Time) {
		node.active--
		if len(node.waiting) > 0 {
			next := node.waiting[0]
			node.waiting = node.waiting[1:]
			next(now)
		}
		if now.Before(q.deadline) {
			o.result.served++
			if now.Sub(q.came) <= callerTarget {
				o.result.inTime++
			}
		}
		o.tell(now, q.entry, func(t *placement.Table, at time.Time) {
			t.FirstEvent(at, id)
			t.End(at, id, placement.Succeeded)
		})
	})
}

// turnAway lets an endpoint refuse a request with a delay.
func (o *overload) turnAway(now time.Time, q *question, id placement.AttemptID, node *overloaded, endpoint string, delay time.Duration) {
	node.refused[q.entry] = now
	if until := now.Add(delay); until.After(node.closed[q.entry]) {
		node.closed[q.entry] = until
	}
	o.after(now, networkTime, func(now time.Time) {
		t := o.tables[q.entry]
		t.ApplyBackoff(now, endpoint, delay, o.random)
		o.tell(now, q.entry, func(t *placement.Table, at time.Time) { t.End(at, id, placement.PushedBack) })
		if q.sends < callerSends {
			o.place(now, q)
			return
		}
		o.refuse(now, q)
	})
}

// tell lets one entry know something at once, and the others later.
func (o *overload) tell(now time.Time, entry int, do func(*placement.Table, time.Time)) {
	do(o.tables[entry], now)
	o.after(now, o.noteDelay, func(time.Time) {
		for n, t := range o.tables {
			if n != entry {
				do(t, now)
			}
		}
	})
}

func nodeNumber(endpoint string) int {
	var n int
	if _, err := fmt.Sscanf(endpoint, "i-%d", &n); err != nil {
		panic(err)
	}
	return n
}

// Guards against entries that were refused together and come back together.
func TestOverloadedEndpointsAreNotOverrunWhenTheyAreBack(t *testing.T) {
	const mostRefused = 0.1 // of what comes in the first second after the delay
	for _, c := range []struct{ endpoints, refusing int }{{4, 1}, {16, 8}} {
		var refused, came int
		for seed := range uint64(3) {
			o := &overload{
				entries: 23, endpoints: c.endpoints, refusing: c.refusing, load: 0.9,
				noteDelay: 20 * time.Millisecond, seed: seed + 1,
			}
			r := o.play()
			came += r.firstSecond
			refused += r.refusedThen
			if r.inDelay > 0 {
				t.Errorf("seed %d: %d requests reach endpoints within a backoff", seed+1, r.inDelay)
			}
			if r.firstSecond == 0 {
				t.Errorf("seed %d: no request comes in the first second after the delay", seed+1)
			}
		}
		t.Logf("%d of %d endpoints: %d of %d refused in the first second", c.refusing, c.endpoints, refused, came)
		if share := float64(refused) / float64(came); share > mostRefused {
			t.Errorf("%d of %d endpoints: %.3f are refused in the first second after the delay", c.refusing, c.endpoints, share)
		}
	}
}
