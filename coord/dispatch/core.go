package dispatch

import (
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/queue"
	"foxcross.dev/coord/result"
)

const (
	// DefaultHold is the default time for which a slot is held for its start, well above a round
	// trip.
	DefaultHold = 250 * time.Millisecond
	// maxTickInterval is the longest time between two calls of Tick.
	maxTickInterval = 500 * time.Millisecond
)

// Core makes the decisions of one agent. The zero value has no endpoints; add them first.
type Core struct {
	Hold  time.Duration // how long a slot is held for its start, DefaultHold if 0
	Bound int           // most queued offers per target

	pools   map[string]*pool
	targets []string // in the order of Add
	work    map[queue.Key]*work
	leaving bool
	actions []Action
}

// Add adds a local endpoint.
func (c *Core) Add(d Endpoint) {
	if c.pools == nil {
		c.pools = map[string]*pool{}
		c.work = map[queue.Key]*work{}
	}
	p, ok := c.pools[d.Target]
	if !ok {
		p = &pool{target: d.Target, classes: map[string]int{}}
		p.queue = queue.Queue{Bound: c.Bound}
		c.pools[d.Target] = p
		c.targets = append(c.targets, d.Target)
	}
	p.endpoints = append(p.endpoints, &endpoint{
		Endpoint: d,
		work:     map[queue.Key]*work{},
		targets:  map[time.Duration]int{},
	})
}

