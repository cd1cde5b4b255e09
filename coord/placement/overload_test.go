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

// overloadSimulation simulates entries and the endpoints of one service in virtual time. Some
// of the endpoints reject all requests for a time and ask for a backoff. An endpoint whose
// slots and queue are full rejects requests too.
type overloadSimulation struct {
	entries, endpoints int
	rejecting          int           // endpoints that reject all requests from rejectStart on
	load               float64       // share of the endpoints' total capacity
	eventDelay         time.Duration // until other entries receive an event
	seed               uint64

	tables     []*placement.Table
	servers    []*simulatedEndpoint
	queue      eventQueue
	start      time.Time
	random     *rand.Rand
	lastNumber uint64
	result     overloadResult
}

// simulatedEndpoint is one endpoint.
type simulatedEndpoint struct {
	running      int
	waiting      []func(now time.Time) // requests that wait for a slot
	rejectedAt   map[int]time.Time     // last rejection, by entry
	backoffUntil map[int]time.Time     // end of the backoff, by entry
}

// overloadResult counts the results of a simulation.
type overloadResult struct {
	requests, served, inTime int // by clients
	afterBackoff             int // requests at rejecting endpoints in the second after the delay
	rejectedAfterBackoff     int // those of afterBackoff that were rejected
	duringBackoff            int // requests of entries within their backoff, except for those in flight
}

const (
	slotsPerEndpoint   = 8
	queuePerEndpoint   = 4
	meanServiceTime    = 240 * time.Millisecond
	overloadDuration   = 12 * time.Second
	rejectStart        = 2 * time.Second
	rejectDuration     = 500 * time.Millisecond
	rejectDelay        = 3 * time.Second
	fullQueueDelay     = time.Second // asked for by a full endpoint
	clientTimeout      = 6 * time.Second
	clientTarget       = 500 * time.Millisecond
	maxSends           = 2 // attempts per request
	maxClientRetries   = 1 // after a rejection
	clientRetryDivisor = 3 // a client waits for at most its remaining time divided by this
	networkDelay       = 500 * time.Microsecond
)

// clientRequest is a request of a client.
type clientRequest struct {
	entry         int
	deadline      time.Time
	arrivedAt     time.Time // first attempt of the client
	sends         int
	clientRetries int
	tried         map[string]bool
	priority      int
}

func (o *overloadSimulation) run() overloadResult {
	o.start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o.random = rand.New(rand.NewPCG(o.seed, 7))
	var list []placement.Endpoint
	for n := range o.endpoints {
		list = append(list, placement.Endpoint{ID: fmt.Sprint("i-", n), Service: "desk", Slots: slotsPerEndpoint})
		o.servers = append(o.servers, &simulatedEndpoint{rejectedAt: map[int]time.Time{}, backoffUntil: map[int]time.Time{}})
	}
	for n := range o.entries {
		t := &placement.Table{Self: uint64(n + 1), Group: eligibility.Group{Self: uint64(n + 1), Entries: o.entries, Visible: o.entries}}
		t.SetServices([]placement.Service{{Name: "desk"}})
		t.SetEndpoints(o.start, list)
		o.tables = append(o.tables, t)
	}
	perSecond := o.load * float64(o.endpoints*slotsPerEndpoint) / meanServiceTime.Seconds()
	for at := time.Duration(0); at < overloadDuration; at += time.Duration(o.random.ExpFloat64() / perSecond * float64(time.Second)) {
		o.schedule(at, func(now time.Time) {
			o.result.requests++
			o.place(now, &clientRequest{
				entry: o.random.IntN(o.entries), arrivedAt: now, deadline: now.Add(clientTimeout),
				tried: map[string]bool{}, priority: o.random.IntN(2),
			})
		})
	}
	for len(o.queue) > 0 {
		s := heap.Pop(&o.queue).(scheduledEvent)
		s.do(o.start.Add(s.at))
	}
	return o.result
}

func (o *overloadSimulation) schedule(at time.Duration, do func(time.Time)) {
	heap.Push(&o.queue, scheduledEvent{at, do})
}

func (o *overloadSimulation) scheduleAfter(now time.Time, d time.Duration, do func(time.Time)) {
	o.schedule(now.Add(d).Sub(o.start), do)
}

// request returns the placement request.
func (q *clientRequest) request(now time.Time) placement.Request {
	return placement.Request{Service: "desk", FirstEventTarget: clientTarget, TimeLeft: q.deadline.Sub(now), Priority: q.priority}
}

// place chooses an endpoint at the request's entry.
func (o *overloadSimulation) place(now time.Time, q *clientRequest) {
	if now.After(q.deadline) {
		return
	}
	t := o.tables[q.entry]
	r := q.request(now)
	tried := func(id string) bool { return q.tried[id] }
	c, ok := t.Choose(now, r, tried, o.random)
	if !ok {
		o.reject(now, q)
		return
	}
	q.sends++
	o.lastNumber++
	id := placement.AttemptID{Owner: uint64(q.entry + 1), Number: o.lastNumber}
	o.announce(now, q.entry, func(t *placement.Table, at time.Time) { t.Place(at, id, c.Endpoint.ID, r, memory.Fetch{}) })
	o.scheduleAfter(now, networkDelay, func(now time.Time) { o.receive(now, q, id, c.Endpoint.ID) })
}

// reject rejects a request with a delay before a retry.
func (o *overloadSimulation) reject(now time.Time, q *clientRequest) {
	unavailability := o.tables[q.entry].Unavailability(now, q.request(now))
	wait := max(unavailability.Wait, 100*time.Millisecond)
	if unavailability.Reason != eligibility.BackedOff {
		wait = 500 * time.Millisecond
	}
	o.retryClient(now, q, wait)
}

