package binding

import (
	"math/bits"
	"slices"
	"time"

	"foxcross.dev/coord/affinity"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/rendezvous"
)

const (
	// fullReportAge is the age up to which a report is used as it is: two heartbeats.
	fullReportAge = 2 * time.Second
	// staleWaitFraction is the fraction of a report's age beyond fullReportAge that is added to
	// the wait.
	staleWaitFraction = 0.25
	// cachedSaving is the fraction of their prefill time that cached tokens save.
	cachedSaving = 0.8
	// hashSaving is the fraction of the time to the first token that the preferred agent of the
	// prompt's hash is assumed to save.
	hashSaving = 0.3
	// responseSlack is the time that an agent may take to respond beyond two round trips.
	responseSlack = 5 * time.Millisecond
)

// candidate is a route with its expected time to first token.
type candidate struct {
	route *route
	score time.Duration
}

// choose returns routes to up to count agents that were not tried for the request, best first.
func (c *Core) choose(now time.Time, r *request, count int) []*route {
	defer c.setCachedBlocks(r)()
	preferred := c.preferred(r)
	nowNS := now.UnixNano()
	best := c.scratch[:0]
	for _, o := range c.routes[r.Target] {
		if len(r.offers) > 0 && r.tried(o.agent.name) || !o.agent.mayOffer(now) {
			continue
		}
		s := c.score(nowNS, r, o, o == preferred)
		if len(best) < count || s < best[len(best)-1].score {
			best = insert(best, candidate{o, s}, count)
		}
	}
	c.scratch = best
	chosen := make([]*route, len(best))
	for n, b := range best {
		chosen[n] = b.route
	}
	return chosen
}

// setCachedBlocks sets the cachedBlocks of each agent for the request's prompt. The returned
// function clears them.
func (c *Core) setCachedBlocks(r *request) (clear func()) {
	seen := c.prefixes.Longest(r.Prefix)
	for name, blocks := range seen {
		if a := c.agents[name]; a != nil {
			a.cachedBlocks = blocks
		}
	}
	return func() {
		for name := range seen {
			if a := c.agents[name]; a != nil {
				a.cachedBlocks = 0
			}
		}
	}
}

// insert inserts k into the ordered best candidates and returns at most count of them.
func insert(best []candidate, k candidate, count int) []candidate {
	at := len(best)
	for at > 0 && k.score < best[at-1].score {
		at--
	}
	if at >= count {
		return best
	}
	best = slices.Insert(best, at, k)
	return best[:min(len(best), count)]
}

// preferred returns the route to the agent that ranks highest for the hash of the prompt's first
// block. All entries compute the same agent without communication.
func (c *Core) preferred(r *request) *route {
	if len(r.Prefix) == 0 {
		return nil
	}
	var best *route
	var most uint64
	for _, o := range c.routes[r.Target] {
		h := rendezvous.Rank(r.Prefix[0], o.agent.hash)
		if best == nil || h > most {
			best = o
			most = h
		}
	}
	return best
}

// score returns the expected time to the first token over the route.
func (c *Core) score(nowNS int64, r *request, o *route, preferred bool) time.Duration {
	wait := o.wait(r.Terms.Tier)
	if age := time.Duration(nowNS - o.reportedAt); age > fullReportAge {
		wait += time.Duration(staleWaitFraction * float64(age-fullReportAge))
	}
	first := o.load.FirstToken
	if o.agent.cachedBlocks > 0 && r.PromptTokens > 0 {
		saving := cachedSaving * min(1, float64(o.agent.cachedBlocks*affinity.BlockTokens)/float64(r.PromptTokens))
		first -= time.Duration(saving * float64(first))
	} else if preferred {
		first -= time.Duration(hashSaving * float64(first))
	}
	return wait + first + o.slowness(r.Terms) + o.agent.roundTrip/2 + c.jitter(o.load.SlotInterval/4)
}

// jitter returns a random duration below limit, so that entries with the same reports
// do not all choose the same agent.
func (c *Core) jitter(limit time.Duration) time.Duration {
	high, _ := bits.Mul64(c.Rand.Uint64(), uint64(limit))
	return time.Duration(high)
}

// wait returns the reported wait of the tier, corrected by this entry's offers since the report.
func (o *route) wait(tier int) time.Duration {
	tier = min(max(tier, 0), message.Tiers-1)
	over := o.sent - o.load.Free
	wait := o.load.Wait[tier]
	if over > 0 {
		wait += time.Duration(over) * o.load.SlotInterval / 2
	}
	if o.load.Preemptible[tier] > 0 {
		wait /= 2
	}
	return wait
}

// hasFreeSlot reports whether the agent reported more free slots than this entry has
// sent offers since. Such an agent first gets the only offer: if others got offers
// too, the fastest response would win, not the best choice.
func (o *route) hasFreeSlot() bool { return o.sent < o.load.Free }

// responseTime returns how long to wait for the response of an agent with a free slot before the
// request is offered to others.
func (o *route) responseTime() time.Duration { return 2*o.agent.roundTrip + responseSlack }

// slowness returns a penalty for endpoints that miss the target of the time between tokens.
func (o *route) slowness(t message.Terms) time.Duration {
	if t.BetweenTokens <= 0 || o.load.BetweenTokens <= t.BetweenTokens {
		return 0
	}
	over := float64(o.load.BetweenTokens-t.BetweenTokens) / float64(t.BetweenTokens)
	return time.Duration(min(4, over) * float64(t.FirstToken))
}
