// Package history records what happened to requests in a run and names every
// promise that was broken.
package history

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"foxcross.dev/coord/result"
)

// Event is something that happened.
type Event interface{ event() }

// Submitted is a request that a caller sent.
type Submitted struct {
	ID         string
	Class      string
	Tier       int
	Repeatable bool
	Want       string // the whole answer
	Copies     int    // how often it was sent with one idempotency key, 0 for once
	At         time.Time
}

// Executed is a request that an endpoint began to work on.
type Executed struct {
	ID       string
	Endpoint string
	At       time.Time
}

// Answered is the final answer that a caller got. Run is what the answer said
// about execution.
type Answered struct {
	ID   string
	Code result.Code
	Run  result.Run
	Body string
	At   time.Time
}

// Displaced is work or a waiting offer that lost its place to another.
type Displaced struct {
	Tier   int // of what was displaced
	ByTier int // of what took its place
	At     time.Time
}

// Left is an endpoint that said it takes no new work.
type Left struct {
	Endpoint string
	At       time.Time
}

// Joined is an endpoint that takes work, again or for the first time.
type Joined struct {
	Endpoint string
	At       time.Time
}

// Accepted is a settings version that an operator was told is accepted.
type Accepted struct {
	Version uint64
	At      time.Time
}

// InForce is a settings version that a process works by from now on.
type InForce struct {
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
func (InForce) event()   {}

// Rules are the bounds that a history is held to.
type Rules struct {
	LeaveWithin time.Duration            // new work may reach a leaving endpoint for so long
	ForceWithin time.Duration            // an accepted version is in force at all Processes
	Processes   []string                 // those that lived through the whole history
	StartWithin map[string]time.Duration // by class, from submission to execution
	End         time.Time                // of the history
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

// Events returns what was recorded.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// Promise is what a history can break.
type Promise string

// The promises.
const (
	NotRunIsTrue  Promise = "a request said to be not run was not run"
	AtMostOnce    Promise = "a request that may not be repeated runs at most once"
	WholeAnswer   Promise = "a caller gets the whole answer to its own request"
	OneAnswer     Promise = "every request gets one final answer"
	TierOrder     Promise = "nothing is displaced by a lower or equal tier"
	LeavingIsLeft Promise = "a leaving endpoint gets no new work"
	InForceSoon   Promise = "an accepted version is in force everywhere in time"
	NeverReverts  Promise = "settings never revert"
	NoStarvation  Promise = "no class starves"
)

// Breach is a broken promise.
type Breach struct {
	Promise Promise
	Detail  string
}

// String returns the promise and the detail.
func (b Breach) String() string { return fmt.Sprintf("%s: %s", b.Promise, b.Detail) }
