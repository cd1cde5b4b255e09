package dispatch

import (
	"time"

	"foxcross.dev/coord/health"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/queue"
)

// Parameters of the moving averages.
const (
	// newestWeight is the weight of the newest value in a moving average.
	newestWeight = 0.1
	// defaultFirstToken is the assumed time to the first token before any is measured.
	defaultFirstToken = 200 * time.Millisecond
	// defaultDuration is the assumed duration of work before any is measured.
	defaultDuration = 2 * time.Second
)

// mean is an exponentially weighted moving average.
type mean struct {
	value time.Duration
	known bool
}

func (m *mean) add(d time.Duration) {
	if !m.known {
		m.value = d
		m.known = true
		return
	}
	m.value += time.Duration(newestWeight * float64(d-m.value))
}

func (m *mean) orDefault(d time.Duration) time.Duration {
	if m.known {
		return m.value
	}
	return d
}

// pool is the queue and the endpoints of one target.
type pool struct {
	target        string
	queue         queue.Queue
	endpoints     []*endpoint
	firstToken    mean // from start to first token
	betweenTokens mean // between two tokens
	duration      mean // from start to end
	classes       map[string]int
}

// slots returns the most concurrent work of the endpoints with their current mix of targets.
func (p *pool) slots() int {
	sum := 0
	for _, e := range p.endpoints {
		sum += max(1, e.limit(0))
	}
	return max(1, sum)
}

// slotInterval returns the expected time between two slots becoming free.
func (p *pool) slotInterval() time.Duration {
	return p.duration.orDefault(defaultDuration) / time.Duration(p.slots())
}

func (p *pool) runningOf(class string) int { return p.classes[class] }

func (p *pool) capacity() queue.Capacity {
	return queue.Capacity{Slots: p.slots(), NextFree: p.slotInterval(), Running: p.runningOf}
}

// latestStart returns the latest start that still meets the offer's target.
func (p *pool) latestStart(arrived time.Time, t message.Terms) time.Time {
	if t.BetweenTokens == 0 {
		return arrived.Add(t.FirstToken - min(t.FirstToken/2, p.duration.orDefault(0)))
	}
	return arrived.Add(t.FirstToken - min(t.FirstToken*3/4, p.firstToken.orDefault(defaultFirstToken)))
}

// fit describes how well an endpoint suits an item.
type fit struct {
	freeSlots    int
	cachedBlocks int // leading blocks of the prompt that the endpoint has received
	suspect      bool
}

// betterThan reports whether f is preferred to o: healthy endpoints first, then those with the
// longest cached prefix, then those with the most free slots.
func (f fit) betterThan(o fit) bool {
	if f.suspect != o.suspect {
		return o.suspect
	}
	if f.cachedBlocks != o.cachedBlocks {
		return f.cachedBlocks > o.cachedBlocks
	}
	return f.freeSlots > o.freeSlots
}

// bestEndpoint returns the endpoint with a free slot that suits the item best, or nil.
func (p *pool) bestEndpoint(now time.Time, i *queue.Item) *endpoint {
	var best *endpoint
	var bestFit fit
	for _, e := range p.endpoints {
		free := e.freeSlots(now, latencyTarget(i))
		if free <= 0 {
			continue
		}
		f := fit{
			freeSlots:    free,
			cachedBlocks: e.prefixes.Longest(i.Offer.Prefix)[e.Name],
			suspect:      e.circuit.State() != health.Healthy,
		}
		if best == nil || f.betterThan(bestFit) {
			best = e
			bestFit = f
		}
	}
	return best
}

// recordFailure records a failure of an endpoint, which may eject it within the bound on ejected
// endpoints.
func (p *pool) recordFailure(now time.Time, e *endpoint) {
	e.circuit.Failed(now, health.MayEject(p.ejected(), len(p.endpoints)))
}

func (p *pool) ejected() int {
	count := 0
	for _, e := range p.endpoints {
		if e.circuit.State() == health.Ejected {
			count++
		}
	}
	return count
}

// load returns the load of the pool, as reported to entries.
func (p *pool) load(now time.Time) message.Load {
	l := message.Load{
		Target:        p.target,
		Slots:         p.slots(),
		SlotInterval:  p.slotInterval(),
		FirstToken:    p.firstToken.orDefault(defaultFirstToken),
		BetweenTokens: p.betweenTokens.orDefault(0),
	}
	for _, e := range p.endpoints {
		l.Free += max(0, e.freeSlots(now, e.strictestTarget()))
		for tier := range l.Preemptible {
			l.Preemptible[tier] += max(0, e.preemptible(tier))
		}
	}
	ahead := 0
	for tier := range l.Wait {
		l.Queued[tier] = p.queue.LenTier(tier)
		ahead += l.Queued[tier]
		l.Wait[tier] = time.Duration(max(0, ahead+1-l.Free)) * l.SlotInterval
	}
	return l
}
