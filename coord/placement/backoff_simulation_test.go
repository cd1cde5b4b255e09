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

// Faults injected into a backoffSimulation.
const (
	noFault               = "no fault"
	requestsIgnoreBackoff = "some requests ignore the backoff"      // some requests are sent whatever the endpoint's backoff
	lastDelayWins         = "a shorter delay replaces a longer one" // the last response sets the end of the backoff
	fallsBackToAny        = "falls back to all endpoints"           // a request with no available endpoint is sent to any
	noRecheck             = "no recheck before sending"             // the backoff is not checked again when the connection is ready
)

// backoffSimulation simulates one entry and a few endpoints in virtual time. Endpoints reject
// requests at random, with random delays. Responses arrive late and in any order, some are
// lost, some connections take long, and the process freezes at times.
type backoffSimulation struct {
	seed  uint64
	fault string

	table        *placement.Table
	random       *rand.Rand
	queue        eventQueue
	start        time.Time
	lastNumber   uint64
	frozenUntil  time.Time // the process does nothing until then
	ignoredUntil time.Time // earlier rejections do not count
	rejections   []rejection
	lastDelays   map[string]time.Duration // by endpoint
	maxRequests  int                      // largest number of requests of the entry within one backoff
}

// rejection is a response that asks for a delay.
type rejection struct {
	endpoint string
	at       time.Time
	delay    time.Duration
	requests int
}

const (
	backoffDuration      = 20 * time.Second
	backoffEndpoints     = 4
	meanRequestInterval  = 5 * time.Millisecond
	slowConnectShare     = 0.2             // share of requests whose connection takes long
	rejectShare          = 0.1             // share of requests that are rejected
	lostResponseShare    = 0.1             // share of responses that are lost
	delayRange           = 3 * time.Second // of the delay above minDelay
	minDelay             = 300 * time.Millisecond
	maxResponseTime      = 200 * time.Millisecond // at most
	backoffGrace         = 500 * time.Millisecond
	maxRequestsInBackoff = 2
)

func (p *backoffSimulation) run() {
	p.start = origin
	p.random = rand.New(rand.NewPCG(p.seed, 9))
	p.lastDelays = map[string]time.Duration{}
	p.restart(p.start)
	for at := time.Duration(0); at < backoffDuration; at += time.Duration(p.random.ExpFloat64() * float64(meanRequestInterval)) {
		p.schedule(p.start.Add(at), p.place)
	}
	for at := 3 * time.Second; at < backoffDuration; at += 4 * time.Second {
		from := p.start.Add(at)
		if p.random.IntN(2) == 0 {
			p.schedule(from, p.restart)
			continue
		}
		p.schedule(from, func(now time.Time) {
			p.frozenUntil = now.Add(time.Duration(p.random.Float64() * float64(time.Second)))
			p.ignoredUntil = p.frozenUntil
		})
	}
	for len(p.queue) > 0 {
		s := heap.Pop(&p.queue).(scheduledEvent)
		s.do(p.start.Add(s.at))
	}
	for _, r := range p.rejections {
		p.maxRequests = max(p.maxRequests, r.requests)
	}
}

func (p *backoffSimulation) schedule(at time.Time, do func(time.Time)) {
	heap.Push(&p.queue, scheduledEvent{at.Sub(p.start), do})
}

// scheduleInProcess runs do at a time, or when the process is no longer frozen.
func (p *backoffSimulation) scheduleInProcess(at time.Time, do func(time.Time)) {
	p.schedule(at, func(now time.Time) {
		if now.Before(p.frozenUntil) {
			p.scheduleInProcess(p.frozenUntil, do)
			return
		}
		do(now)
	})
}

// restart restarts the entry.
func (p *backoffSimulation) restart(now time.Time) {
	ids := make([]string, backoffEndpoints)
	for n := range ids {
		ids[n] = fmt.Sprint("i-", n)
	}
	p.table, _ = nonEngineTable(ids...)
	p.ignoredUntil = now
}

