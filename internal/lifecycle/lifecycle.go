// Package lifecycle is the life of a process: starting, serving, draining and
// stopped.
package lifecycle

import (
	"context"

	"github.com/qmuntal/stateless"
)

// State is a state of the process.
type State string

// The states.
const (
	Starting State = "starting" // not ready: no settings or no connections yet
	Serving  State = "serving"
	Draining State = "draining" // takes nothing new, finishes what it has
	Stopped  State = "stopped"
)

type trigger string

const (
	ready trigger = "ready"
	stop  trigger = "stop"
	done  trigger = "done"
)

// Life is the life of one process. Create it with New.
type Life struct {
	machine *stateless.StateMachine
}

// New returns a life in the state Starting.
func New() *Life {
	m := stateless.NewStateMachine(Starting)
	m.Configure(Starting).Permit(ready, Serving).Permit(stop, Draining).Permit(done, Stopped)
	m.Configure(Serving).Ignore(ready).Permit(stop, Draining).Permit(done, Stopped)
	m.Configure(Draining).Ignore(ready).Ignore(stop).Permit(done, Stopped)
	m.Configure(Stopped).Ignore(ready).Ignore(stop).Ignore(done)
	return &Life{m}
}

// State returns the present state.
func (l *Life) State() State { return l.machine.MustState().(State) }

// Ready notes that the process can serve. Later calls change nothing.
func (l *Life) Ready() { l.fire(ready) }

// Stop begins the clean stop.
func (l *Life) Stop() { l.fire(stop) }

// Done notes that the process has finished.
func (l *Life) Done() { l.fire(done) }

func (l *Life) fire(t trigger) {
	if err := l.machine.FireCtx(context.Background(), t); err != nil {
		panic("lifecycle: " + err.Error()) // every state handles every trigger
	}
}
