package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/rendezvous"
)

// Weights of the parts of a cost. The unit is the worth of one request in time.
const (
	lateFrom      = 0.5  // share of the aim from which lateness counts
	lateTo        = 1.2  // share of the aim at which it counts in full
	lateWeight    = 0.8  // of an answer that is late
	laterWeight   = 0.1  // for each further aim
	harmWeight    = 1.0  // of a running stream whose pause breaks
	doomedWeight  = 0.1  // of one whose pause is broken already
	readAgain     = 4e-4 // of a shared token that is read again
	homeShare     = 0.1  // of reading again, where a shared part is rather kept elsewhere
	readNew       = 1e-5 // of any token that is read
	poolWeight    = 0.5  // of leaving the pool that a prompt belongs to
	loadWeight    = 0.1  // of a full engine
	overWeight    = 1.5  // of a place beyond the slots
	memoryWeight  = 1.0  // of memory beyond what there is
	farWeight     = 0.01 // of another data centre
	errorCost     = 2.0  // of an endpoint that always fails
	avoidCost     = 20.0 // of an endpoint that is backed off from
	suspectWeight = 1.0  // of an endpoint that is late by one aim
	safeShare     = 0.5  // of the pause allowed below which no reading breaks it
	pauseShare    = 0.8  // of the pause allowed that may be used up
	stepMS        = 4.0  // of one token beside no prompt, a prior
	serviceWeight = 1.0  // of a full plain endpoint
)

// Choice is where a request goes and why.
type Choice struct {
	Endpoint Endpoint
	Cost     float64
	Terms    Terms
	WaitMS   float64 // expected until the prompt is read
	FirstMS  float64 // expected until the first event
	Uncached int     // prompt tokens to be read
	Again    int     // of them shared with prompts that were read elsewhere lately
	Long     bool    // the prompt breaks the shortest pause allowed
	Pool     int     // endpoints that long prompts are kept to
	Taken    float64 // share of the service's slots that are taken
	Factor   float64 // slowness of the endpoint, 1 for as expected
}

// Terms are the parts of a cost.
type Terms struct {
	Late     float64 `json:"late"`     // the request's own first event
	Harm     float64 `json:"harm"`     // pauses of running streams and its own
	Again    float64 `json:"again"`    // tokens that are read, shared ones above all
	Crowding float64 `json:"crowding"` // slots and memory
	Pool     float64 `json:"pool"`     // leaving the pool that it belongs to
	Trouble  float64 `json:"trouble"`  // failures, silence, backing off
	Distance float64 `json:"distance"` // another data centre
}

func (t Terms) sum() float64 {
	return t.Late + t.Harm + t.Again + t.Crowding + t.Pool + t.Trouble + t.Distance
}

// Choose returns the endpoint of least cost that is not excluded; false if
// there is none.
func (t *Table) Choose(now time.Time, j Job, exclude func(id string) bool, random *rand.Rand) (Choice, bool) {
	service := t.service(j.Service)
	best := Choice{Cost: math.Inf(1)}
	found := false
	pool := service.demand.size(len(service.members))
	equal := 0
	taken := service.taken()
	home := t.home(service, j, pool)
	for n, s := range service.members {
		if s.Leaving || exclude(s.ID) || service.Most > 0 && len(s.jobs) >= service.Most {
			continue
		}
		c := t.estimate(now, service, s, j, n < pool, home == nil || s == home)
		c.Pool = pool
		c.Taken = taken
		if c.Cost == best.Cost {
			equal++
			if random.IntN(equal+1) > 0 {
				continue
			}
		} else if c.Cost > best.Cost {
			continue
		} else {
			equal = 0
		}
		best = c
		found = true
	}
	return best, found
}

// home returns the endpoint at which the prompt's shared parts are kept, or
// will be, as far as all entries can tell without having heard of them: the
// first by rank among those for prompts of its size. It is nil where nothing is
// shared.
func (t *Table) home(service *service, j Job, pool int) *state {
	shared := len(j.Prompt.Parts) - 1
	if shared < 1 {
		return nil
	}
	_, perToken := service.speed.line()
	long := t.heavy(service, float64(j.Prompt.Tokens)*perToken)
	key := j.Prompt.Parts[shared-1].ID
	var home *state
	lowest := uint64(math.MaxUint64)
	for n, s := range service.members {
		if s.Leaving || pool > 0 && (n < pool) != long {
			continue
		}
		if rank := rendezvous.Rank(key, s.rank); rank < lowest {
			home, lowest = s, rank
		}
	}
	return home
}

// taken returns the share of the slots that are taken, 0 where none are known.
func (s *service) taken() float64 {
	jobs, slots := 0, 0
	for _, e := range s.members {
		if e.Leaving {
			continue
		}
		jobs += min(len(e.jobs), e.Slots)
		slots += e.Slots
	}
	if slots == 0 {
		return 0
	}
	return float64(jobs) / float64(slots)
}