// place chooses an endpoint for a request and connects to it.
func (p *backoffSimulation) place(now time.Time) {
	if now.Before(p.frozenUntil) {
		return
	}
	r := placement.Request{Service: "desk", FirstEventTarget: time.Second, TimeLeft: 5 * time.Second}
	c, ok := p.table.Choose(now, r, func(string) bool { return false }, p.random)
	endpoint := c.Endpoint.ID
	ignoresBackoff := p.fault == requestsIgnoreBackoff && p.random.IntN(5) == 0
	if ignoresBackoff || !ok && p.fault == fallsBackToAny {
		endpoint, ok = fmt.Sprint("i-", p.random.IntN(backoffEndpoints)), true
	}
	if !ok {
		return
	}
	p.lastNumber++
	id := placement.AttemptID{Owner: 1, Number: p.lastNumber}
	p.table.Place(now, id, endpoint, r, memory.Fetch{})
	ready := now
	if p.random.Float64() < slowConnectShare {
		ready = now.Add(time.Duration(p.random.Float64() * float64(2*time.Second)))
	}
	table := p.table
	p.scheduleInProcess(ready, func(now time.Time) {
		rechecks := !ignoresBackoff && p.fault != noRecheck && p.fault != fallsBackToAny
		if table != p.table || rechecks && table.Withdraw(now, endpoint) {
			table.End(now, id, placement.Abandoned)
			return
		}
		p.schedule(now.Add(networkDelay), func(now time.Time) { p.receive(now, table, id, endpoint) })
	})
}

// receive simulates the response of an endpoint to a request.
func (p *backoffSimulation) receive(now time.Time, table *placement.Table, id placement.AttemptID, endpoint string) {
	for n := range p.rejections {
		r := &p.rejections[n]
		elapsed := now.Sub(r.at)
		if r.endpoint == endpoint && r.at.After(p.ignoredUntil) && elapsed >= backoffGrace && elapsed < r.delay {
			r.requests++
		}
	}
	response := now.Add(time.Duration(p.random.Float64() * float64(maxResponseTime)))
	if p.random.Float64() >= rejectShare {
		p.scheduleInProcess(response, func(now time.Time) {
			table.FirstEvent(now, id)
			table.End(now, id, placement.Succeeded)
		})
		return
	}
	delay := minDelay + time.Duration(p.random.Float64()*float64(delayRange))
	if p.random.Float64() < lostResponseShare {
		p.scheduleInProcess(response, func(now time.Time) { table.End(now, id, placement.Broken) })
		return
	}
	p.schedule(response, func(at time.Time) {
		if table != p.table {
			return // the process waiting for the response has ended
		}
		p.rejections = append(p.rejections, rejection{endpoint: endpoint, at: at, delay: delay})
		p.scheduleInProcess(at, func(now time.Time) { p.applyRejection(now, table, id, endpoint, delay) })
	})
}

// applyRejection passes the response to the entry.
func (p *backoffSimulation) applyRejection(now time.Time, table *placement.Table, id placement.AttemptID, endpoint string, delay time.Duration) {
	if p.fault == lastDelayWins && table == p.table {
		list := table.States(now)
		var relisted []placement.Endpoint
		for _, e := range list {
			startedMS := int64(0)
			if e.ID == endpoint {
				startedMS = int64(p.lastNumber) // a new incarnation has no backoff
			}
			relisted = append(relisted, placement.Endpoint{ID: e.ID, Service: "desk", Slots: slotsPerEndpoint, StartedMS: startedMS})
		}
		table.SetEndpoints(now, relisted)
		for _, e := range relisted {
			if e.ID == endpoint {
				table.ApplyBackoff(now, e.Incarnation(), delay, p.random)
			}
		}
		return
	}
	table.ApplyBackoff(now, endpoint, delay, p.random)
	table.End(now, id, placement.PushedBack)
}

// Guards against requests within a Retry-After when responses are late, lost or repeated.
func TestAtMostTwoRequestsReachAnEndpointInABackoff(t *testing.T) {
	const simulations = 20
	for _, fault := range []string{noFault, requestsIgnoreBackoff, lastDelayWins, fallsBackToAny, noRecheck} {
		t.Run(fault, func(t *testing.T) {
			maxRequests, rejected := 0, 0
			for seed := range uint64(simulations) {
				p := &backoffSimulation{seed: seed + 1, fault: fault}
				p.run()
				maxRequests = max(maxRequests, p.maxRequests)
				rejected += len(p.rejections)
			}
			t.Logf("%d rejections, at most %d requests within a backoff", rejected, maxRequests)
			if exceeded := maxRequests > maxRequestsInBackoff; exceeded != (fault != noFault) {
				t.Errorf("up to %d requests arrive within a backoff", maxRequests)
			}
		})
	}
}
