package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"foxcross.dev/coord/budget"
	"foxcross.dev/coord/eligibility"
	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/steady"
)

// requestShare is the share of the connections that an endpoint takes which may carry
// requests; the rest is for those that are idle or being closed.
const requestShare = 0.8

// attempt is one send of a request to an endpoint, or the refusal to send it.
type attempt struct {
	id      placement.AttemptID
	choice  placement.Choice
	sentAt  time.Time
	crashes int    // that counted against the request's content then
	begun   bool   // its first event has come
	outcome string // for the log
	limit   string // that its answer named, as it stood there

	retryAfter string // of its answer, as it stood there
	draining   string // the same of the sign that the endpoint drains
	pushedBack bool   // its answer asked for a backoff
	bytes      int    // of its answer's body that were passed on
}

// Outcomes of an attempt in the log, beside those of its events.
const (
	outcomeOpen    = "open"
	outcomeRefused = "refused"
	// outcomeWithdrawn is that of an attempt that was not sent after all.
	outcomeWithdrawn = "withdrawn before it was sent"
)

func (a *attempt) endpoint() placement.Endpoint { return a.choice.Endpoint }

// attempts places requests at endpoints, keeps what is known of the attempts of all
// entries, and sends the events of this one's to the others. The lock guards the
// decision as a whole: the choice of an endpoint, the record of it and the order in
// which others are told.
type attempts struct {
	owner uint64

	mu      sync.Mutex
	bounds  driver.Bounds // of the settings file, may change
	table   placement.Table
	budgets map[string]*budget.Budget // by service
	random  *rand.Rand
	last    uint64       // number of the last attempt
	group   *peers.Group // nil before Join
}

func (a *attempts) init(o Options) {
	a.owner = o.Owner
	a.bounds = o.Process.Bounds
	a.budgets = map[string]*budget.Budget{}
	a.random = rand.New(rand.NewPCG(o.Seed, o.Owner))
	a.table = placement.Table{
		DataCentre: o.Process.DataCentre,
		Self:       o.Owner,
		ReuseLife:  o.Process.Bounds.ReuseWithin,
		Restoring:  true,
		Regions:    o.Process.Regions,
		Group:      eligibility.Group{Self: o.Owner},
		DrainGrace: drainGrace(o.Process.Bounds),
	}
}

// drainSlack is the part of the time allowed after the first sign of draining that is not used:
// what a request takes from its arrival to its send.
const drainSlack = 100 * time.Millisecond

// drainGrace returns how long after the first sign of draining an endpoint may get a request.
func drainGrace(b driver.Bounds) time.Duration { return max(b.LeaveWithin-drainSlack, 0) }

func (a *attempts) join(group *peers.Group) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.group = group
}

func (a *attempts) setBounds(b driver.Bounds) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bounds = b
	a.table.ReuseLife = b.ReuseWithin
	a.table.DrainGrace = drainGrace(b)
	for _, x := range a.budgets {
		x.Rules = rulesOf(b)
	}
}

func rulesOf(b driver.Bounds) budget.Rules {
	return budget.Rules{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack}
}

func (a *attempts) takeSettings(f directory.InForce) {
	services := servicesOf(f.Snapshot)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.SetServices(services)
}

func (a *attempts) takeEndpoints(list []placement.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.SetEndpoints(steady.Now(), list)
}

func (a *attempts) takeEvacuated(dataCentres []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.SetEvacuated(steady.Now(), dataCentres)
}

// servicesOf returns what placement is to know of each service: the strictest
// target between events among the classes that go there.
func servicesOf(s settings.Snapshot) []placement.Service {
	strictest := map[string]time.Duration{}
	for _, name := range s.Classes() {
		c, _ := s.Class(name)
		for _, share := range c.Route.Split {
			target := c.Terms.BetweenTokens
			if !c.Route.Streaming || target <= 0 {
				strictest[share.Service] += 0 // known, without a target of this class
				continue
			}
			if old := strictest[share.Service]; old <= 0 || target < old {
				strictest[share.Service] = target
			}
		}
	}
	var all []placement.Service
	for name, target := range strictest {
		i, _ := s.ServiceNamed(name)
		all = append(all, placement.Service{
			Name:          name,
			MemoryTokens:  i.MemoryTokens,
			MaxRequests:   int(requestShare * float64(i.MaxConnections)),
			EventTokens:   i.EventTokens,
			MoveRate:      memory.Rate{TokenBytes: i.TokenBytes, LinkMbps: float64(i.LinkMbps)},
			BetweenTokens: target,
			Warmup:        eligibility.WarmupLimit{PerSecond: i.WarmupRate, Duration: i.Warmup},
		})
	}
	return all
}