// retryClient schedules the retry of a client at another entry.
func (o *overloadSimulation) retryClient(now time.Time, q *clientRequest, wait time.Duration) {
	if q.clientRetries >= maxClientRetries {
		return
	}
	q.clientRetries++
	q.sends = 0
	q.tried = map[string]bool{}
	q.entry = o.random.IntN(o.entries)
	o.scheduleAfter(now, min(wait, q.deadline.Sub(now)/clientRetryDivisor), func(now time.Time) { o.place(now, q) })
}

// receive lets an endpoint accept or reject a request.
func (o *overloadSimulation) receive(now time.Time, q *clientRequest, id placement.AttemptID, endpoint string) {
	n := endpointNumber(endpoint)
	server := o.servers[n]
	at := now.Sub(o.start)
	rejects := n < o.rejecting && at >= rejectStart && at < rejectStart+rejectDuration
	full := server.running >= slotsPerEndpoint && len(server.waiting) >= queuePerEndpoint
	backoffEnd := rejectStart + rejectDelay
	if n < o.rejecting && at >= backoffEnd && at < backoffEnd+time.Second {
		o.result.afterBackoff++
		if full {
			o.result.rejectedAfterBackoff++
		}
	}
	if now.Before(server.backoffUntil[q.entry]) && now.After(server.rejectedAt[q.entry].Add(2*networkDelay)) {
		o.result.duringBackoff++
	}
	switch {
	case rejects:
		o.rejectWithDelay(now, q, id, server, endpoint, rejectDelay)
	case full:
		o.rejectWithDelay(now, q, id, server, endpoint, fullQueueDelay)
	case server.running >= slotsPerEndpoint:
		server.waiting = append(server.waiting, func(now time.Time) { o.serve(now, q, id, server) })
	default:
		o.serve(now, q, id, server)
	}
}

// serve processes a request in a slot of an endpoint.
func (o *overloadSimulation) serve(now time.Time, q *clientRequest, id placement.AttemptID, server *simulatedEndpoint) {
	server.running++
	duration := time.Duration(float64(meanServiceTime) * (0.5 + o.random.Float64()))
	o.scheduleAfter(now, duration, func(now time.Time) {
		server.running--
		if len(server.waiting) > 0 {
			next := server.waiting[0]
			server.waiting = server.waiting[1:]
			next(now)
		}
		if now.Before(q.deadline) {
			o.result.served++
			if now.Sub(q.arrivedAt) <= clientTarget {
				o.result.inTime++
			}
		}
		o.announce(now, q.entry, func(t *placement.Table, at time.Time) {
			t.FirstEvent(at, id)
			t.End(at, id, placement.Succeeded)
		})
	})
}

// rejectWithDelay lets an endpoint reject a request and ask for a backoff.
func (o *overloadSimulation) rejectWithDelay(now time.Time, q *clientRequest, id placement.AttemptID, server *simulatedEndpoint, endpoint string, delay time.Duration) {
	server.rejectedAt[q.entry] = now
	if until := now.Add(delay); until.After(server.backoffUntil[q.entry]) {
		server.backoffUntil[q.entry] = until
	}
	o.scheduleAfter(now, networkDelay, func(now time.Time) {
		t := o.tables[q.entry]
		t.ApplyBackoff(now, endpoint, delay, o.random)
		o.announce(now, q.entry, func(t *placement.Table, at time.Time) { t.End(at, id, placement.PushedBack) })
		if q.sends < maxSends {
			o.place(now, q)
			return
		}
		o.reject(now, q)
	})
}

// announce applies an event at one entry at once, and at the others after eventDelay.
func (o *overloadSimulation) announce(now time.Time, entry int, do func(*placement.Table, time.Time)) {
	do(o.tables[entry], now)
	o.scheduleAfter(now, o.eventDelay, func(time.Time) {
		for n, t := range o.tables {
			if n != entry {
				do(t, now)
			}
		}
	})
}

func endpointNumber(endpoint string) int {
	var n int
	if _, err := fmt.Sscanf(endpoint, "i-%d", &n); err != nil {
		panic(err)
	}
	return n
}

// Guards against entries that were rejected at the same time and return at the same time.
func TestRequestsReturnGraduallyAfterABackoff(t *testing.T) {
	const maxRejectedShare = 0.1 // share of the requests in the first second after the delay
	for _, c := range []struct{ endpoints, rejecting int }{{4, 1}, {16, 8}} {
		var rejected, arrived int
		for seed := range uint64(3) {
			o := &overloadSimulation{
				entries: 23, endpoints: c.endpoints, rejecting: c.rejecting, load: 0.9,
				eventDelay: 20 * time.Millisecond, seed: seed + 1,
			}
			r := o.run()
			arrived += r.afterBackoff
			rejected += r.rejectedAfterBackoff
			if r.duringBackoff > 0 {
				t.Errorf("seed %d: %d requests reach endpoints within a backoff", seed+1, r.duringBackoff)
			}
			if r.afterBackoff == 0 {
				t.Errorf("seed %d: no request arrives in the first second after the delay", seed+1)
			}
		}
		t.Logf("%d of %d endpoints: %d of %d rejected in the first second", c.rejecting, c.endpoints, rejected, arrived)
		if share := float64(rejected) / float64(arrived); share > maxRejectedShare {
			t.Errorf("%d of %d endpoints: %.3f are rejected in the first second after the delay", c.rejecting, c.endpoints, share)
		}
	}
}
