// Package coord holds the decision logic of foxcross as a library that other programs can embed.
// Its packages do no I/O, start no goroutine and read no clock: callers pass in time and
// randomness, serialise the calls, and execute the decisions.
//
// For processes that forward requests directly to endpoints (direct mode), in the order of a
// request's path:
//
//   - eligibility: which endpoints may serve a request
//   - placement: the choice of an endpoint
//   - admission: whether a request is sent there, or refused for now
//   - share: which part of the engine time each team should get under contention
//   - replication: which runs are copied to a second engine, and continue there
//   - memory: which parts of prompts engines cache, and whether a part is fetched or computed
//   - budget: how many retries a process may send, within a bound on those of all processes
//   - quarantine: which request contents are held because endpoints crashed on them
//   - fanout: which processes relay broadcast messages
//   - duty: the leader election for work that one process does at a time, and the usage it reports
//   - clock: the true time, derived from clocks of which some are wrong
//   - freshness: since when data of another process has been the newest
//
// For processes that offer requests to agents next to the endpoints (relay mode):
//
//   - message: the typed messages between entries and agents
//   - binding: at the entry, offers to agents, the start of a request, and retries
//   - dispatch: at the agent, scheduling, held slots, preemption and graceful shutdown
//   - queue: the order of queued offers, eviction, and the starvation guard
//   - limit: the learned limit on the concurrent requests of an endpoint, and the limits of a team
//   - health: when a failing endpoint is ejected, and when it is probed again
//   - affinity: which endpoints have received the prefix of a prompt
//   - subset: to which agents a process keeps connections
//   - claim: the ownership of idempotency keys
//
// For both:
//
//   - settings: the tree that operators edit, its validation and versions
//   - result: the numbered codes, and what each states about execution
//   - rendezvous: an order of members that all processes compute alike
//   - heaps: a heap whose items can be moved and removed
//
// Some decisions exist in both modes and differ for a reason. placement has its own
// health state and prefix caches and weighs them as costs, while dispatch and binding exclude
// an ejected endpoint. budget shares a bound between processes that do not communicate, while
// binding has a budget for its own requests only.
package coord
