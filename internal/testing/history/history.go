// Package history records the events of requests and settings in a run and finds
// every promise that was broken.
package history

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"foxcross.dev/coord/result"
)

// Event is an event of a run.
type Event interface{ event() }

// Submitted records that a caller sent a request.
type Submitted struct {
	ID         string
	Class      string
	Tier       int
	Repeatable bool
	WantBody   string // the whole response
	Copies     int    // number of requests with one idempotency key, 0 for one
	At         time.Time
}

// Executed records that an endpoint started to execute a request.
type Executed struct {
	ID       string
	Endpoint string
	At       time.Time
}

// Answered records the final response that a caller received. Run is the state of
// execution according to the response.
type Answered struct {
	ID   string
	Code result.Code
	Run  result.Execution
	Body string
	At   time.Time
}

// Displaced records that work or a queued offer was displaced by another.
type Displaced struct {
	Tier   int // of the displaced work or offer
	ByTier int // of the one that displaced it
	At     time.Time
}

// Left records that an endpoint announced that it accepts no new work.
type Left struct {
	Endpoint string
	At       time.Time
}

// Joined records that an endpoint accepts work, for the first time or again.
type Joined struct {
	Endpoint string
	At       time.Time
}

// Accepted records that a settings version was acknowledged to an operator.
type Accepted struct {
	Version uint64
	At      time.Time
}

// Activated records that a process has activated a settings version.
type Activated struct {
	Process string
	Version uint64
	At      time.Time
}

func (Submitted) event() {}
func (Executed) event()  {}
func (Answered) event()  {}
func (Displaced) event() {}
func (Left) event()      {}
func (Joined) event()    {}
func (Accepted) event()  {}
func (Activated) event() {}

// Rules are the bounds that a history is checked against.
type Rules struct {
	LeaveGracePeriod  time.Duration            // time in which new work may still reach a leaving endpoint
	ActivationTimeout time.Duration            // time until an accepted version is active at all Processes
	Processes         []string                 // those that run during the whole history
	StartWithin       map[string]time.Duration // longest time from submission to execution, by class
	End               time.Time                // of the history
}

// Recorder collects events. The zero value is empty.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// Add records an event.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// Events returns a copy of the recorded events.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// Promise is a promise that a history can break.
type Promise string

// The promises.
const (
	NotRunReportedTruthfully Promise = "a request said to be not run was not run"
	AtMostOnce               Promise = "a request that may not be repeated runs at most once"
	WholeAnswer              Promise = "a caller gets the whole answer to its own request"
	OneAnswer                Promise = "every request gets one final answer"
	TierOrder                Promise = "nothing is displaced by a lower or equal tier"
	NoWorkAfterLeaving       Promise = "a leaving endpoint gets no new work"
	ActiveInTime             Promise = "an accepted version is in force everywhere in time"
	NeverReverts             Promise = "settings never revert"
	NoStarvation             Promise = "no class starves"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	Detail  string
}

// String returns the promise and the detail.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Promise, v.Detail) }
