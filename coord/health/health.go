// Package health implements a circuit breaker for an endpoint or an agent: it decides when one
// receives no new requests because it fails, and when it is probed again.
package health

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// State is the state of a circuit.
type State string

// The states.
const (
	Healthy State = "healthy"
	Suspect State = "suspect" // failed recently, still receives requests
	Ejected State = "ejected" // receives no requests for a time
	Probing State = "probing" // receives one request at a time as a probe
)

type trigger string

const (
	succeeded   trigger = "succeeded"
	failed      trigger = "failed"
	waitElapsed trigger = "waited"
)

const (
	// ejectAfter is the number of consecutive failures after which an endpoint is ejected.
	ejectAfter = 3
	// firstEjection is the length of the first ejection. Each further one without a success in
	// between is twice as long.
	firstEjection = time.Second
	// maxEjection is the maximum length of an ejection.
	maxEjection = 30 * time.Second
	// maxDoublings is the maximum number of doublings: firstEjection << maxDoublings is about
	// maxEjection.
	maxDoublings = 5
)

// Circuit is the circuit breaker of one endpoint. The zero value is healthy.
type Circuit struct {
	state    State
	failures int       // consecutive failures
	ejected  int       // ejections without a success in between
	until    time.Time // end of the last ejection
}

// machine is the state machine of all circuits. It reads and writes the state of the circuit in
// the context.
var machine = configure()

type transitionKey struct{}

type transition struct {
	circuit  *Circuit
	now      time.Time
	mayEject bool // the bound on ejected endpoints allows one more
}

func configure() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) { return transitionOf(ctx).circuit.State(), nil },
		func(ctx context.Context, s stateless.State) error {
			transitionOf(ctx).circuit.state = s.(State)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(Healthy).PermitReentry(succeeded).Permit(failed, Suspect).Ignore(waitElapsed)
	m.Configure(Suspect).
		Permit(succeeded, Healthy).
		Permit(failed, Ejected, shouldEject).
		PermitReentry(failed, staysSuspect).
		Ignore(waitElapsed)
	m.Configure(Ejected).
		OnEntry(startEjection).
		Ignore(succeeded).
		Ignore(failed).
		Permit(waitElapsed, Probing)
	m.Configure(Probing).
		Permit(succeeded, Healthy).
		Permit(failed, Ejected).
		Ignore(waitElapsed)
	return m
}

func transitionOf(ctx context.Context) transition { return ctx.Value(transitionKey{}).(transition) }

func shouldEject(ctx context.Context, _ ...any) bool {
	c := transitionOf(ctx)
	return c.circuit.failures >= ejectAfter && c.mayEject
}

func staysSuspect(ctx context.Context, args ...any) bool { return !shouldEject(ctx, args...) }

func startEjection(ctx context.Context, _ ...any) error {
	c := transitionOf(ctx)
	wait := min(maxEjection, firstEjection<<min(c.circuit.ejected, maxDoublings))
	c.circuit.ejected++
	c.circuit.until = c.now.Add(wait)
	return nil
}

// State returns the state.
func (c *Circuit) State() State {
	if c.state == "" {
		return Healthy
	}
	return c.state
}

// Succeeded records a successful request.
func (c *Circuit) Succeeded(now time.Time) {
	if c.state == "" || c.state == Healthy {
		return
	}
	c.failures = 0
	c.fire(succeeded, transition{circuit: c, now: now})
	if c.state == Healthy {
		c.ejected = 0
	}
}

// Failed records a failed request. The endpoint is ejected only if mayEject is set, so that the
// caller can bound the fraction of ejected endpoints.
func (c *Circuit) Failed(now time.Time, mayEject bool) {
	c.failures++
	c.fire(failed, transition{circuit: c, now: now, mayEject: mayEject})
}

// Allows reports whether the endpoint may receive a request. running is the number of its
// requests in progress.
func (c *Circuit) Allows(now time.Time, running int) bool {
	if c.state == Ejected && !now.Before(c.until) {
		c.fire(waitElapsed, transition{circuit: c, now: now})
	}
	switch c.state {
	case Ejected:
		return false
	case Probing:
		return running == 0
	default:
		return true
	}
}

// Until returns when an ejected endpoint may be probed.
func (c *Circuit) Until() time.Time { return c.until }

func (c *Circuit) fire(t trigger, tr transition) {
	ctx := context.WithValue(context.Background(), transitionKey{}, tr)
	if err := machine.FireCtx(ctx, t); err != nil {
		panic("health: " + err.Error()) // every state handles every trigger
	}
}

// MayEject reports whether one more of all endpoints may be ejected: at most half of them, and
// never the only one.
func MayEject(ejected, all int) bool { return 2*(ejected+1) <= all }