// takeActions returns and clears the collected actions.
func (c *Core) takeActions() []Action {
	out := c.actions
	c.actions = nil
	return out
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// Offer queues an offer or declines it.
func (c *Core) Offer(now time.Time, owner uint64, o message.Offer) []Action {
	key := queue.Key{Owner: owner, Request: o.Request}
	p, ok := c.pools[o.Target]
	switch {
	case c.leaving:
		c.decline(key, o.Attempt, result.AgentLeaving)
	case !ok:
		c.decline(key, o.Attempt, result.AgentNoTarget)
	case c.work[key] != nil || p.queue.Get(key) != nil:
		c.decline(key, o.Attempt, result.Withdrawn)
	default:
		c.enqueue(now, p, key, o)
		c.fill(now, p)
	}
	return c.takeActions()
}

func (c *Core) enqueue(now time.Time, p *pool, key queue.Key, o message.Offer) {
	arrived := now.Add(-o.Age)
	item := &queue.Item{Key: key, Offer: o, Arrived: arrived, Deadline: p.latestStart(arrived, o.Terms)}
	evicted, accepted := p.queue.Push(item, now)
	if evicted != nil {
		c.decline(evicted.Key, evicted.Offer.Attempt, result.Evicted)
	}
	if !accepted {
		c.decline(key, o.Attempt, result.AgentFull)
	}
}

func (c *Core) decline(k queue.Key, a message.Attempt, code result.Code) {
	c.emit(Reply{Owner: k.Owner, Message: message.Declined{Request: k.Request, Attempt: a, Code: code}})
}

// release frees the slot of work and returns its pool.
func (c *Core) release(w *work) *pool {
	p := c.pools[w.item.Offer.Target]
	class := w.item.Offer.Terms.Class
	w.endpoint.remove(w)
	delete(c.work, w.item.Key)
	p.classes[class]--
	if p.classes[class] == 0 {
		delete(p.classes, class)
	}
	return p
}

// Withdraw removes an offer that is queued or holds a slot.
func (c *Core) Withdraw(now time.Time, owner uint64, m message.Withdraw) []Action {
	key := queue.Key{Owner: owner, Request: m.Request}
	if w := c.work[key]; w != nil {
		if w.state == held && w.item.Offer.Attempt == m.Attempt {
			c.fill(now, c.release(w))
		}
		return c.takeActions()
	}
	for _, n := range c.targets {
		p := c.pools[n]
		if i := p.queue.Get(key); i != nil && i.Offer.Attempt == m.Attempt {
			p.queue.Remove(key)
		}
	}
	return c.takeActions()
}

// Progress records new tokens of running work. For the bytes of a service, tokens is 0.
func (c *Core) Progress(now time.Time, k queue.Key, tokens int) {
	w := c.work[k]
	if w == nil || w.state != running {
		return
	}
	p := c.pools[w.item.Offer.Target]
	if w.tokens == 0 && tokens > 0 {
		p.firstToken.add(now.Sub(w.started))
	} else if tokens > 0 {
		gap := now.Sub(w.lastToken) / time.Duration(tokens)
		p.betweenTokens.add(gap)
		w.endpoint.learned.Observe(w.endpoint.active, gap)
	}
	w.tokens += tokens
	w.lastToken = now
}

// Ended records that an endpoint has finished or abandoned work. The end is sent to
// the owner unless an end was sent before.
func (c *Core) Ended(now time.Time, k queue.Key, end message.End) []Action {
	w := c.work[k]
	if w == nil {
		return c.takeActions()
	}
	p := c.release(w)
	if w.state != stopping {
		c.recordOutcome(now, p, w, end)
		end.Request = k.Request
		end.Attempt = w.item.Offer.Attempt
		c.emit(Finish{Key: k, End: end})
	}
	c.fill(now, p)
	return c.takeActions()
}

// recordOutcome updates the health and the statistics of the endpoint by an end that the endpoint
// itself caused.
func (c *Core) recordOutcome(now time.Time, p *pool, w *work, end message.End) {
	if end.Code != result.OK {
		p.recordFailure(now, w.endpoint)
		return
	}
	w.endpoint.circuit.Succeeded(now)
	p.duration.add(now.Sub(w.started))
	if w.item.Offer.Terms.BetweenTokens == 0 {
		w.endpoint.learned.Observe(w.endpoint.active+1, now.Sub(w.started))
	}
}

// Cancel stops an attempt at the request of its owner.
func (c *Core) Cancel(now time.Time, owner uint64, m message.Cancel) []Action {
	key := queue.Key{Owner: owner, Request: m.Request}
	w := c.work[key]
	if w == nil || w.item.Offer.Attempt != m.Attempt {
		return c.takeActions()
	}
	switch w.state {
	case held:
		c.fill(now, c.release(w))
	case running:
		c.stop(w, result.Cancelled)
	case stopping:
	}
	return c.takeActions()
}

// Leaving reports whether the agent accepts no new work.
func (c *Core) Leaving() bool { return c.leaving }

// Idle reports whether no work is queued, held or running.
func (c *Core) Idle() bool {
	for _, n := range c.targets {
		if c.pools[n].queue.Len() > 0 {
			return false
		}
	}
	return len(c.work) == 0
}

// Tick releases slots whose start did not arrive in time, stops stalled work and
// processes the queues.
func (c *Core) Tick(now time.Time) []Action {
	for _, w := range c.filter(func(w *work) bool { return w.state == held && !w.heldUntil.After(now) }) {
		c.release(w)
		c.decline(w.item.Key, w.item.Offer.Attempt, result.SlotGone)
	}
	for _, w := range c.filter(func(w *work) bool { return w.state == running && w.stalled(now) }) {
		c.stop(w, result.Stalled)
		c.pools[w.item.Offer.Target].recordFailure(now, w.endpoint)
	}
	c.fillAll(now)
	return c.takeActions()
}

func (w *work) stalled(now time.Time) bool {
	maxGap := w.item.Offer.Terms.StallAfter
	return maxGap > 0 && now.Sub(w.lastToken) >= maxGap
}

// Next returns the latest time for the next call of Tick.
func (c *Core) Next(now time.Time) time.Time {
	next := now.Add(maxTickInterval)
	for _, w := range c.work {
		if w.state == held && w.heldUntil.Before(next) {
			next = w.heldUntil
		}
	}
	for _, n := range c.targets {
		next = c.pools[n].nextUrgent(now, next)
	}
	return next
}

// Loads returns the load of every target, as reported to entries.
func (c *Core) Loads(now time.Time) []message.Load {
	loads := make([]message.Load, 0, len(c.targets))
	for _, n := range c.targets {
		loads = append(loads, c.pools[n].load(now))
	}
	return loads
}
