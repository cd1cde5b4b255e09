package binding

import (
	"context"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"

	"github.com/qmuntal/stateless"
)

// Request is a request as the entry accepts it.
type Request struct {
	Target        string // model or service
	Terms         message.Terms
	GiveUp        time.Duration // longest wait for the start of an attempt
	RetryPermille int           // retries per thousand new requests of the class
	PromptTokens  int
	Prefix        []uint64
}

// state is the state of a request. Its transitions, by step:
//
//	offering  --bind-->    started   if it may run once more
//	started   --unbind-->  offering
//	offering  --end-->     ended
//	started   --end-->     ended
type state string

const (
	offering state = "offering" // no start is outstanding
	started  state = "started"  // one start is outstanding
	ended    state = "ended"
)

type step string

const (
	bind   step = "bind"   // a start is sent
	unbind step = "unbind" // the attempt has ended, another may follow
	end    step = "end"
)

// offer is the state of an offer to one agent in the current round.
type offer uint8

const (
	waiting offer = iota + 1 // sent, not answered
	full                     // declined because the agent is full
	failed                   // declined for another reason, or connection lost
)

// request is the state of an accepted request.
type request struct {
	Request
	id           message.RequestID
	accepted     time.Time
	waitingSince time.Time // start of the current wait for a start
	state        state
	attempt      message.Attempt
	offers       map[string]offer
	startAgent   string // agent to which the start was sent
	mayHaveRun   bool   // a start was sent that is not known as not run
	ranBefore    bool   // mayHaveRun before the current start
	unresumable  bool   // another endpoint can't continue the response sent so far
	preempted    int
	failures     int // attempts that failed
	rounds       int // times that the request was offered to all agents and none accepted
	nextWiden    time.Time
	lastProgress time.Time
	dueAt        time.Time
	timerIndex   int // index in Core.timers
}

type requestKey struct{}

// machine is the state machine of all requests. It reads and writes the state of the request
// in the context.
var machine = transitions()

func transitions() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) { return requestOf(ctx).state, nil },
		func(ctx context.Context, s stateless.State) error {
			requestOf(ctx).state = s.(state)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(offering).Permit(bind, started, mayStart).Permit(end, ended)
	m.Configure(started).Permit(unbind, offering).Permit(end, ended)
	m.Configure(ended)
	return m
}

func requestOf(ctx context.Context) *request { return ctx.Value(requestKey{}).(*request) }

// mayStart reports whether a request may be started: once, or again if it is repeatable.
func mayStart(ctx context.Context, _ ...any) bool {
	r := requestOf(ctx)
	return r.Terms.Repeatable || !r.mayHaveRun
}

// fire applies a step to the request and reports whether the step was allowed.
func (r *request) fire(s step) bool {
	ctx := context.WithValue(context.Background(), requestKey{}, r)
	return machine.FireCtx(ctx, s) == nil
}

func (r *request) tried(agent string) bool {
	_, ok := r.offers[agent]
	return ok
}

func (r *request) waiting() int {
	count := 0
	for _, o := range r.offers {
		if o == waiting {
			count++
		}
	}
	return count
}

// onlyFull reports whether every agent of this round declined because it is full.
func (r *request) onlyFull() bool {
	for _, o := range r.offers {
		if o != full {
			return false
		}
	}
	return len(r.offers) > 0
}

// run returns what is known about the execution of a request without a result.
func (r *request) run() result.Execution {
	if r.mayHaveRun {
		return result.Unknown
	}
	return result.NotRun
}

// giveUpAt returns the time at which a request that was not started is refused.
func (r *request) giveUpAt() time.Time { return r.waitingSince.Add(r.GiveUp) }

// Before orders requests by dueAt.
func (r *request) Before(o *request) bool { return r.dueAt.Before(o.dueAt) }

// Moved records the index in Core.timers.
func (r *request) Moved(index int) { r.timerIndex = index }
