// The life of a run that may have a copy.
//
// Rule: a run is continued at the engine that holds its copy after its own engine has crashed,
// once, and only by the entry that owns the request. An engine that is only cut off has not
// crashed: it may still work on the run. A run without a copy is lost with its engine.
// Inputs: what happened to the run (Event).
// Never: a run is continued twice; a run that has started is reported as not run.

package replication

// State is the state of a run. The zero value is Running.
type State uint8

// The states. NotRun, Done and Lost are final.
const (
	Running    State = iota
	Crashed          // its engine has crashed, and the copy may continue it
	Continuing       // at the engine that holds the copy
	NotRun           // its engine reported that it did not run
	Done             // its response is complete
	Lost             // its response is incomplete or absent
)

// String returns a readable form of the state.
func (s State) String() string {
	return [...]string{"running", "crashed", "continuing", "not run", "done", "lost"}[s]
}

// Final reports whether nothing can follow.
func (s State) Final() bool { return s == NotRun || s == Done || s == Lost }

// Event is what happened to a run, or to its continuation.
type Event uint8

// The events.
const (
	Completed     Event = iota // the response is complete
	EngineCrashed              // the engine that runs it has crashed
	Broken                     // the connection broke, and the engine may be running
	Rejected                   // the engine did not run it; of a continuation: it has no copy
	Continued                  // it was sent to the engine that holds the copy
	Abandoned                  // the caller left, the deadline passed, or nothing more may be sent
)

// Run is the life of one run. The zero value is a run without a copy.
type Run struct {
	Replica Replica
	State   State
}

// MayContinue reports whether the run may be sent to the engine that holds its copy.
func (r Run) MayContinue() bool { return r.State == Crashed && r.Replica.Any() }

// Apply returns the run after an event. Events that can't follow its state have no effect.
func (r Run) Apply(e Event) Run {
	r.State = r.next(e)
	return r
}

func (r Run) next(e Event) State {
	switch r.State {
	case Running:
		return r.nextOfRunning(e)
	case Crashed:
		return r.nextOfCrashed(e)
	case Continuing:
		return r.nextOfContinuing(e)
	default:
		return r.State
	}
}

func (r Run) nextOfRunning(e Event) State {
	switch e {
	case Completed:
		return Done
	case EngineCrashed:
		if r.Replica.Any() {
			return Crashed
		}
		return Lost
	case Rejected:
		return NotRun
	case Broken, Abandoned:
		return Lost
	default:
		return Running
	}
}

func (r Run) nextOfCrashed(e Event) State {
	switch e {
	case Continued:
		return Continuing
	case Abandoned:
		return Lost
	default:
		return Crashed
	}
}

func (r Run) nextOfContinuing(e Event) State {
	switch e {
	case Completed:
		return Done
	case EngineCrashed, Broken, Rejected, Abandoned:
		return Lost
	default:
		return Continuing
	}
}