// estimate returns what the request would cost at the endpoint.
func (t *Table) estimate(now time.Time, service *service, s *state, j Job, pool, home bool) Choice {
	c := Choice{
		Endpoint: s.Endpoint,
		Factor:   s.factor,
		Terms:    Terms{Distance: t.distance(s), Trouble: s.trouble(now)},
	}
	if s.Engine {
		t.estimateEngine(now, service, s, j, pool, home, &c)
	} else {
		c.Terms.Crowding = plainCost(now, s, j)
	}
	c.Cost = c.Terms.sum()
	return c
}

// trouble returns the cost of an endpoint's recent failures.
func (s *state) trouble(now time.Time) float64 {
	cost := errorCost * s.errors
	if now.Before(s.avoidTo) {
		cost += avoidCost
	}
	return cost
}

// estimateEngine fills in what concerns engines only.
func (t *Table) estimateEngine(now time.Time, service *service, s *state, j Job, pool, home bool, c *Choice) {
	base, perToken := service.speed.line()
	c.Uncached = j.Prompt.Tokens - min(s.cache.reusable(j.Prompt), j.Prompt.Tokens)
	c.Again = t.rereading(now, s, j)
	c.Long = t.heavy(service, float64(c.Uncached)*perToken)
	read := float64(c.Uncached) * perToken * s.factor
	c.WaitMS = s.wait(now, j.Priority)
	c.FirstMS = base*s.factor + c.WaitMS + read
	aim := max(milliseconds(j.Aim), 1)
	c.Terms.Late = lateness(c.FirstMS / aim)
	c.Terms.Trouble += suspectWeight * s.overdue(now) / aim
	c.Terms.Harm = s.harm(now, service, j, read)
	c.Terms.Again = readAgain*float64(c.Again) + readNew*float64(c.Uncached)
	if !home {
		c.Terms.Again += homeShare * readAgain * float64(s.cache.missing(j.Prompt))
	}
	c.Terms.Crowding = s.crowding(service, j)
	if pool != c.Long {
		c.Terms.Pool = poolWeight
	}
}

// lateness returns the cost of a first event at a multiple of the aim.
func lateness(share float64) float64 {
	ramp := min(max((share-lateFrom)/(lateTo-lateFrom), 0), 1)
	return lateWeight*ramp + laterWeight*share
}

// harm returns the cost of pauses: those of the running streams that the
// prompt would stretch, and the request's own by long prompts to come.
func (s *state) harm(now time.Time, service *service, j Job, read float64) float64 {
	cost := 0.0
	before := s.reading(now)
	for _, p := range s.jobs {
		limit, bounded := s.pauseLimit(service, p.job)
		switch {
		case !bounded || before+read <= limit:
		case before > limit:
			cost += doomedWeight
		default:
			cost += harmWeight
		}
	}
	if limit, bounded := s.pauseLimit(service, j); bounded {
		life := stepMS * s.factor * float64(j.Prompt.Out()) / 1000 // seconds
		cost += harmWeight * (1 - math.Exp(-s.rate(now, limit)*life))
	}
	return cost
}

// pauseLimit returns how many ms of reading fit into a pause of the job; false
// where any reading does.
func (s *state) pauseLimit(service *service, j Job) (float64, bool) {
	if j.Pause <= 0 {
		return 0, false
	}
	pause := milliseconds(j.Pause)
	if high, known := service.stretched.high(); known && high*s.factor < safeShare*pause {
		return 0, false
	}
	event := stepMS * float64(max(service.EventTokens, 1))
	if mean := service.plain.mean; service.plain.count >= fewValues {
		event = mean
	}
	return max(pauseShare*pause-event*s.factor, 1), true
}

// rereading returns the tokens of shared parts that another endpoint has read
// lately and this one would read again.
func (t *Table) rereading(now time.Time, s *state, j Job) int {
	again := 0
	kept := true
	for n := range len(j.Prompt.Parts) - 1 {
		part := j.Prompt.Parts[n]
		kept = kept && s.cache.has(part.ID)
		if at, ok := t.shared[part.ID]; !kept && ok && now.Sub(at) < t.ReuseLife {
			again += part.Tokens
		}
	}
	return again
}

// crowding returns the cost of slots and memory that run out.
func (s *state) crowding(service *service, j Job) float64 {
	cost := 0.0
	if s.Slots > 0 {
		load := float64(len(s.jobs)+1) / float64(s.Slots)
		cost += loadWeight*load + overWeight*max(load-1, 0)
	}
	if service.MemoryTokens > 0 {
		load := float64(s.tokens+j.Prompt.Tokens+j.Prompt.Out()) / float64(service.MemoryTokens)
		cost += memoryWeight * max(load-1, 0)
	}
	return cost
}

func (t *Table) distance(s *state) float64 {
	if s.DataCentre == t.DataCentre {
		return 0
	}
	return farWeight
}

// plainCost returns the cost of an endpoint that runs no model.
func plainCost(now time.Time, s *state, j Job) float64 {
	load := float64(len(s.jobs))
	if s.Slots > 0 {
		load /= float64(s.Slots)
	}
	oldest := 0.0
	for _, p := range s.jobs {
		oldest = max(oldest, milliseconds(now.Sub(p.at)))
	}
	late := max(oldest/max(milliseconds(j.Aim), 1)-1, 0)
	return serviceWeight*load + overWeight*max(load-1, 0) + suspectWeight*late
}