// randomPoint returns a number in [0, 1).
func (a *attempts) randomPoint() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.random.Float64()
}

// place chooses an endpoint that is not excluded and records the attempt there. It
// returns neither an attempt nor a refusal if there is no endpoint to try. A request
// that was sent before is not refused any more.
func (a *attempts) place(q *request, excluded map[string]bool) (*attempt, *result.Error) {
	now := steady.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	q.spec.TimeLeft = q.timeLeft()
	q.spec.NoFetch = q.crashes > 0 // what was fetched may be what crashed the endpoint that took it
	choice, ok := a.table.Choose(now, q.spec, func(id string) bool { return excluded[id] }, a.random)
	if !ok {
		return nil, nil
	}
	if retry, admitted := choice.Admit(q.spec, q.timeLeft()); !admitted && len(q.attempts) == 0 {
		q.attempts = append(q.attempts, &attempt{choice: choice, outcome: outcomeRefused})
		return nil, &result.Error{Code: result.QueueFull, Run: result.NotRun, RetryAfter: retry, Reason: "prompts wait too long"}
	}
	a.last++
	x := &attempt{
		id:      placement.AttemptID{Owner: a.owner, Number: a.last},
		choice:  choice,
		sentAt:  now,
		crashes: q.crashes,
		outcome: outcomeOpen,
	}
	spec := q.spec // the event is encoded later, when the request may be on its next attempt
	a.table.Place(now, x.id, choice.Endpoint.Incarnation(), spec, choice.Fetch)
	sent := peers.Event{Kind: peers.AttemptSent, Number: x.id.Number, Endpoint: choice.Endpoint.Incarnation(), Request: &spec}
	if choice.Fetch.Any() {
		sent.Fetch = &choice.Fetch
	}
	a.broadcast(sent)
	q.attempts = append(q.attempts, x)
	return x, nil
}

// obstacle returns why no endpoint may take a request now.
func (a *attempts) obstacle(q *request) placement.Obstacle {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Obstacle(steady.Now(), q.spec)
}

// firstEvent records the first event of an attempt; later calls change nothing.
func (a *attempts) firstEvent(q *request, x *attempt) {
	if x.begun {
		return
	}
	x.begun = true
	now := steady.Now()
	if q.first.IsZero() {
		q.first = now
		q.last = now
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.FirstEvent(now, x.id)
	a.broadcast(peers.Event{Kind: peers.FirstEvent, Number: x.id.Number})
}

// nextEvent records a later event of a stream.
func (a *attempts) nextEvent(q *request, x *attempt) {
	now := steady.Now()
	q.pause = max(q.pause, now.Sub(q.last))
	q.last = now
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.NextEvent(now, x.id)
}

// end records how an attempt ended.
func (a *attempts) end(x *attempt, e event) {
	x.outcome = e.text()
	o := e.placementOutcome()
	if x.pushedBack {
		o = placement.PushedBack
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.End(steady.Now(), x.id, o)
	a.broadcast(peers.Event{Kind: peers.AttemptEnded, Number: x.id.Number, Outcome: o})
}

// countRequest counts a request for the retry budget of its service.
func (a *attempts) countRequest(q *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget(q.spec.Service).Request(q.received)
}

// allowRetry asks the retry budget of a service for one more attempt, and counts it.
func (a *attempts) allowRetry(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget(service).Retry(steady.Now(), a.entries())
}

// budget returns the budget of a service. attempts.mu is held.
func (a *attempts) budget(service string) *budget.Budget {
	b := a.budgets[service]
	if b == nil {
		b = &budget.Budget{Rules: rulesOf(a.bounds)}
		a.budgets[service] = b
	}
	return b
}

// expire forgets attempts of other entries whose deadline has passed, and looks at who the
// others are.
func (a *attempts) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Expire(now)
	a.table.Group = a.census()
}

// state returns the number of live entries and what is known of the endpoints.
func (a *attempts) state() (entries int, endpoints []placement.EndpointState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entries(), a.table.States(steady.Now())
}
