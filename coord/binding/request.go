package binding

import (
	"context"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"

	"github.com/qmuntal/stateless"
)

// Request is what the entry knows of a request when it accepts it.
type Request struct {
	Target        string // model or service
	Terms         message.Terms
	GiveUp        time.Duration // longest wait for a start
	RetryPermille int           // retries per thousand fresh requests of the class
	PromptTokens  int
	Prefix        []uint64
}

// state is where a request is. Its transitions, by step:
//
//	offering  --bind-->    started   if it may run once more
//	started   --unbind-->  offering
//	offering  --end-->     ended
//	started   --end-->     ended
type state string

const (
	offering state = "offering" // no start is out
	started  state = "started"  // one start is out
	ended    state = "ended"
)

type step string

const (
	bind   step = "bind"   // a start is sent
	unbind step = "unbind" // the attempt is over, another may follow
	end    step = "end"
)

// offer is what became of an offer to one agent in this round.
type offer uint8

const (
	waiting offer = iota + 1 // sent, not answered
	full                     // declined for lack of room
	failed                   // declined for another reason, or connection lost
)

// request is the state of an accepted request.
type request struct {
	Request
	id         message.RequestID
	accepted   time.Time
	waits      time.Time // since when it waits for a start
	state      state
	attempt    message.Attempt
	offers     map[string]offer
	startedAt  string // agent that has the start
	mayHaveRun bool   // a start was sent that is not known to be not run
	ranBefore  bool   // the same, before the start that is out
	stuck      bool   // the part can't be continued elsewhere
	preempted  int
	failures   int // attempts that failed
	rounds     int // times all agents were asked and none took it
	nextWiden  time.Time
	lastToken  time.Time
	wake       time.Time
	place      int // in the heap of wake times
}

type requestKey struct{}

// machine is shared by all requests: the state is read from and written to the request
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

// mayStart forbids a second start of what may not be repeated.
func mayStart(ctx context.Context, _ ...any) bool {
	r := requestOf(ctx)
	return r.Terms.Repeatable || !r.mayHaveRun
}

// fire moves the request on; false means that the step is not allowed.
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

// onlyFull tells whether every agent in reach declined for lack of room.
func (r *request) onlyFull() bool {
	for _, o := range r.offers {
		if o != full {
			return false
		}
	}
	return len(r.offers) > 0
}

// run is what the caller is told about execution.
func (r *request) run() result.Run {
	if r.mayHaveRun {
		return result.Unknown
	}
	return result.NotRun
}

// giveUpAt returns when a request that was not started is refused.
func (r *request) giveUpAt() time.Time { return r.waits.Add(r.GiveUp) }

// Before orders requests by the time at which they are due.
func (r *request) Before(o *request) bool { return r.wake.Before(o.wake) }

// Moved takes in the place in the heap of wake times.
func (r *request) Moved(place int) { r.place = place }
