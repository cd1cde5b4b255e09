// Package lifecycle implements the state machine of a process: starting, serving,
// draining and stopped.
package lifecycle

import (
	"context"

	"github.com/qmuntal/stateless"
)

// State is a state of the process.
type State string

// States of a process.
const (
	Starting State = "starting" // not ready: no settings or no connections yet
	Serving  State = "serving"
	Draining State = "draining" // refuses new requests and completes open ones
	Stopped  State = "stopped"
)

type trigger string

const (
	ready trigger = "ready"
	stop  trigger = "stop"
	done  trigger = "done"
)

// Lifecycle is the state machine of one process. Create it with New.
type Lifecycle struct {
	machine *stateless.StateMachine
}

// New returns a state machine in the state Starting.
func New() *Lifecycle {
	m := stateless.NewStateMachine(Starting)
	m.Configure(Starting).Permit(ready, Serving).Permit(stop, Draining).Permit(done, Stopped)
	m.Configure(Serving).Ignore(ready).Permit(stop, Draining).Permit(done, Stopped)
	m.Configure(Draining).Ignore(ready).Ignore(stop).Permit(done, Stopped)
	m.Configure(Stopped).Ignore(ready).Ignore(stop).Ignore(done)
	return &Lifecycle{m}
}

// State returns the current state.
func (l *Lifecycle) State() State { return l.machine.MustState().(State) }

// Ready records that the process can serve. Later calls have no effect.
func (l *Lifecycle) Ready() { l.fire(ready) }

// Stop starts the graceful shutdown.
func (l *Lifecycle) Stop() { l.fire(stop) }

// Done records that the process has stopped.
func (l *Lifecycle) Done() { l.fire(done) }

func (l *Lifecycle) fire(tr trigger) {
	if err := l.machine.FireCtx(context.Background(), tr); err != nil {
		panic("lifecycle: " + err.Error()) // every state handles every trigger
	}
}
