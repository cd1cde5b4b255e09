package binding

import (
	"math/rand/v2"
	"slices"
	"time"

	"foxcross.dev/coord/affinity"
	"foxcross.dev/coord/heaps"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
)

const (
	// DefaultFanout is the number of agents to which a request is offered at once by default.
	DefaultFanout = 3
	// DefaultRequests is the most open requests by default.
	DefaultRequests = 20000

	// slackDivisor divides the time left to the target to give the time after which a request is
	// offered to more agents.
	slackDivisor = 8
	// minWiden and maxWiden bound that time.
	minWiden = 20 * time.Millisecond
	maxWiden = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after all agents have declined.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxFailures is the most failed attempts of a request.
	maxFailures = 6
	// maxPreempted is the number of preemptions after which a request is offered as not preemptible.
	maxPreempted = 3
	// retryBurst is the most retries in the budget of a class.
	retryBurst = 50
	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter = time.Second
	// stallGrace is the time beyond the class's StallAfter after which an attempt without
	// progress counts as lost.
	stallGrace = 2 * time.Second
)

// Core makes the decisions of one entry. Rand must be set.
type Core struct {
	Rand     *rand.Rand
	Fanout   int // agents to which a request is offered at once, 0 for DefaultFanout
	Requests int // most open requests, 0 for DefaultRequests

	agents   map[string]*agent
	routes   map[string][]*route
	requests map[message.RequestID]*request
	timers   heaps.Heap[*request] // open requests by dueAt
	prefixes affinity.Table
	budgets  map[string]float64
	last     message.RequestID
	draining bool
	scratch  []candidate
	actions  []Action
}

func (c *Core) init() {
	if c.agents != nil {
		return
	}
	c.agents = map[string]*agent{}
	c.routes = map[string][]*route{}
	c.requests = map[message.RequestID]*request{}
	c.budgets = map[string]float64{}
}

// takeActions returns and clears the collected actions.
func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// sorted returns the requests in order of arrival.
func (c *Core) sorted() []*request {
	all := make([]*request, 0, len(c.requests))
	for _, r := range c.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return int(int64(a.id) - int64(b.id)) })
	return all
}

// Accept accepts a request and offers it to agents. A refused request is
// finished in the returned actions.
func (c *Core) Accept(now time.Time, q Request) (message.RequestID, []Action) {
	c.init()
	c.last++
	id := c.last
	if code := c.refusal(q); code != result.OK {
		c.emit(Finish{Request: id, Code: code, Run: result.NotRun, RetryAfter: minRetryAfter})
		return id, c.takeActions()
	}
	r := &request{Request: q, id: id, accepted: now, waitingSince: now, state: offering, attempt: 1, offers: map[string]offer{}}
	r.dueAt = now.Add(q.GiveUp)
	c.requests[id] = r
	c.timers.Push(r)
	c.earnRetries(q)
	c.widen(now, r)
	return id, c.takeActions()
}

func (c *Core) refusal(q Request) result.Code {
	bound := c.Requests
	if bound <= 0 {
		bound = DefaultRequests
	}
	switch {
	case c.draining:
		return result.Draining
	case len(c.requests) >= bound:
		return result.EntryFull
	case !c.isServed(q.Target):
		return result.NoEndpoint
	default:
		return result.OK
	}
}

// isServed reports whether an agent that is not leaving serves the target.
func (c *Core) isServed(target string) bool {
	for _, o := range c.routes[target] {
		if !o.agent.leaving {
			return true
		}
	}
	return false
}

// exhausted handles a request that has no open offer and no agent left to try.
func (c *Core) exhausted(now time.Time, r *request) {
	if r.attempt == 1 && !c.isServed(r.Target) {
		c.refuse(r, result.NoEndpoint)
		return
	}
	if r.onlyFull() && c.allTried(now, r) {
		c.refuse(r, result.QueueFull)
		return
	}
	pause := min(maxBackoff, minBackoff<<min(r.rounds, 5))
	pause = pause/2 + time.Duration(c.Rand.Int64N(int64(pause/2)))
	r.rounds++
	clear(r.offers)
	r.nextWiden = now.Add(pause)
	c.resetTimer(r)
}

// allTried reports whether the request was offered to every agent that serves the target and
// is not leaving. Ejected agents count as tried.
func (c *Core) allTried(now time.Time, r *request) bool {
	for _, o := range c.routes[r.Target] {
		if !o.agent.leaving && !r.tried(o.agent.name) && o.agent.mayOffer(now) {
			return false
		}
	}
	return true
}

func (c *Core) refuse(r *request, code result.Code) {
	c.withdraw(r, "")
	c.close(r, Finish{Request: r.id, Code: code, Run: r.run(), RetryAfter: c.retryAfter(r)})
}

// retryAfter returns the shortest expected wait of any agent for the request's tier, within bounds.
func (c *Core) retryAfter(r *request) time.Duration {
	best := time.Duration(-1)
	for _, o := range c.routes[r.Target] {
		if w := o.wait(r.Terms.Tier); best < 0 || w < best {
			best = w
		}
	}
	return min(time.Minute, max(minRetryAfter, best))
}

// withdraw withdraws all waiting offers except the one to the named agent.
func (c *Core) withdraw(r *request, except string) {
	for _, name := range r.waitingAgents() {
		delete(r.offers, name)
		if name == except {
			continue
		}
		c.emit(Send{Agent: name, Message: message.Withdraw{Request: r.id, Attempt: r.attempt}})
	}
}

func (r *request) waitingAgents() []string {
	var names []string
	for n, o := range r.offers {
		if o == waiting {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

func (c *Core) close(r *request, f Finish) {
	r.fire(end)
	c.unassign(r)
	delete(c.requests, r.id)
	c.timers.Remove(r.timerIndex)
	c.emit(f)
}

// resetTimer sets dueAt of the request to the next time at which Tick must handle it.
func (c *Core) resetTimer(r *request) {
	if r.state == started {
		r.dueAt = r.lastProgress.Add(r.stallBound())
	} else {
		r.dueAt = r.giveUpAt()
		if r.nextWiden.Before(r.dueAt) {
			r.dueAt = r.nextWiden
		}
	}
	c.timers.Fix(r.timerIndex)
}

// Next returns the time for the next call of Tick. ok is false if no request is open.
func (c *Core) Next() (at time.Time, ok bool) {
	if c.timers.Len() == 0 {
		return time.Time{}, false
	}
	return c.timers.First().dueAt, true
}

// Drain makes the core refuse new requests.
func (c *Core) Drain() { c.draining = true }

// Targets returns the number of targets that agents serve.
func (c *Core) Targets() int { return len(c.routes) }
