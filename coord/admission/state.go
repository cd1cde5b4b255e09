// Determines whether a service has room for long prompts, or returns to it soon.
//
// Rule: a service is contended from the first refusal on, and until nothing was refused for
// calmDuration and the demand is below drainedShare of the capacity. A contended service drains
// while its demand is below drainingShare of the capacity, and no longer drains once the demand
// is above overloadedShare. The two shares differ, so that the state does not alternate.
// Inputs: the demand and capacity of the service's engines, the time of the last refusal by any
// entry.
// Units: shares of the capacity; times.
// Never: a single request, class or team decides the state.

package admission

import (
	"time"

	"foxcross.dev/coord/placement"
)

const (
	// calmDuration is the time without a refusal after which contention may end. Callers that
	// were refused come back within it.
	calmDuration = time.Second
	// drainedShare, drainingShare and overloadedShare are shares of the capacity. Engines also
	// decode, so that they are short of time before the demand reaches the capacity.
	drainedShare    = 0.6
	drainingShare   = 0.7
	overloadedShare = 0.9
)

// State is the state of a service.
type State int

// The states.
const (
	Room       State = iota
	Draining         // contended, and less is asked for than can be computed
	Overloaded       // contended, and more is asked for than can be computed
)

// String returns the name used in logs.
func (s State) String() string {
	switch s {
	case Draining:
		return "contended, draining"
	case Overloaded:
		return "contended"
	default:
		return "room"
	}
}

// Monitor tracks the state of one service. The zero value has room.
type Monitor struct {
	state     State
	refusedAt time.Time
}

// RecordRefusal records that an entry refused a request.
func (m *Monitor) RecordRefusal(now time.Time) {
	if now.After(m.refusedAt) { // announced refusals lie in the past
		m.refusedAt = now
	}
	if m.state == Room {
		m.state = Overloaded
	}
}

// Update returns the state under a load.
func (m *Monitor) Update(now time.Time, l placement.Load) State {
	if m.state == Room {
		return Room
	}
	share := demandShare(l)
	switch {
	case share < drainedShare && now.Sub(m.refusedAt) >= calmDuration:
		m.state = Room
	case share < drainingShare:
		m.state = Draining
	case share > overloadedShare:
		m.state = Overloaded
	}
	return m.state
}

// demandShare returns the demand as a share of the capacity.
func demandShare(l placement.Load) float64 {
	if l.Capacity <= 0 {
		return 1
	}
	return l.Asked / l.Capacity
}
